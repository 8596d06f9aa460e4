package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/io/service"
)

// Guards against one end of an engine that many requests see and that causes as many connection attempts, and against a
// result that is kept although the engine may have ended or started since.
func TestEndDetectorSharesChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int32
		var alive atomic.Bool
		d := &endDetector{reachable: func(context.Context, string) bool {
			attempts.Add(1)
			time.Sleep(10 * time.Millisecond)
			return alive.Load()
		}}
		var ended atomic.Int32
		var group sync.WaitGroup
		for range 50 {
			group.Go(func() {
				if d.ended(t.Context(), "10.0.0.1:1", "i-1") {
					ended.Add(1)
				}
			})
		}
		group.Wait()
		require.EqualValues(t, 50, ended.Load())
		require.EqualValues(t, 2, attempts.Load())
		time.Sleep(endedMemory - 1)
		require.True(t, d.ended(t.Context(), "10.0.0.1:1", "i-1"))
		require.EqualValues(t, 2, attempts.Load())
		require.True(t, d.ended(t.Context(), "10.0.0.1:1", "i-2"), "another incarnation at the same address")
		require.EqualValues(t, 4, attempts.Load())

		alive.Store(true)
		time.Sleep(endedMemory)
		require.False(t, d.ended(t.Context(), "10.0.0.1:1", "i-1"))
		require.False(t, d.ended(t.Context(), "10.0.0.1:1", "i-1"))
		require.EqualValues(t, 6, attempts.Load())
		alive.Store(false)
		time.Sleep(aliveMemory)
		require.True(t, d.ended(t.Context(), "10.0.0.1:1", "i-1"))
		require.Len(t, d.checks, 1, "results that no longer hold are dropped")
	})
}

// Guards against an end that is taken for a closed connection because the engine closed its connections first, against a
// lost packet that is taken for an end, and against a check that ends with the request that started it.
func TestEndDetectorRepeatsAttempts(t *testing.T) {
	for name, tt := range map[string]struct {
		// reachable are the results of the connection attempts.
		reachable []bool
		want      bool
	}{
		"refused":                    {reachable: []bool{false, false}, want: true},
		"accepted":                   {reachable: []bool{true, true}},
		"closes connections first":   {reachable: []bool{true, false, false}, want: true},
		"one packet lost":            {reachable: []bool{false, true, true}},
		"one packet lost both times": {reachable: []bool{false, true, false, true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				attempts := 0
				d := &endDetector{reachable: func(ctx context.Context, address string) bool {
					require.NoError(t, ctx.Err())
					require.Equal(t, "10.0.0.1:1", address)
					attempts++
					return tt.reachable[attempts-1]
				}}
				ctx, cancel := context.WithCancel(t.Context())
				cancel()
				require.Equal(t, tt.want, d.ended(ctx, "10.0.0.1:1", "i-1"))
				require.Len(t, tt.reachable, attempts)
			})
		})
	}
}

// Guards against results that are kept for any number of endpoints.
func TestEndDetectorIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &endDetector{reachable: func(context.Context, string) bool { return false }}
		for i := range maxEndChecks + 2 {
			d.ended(t.Context(), "10.0.0.1:1", fmt.Sprint(i))
		}
		require.LessOrEqual(t, len(d.checks), maxEndChecks)
	})
}

// Guards against a slow or silent engine, or a request that this daemon canceled, that is taken for one that has ended.
func TestConnectionEnded(t *testing.T) {
	reset := &net.OpError{Op: "read", Err: syscall.ECONNRESET}
	for name, tt := range map[string]struct {
		err  error
		want bool
	}{
		"closed before the response": {err: errors.Trace(service.SendError{Written: true, Cause: io.EOF}), want: true},
		"reset before the response":  {err: errors.Trace(service.SendError{Written: true, Cause: reset}), want: true},
		"closed within an event":     {err: errors.Annotate(io.ErrUnexpectedEOF, "event is incomplete"), want: true},
		"reset within an event":      {err: errors.Annotate(reset, "event is incomplete"), want: true},
		"write fails":                {err: errors.Trace(service.SendError{Written: true, Cause: syscall.EPIPE}), want: true},
		"canceled":                   {err: errors.Trace(service.SendError{Written: true, Cause: context.Canceled})},
		"timeout":                    {err: errors.Trace(service.SendError{Written: true, Cause: context.DeadlineExceeded})},
		"no acknowledgement":         {err: &net.OpError{Op: "read", Err: syscall.ETIMEDOUT}},
		"refused connection":         {err: errors.Trace(service.SendError{Cause: syscall.ECONNREFUSED})},
		"error response":             {err: errors.Trace(EndpointError{Status: 500})},
		"crossed response":           {err: errors.Trace(service.ResponseError{Cause: MismatchedResponseError{}})},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, connectionEnded(tt.err)) })
	}
}
