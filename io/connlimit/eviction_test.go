package connlimit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against connections that only await their callers' ends and keep memory from requests, and peers and readiness checks
// from an answer.
func TestLingeringConnectionsAreClosedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Limiter{Memory: 100 * (connBytes + requestBytes)}
		var lingering []*caller
		for {
			c := newCaller(l)
			require.True(t, c.Open())
			if c.send(ordinaryHead) != nil {
				c.Close()
				break
			}
			c.arrived = true
			lingering = append(lingering, c)
		}
		require.NotZero(t, l.requests)
		for _, c := range lingering {
			c.Linger()
			time.Sleep(time.Millisecond)
		}
		require.Zero(t, l.requests)
		began := time.Now()
		silent := newCaller(l)
		require.True(t, silent.Open())
		for range len(lingering) - 2 {
			c := newCaller(l)
			require.True(t, c.Open())
			require.NoError(t, c.send(ordinaryHead))
		}
		require.Zero(t, time.Since(began))
		require.True(t, lingering[0].isAborted())
		require.False(t, silent.isAborted())
		time.Sleep(2 * calmAfter)
	})
}
