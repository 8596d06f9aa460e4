package engine_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/failure"
	"radishhollow/core/generation"
	"radishhollow/io/engine"
)

// engineCalls are calls of an engine with the body of a whole response. They return what they have read.
var engineCalls = map[string]struct {
	body string
	call func(ctx context.Context, client *engine.Client, address string) (any, error)
}{
	"load": {`{"incarnation":"i","running":12,"waiting":3,"models":[{"name":"m","version":"1"}]}`, func(ctx context.Context, client *engine.Client, address string) (any, error) {
		return client.Load(ctx, address)
	}},
	"tokenize": {`{"tokens":[1,2,33]}`, func(ctx context.Context, client *engine.Client, address string) (any, error) {
		return client.Tokenize(ctx, address, engine.TokenizeInput{})
	}},
	"stream": {chunk(1, 0, `"length"`) + "data: [DONE]\n\n", func(ctx context.Context, client *engine.Client, address string) (any, error) {
		return readStream(client.Open(ctx, address, generation.Start{Generation: "g", Attempt: 1}))
	}},
}

// readStream returns the number of chunks of a complete stream.
func readStream(stream generation.Stream, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	for n := 0; ; n++ {
		if _, err := stream.Next(context.Background()); errors.Is(err, io.EOF) {
			return n, nil
		} else if err != nil {
			return nil, err
		}
	}
}

// Guards against an engine's response that broke off and passes for a whole one, or for one of a request that did not run,
// and against a request that is sent again after it.
func TestBrokenResponsesAreNotWhole(t *testing.T) {
	for name, tt := range engineCalls {
		for framing, whole := range map[string]string{
			"length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: %d\r\n\r\n%s", len(tt.body), tt.body),
			"chunks":  fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(tt.body), tt.body),
			"neither": "HTTP/1.1 200 OK\r\nA: b\r\n\r\n" + tt.body,
		} {
			for _, reset := range []bool{false, true} {
				if reset && framing == "chunks" {
					continue
				}
				t.Run(fmt.Sprintf("%s, %s, reset %t", name, framing, reset), func(t *testing.T) {
					testBrokenResponse(t, tt.call, whole, tt.body, reset)
				})
			}
		}
	}
}

func testBrokenResponse(
	t *testing.T, call func(ctx context.Context, client *engine.Client, address string) (any, error), whole, body string, reset bool,
) {
	t.Helper()
	var length, calls atomic.Int64
	length.Store(int64(len(whole)))
	client, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		breakOff(w, whole[:length.Load()], reset && length.Load() < int64(len(whole)))
	})
	want, err := call(t.Context(), client, address)
	require.NoError(t, err)
	client.HTTP.CloseIdleConnections()
	for k := range whole {
		length.Store(int64(k))
		calls.Store(0)
		got, err := call(t.Context(), client, address)
		require.EqualValues(t, 1, calls.Load())
		if err == nil {
			// A JSON value and a stream with its end marker are whole, whatever follows them.
			require.Contains(t, whole[:k], strings.TrimSuffix(body, "\n"), "%q passes for a whole response", whole[:k])
			require.Equal(t, want, got)
			continue
		}
		require.Equal(t, failure.Unknown, failure.Of(err).Outcome(), "%q: %v", whole[:k], err)
	}
}

// breakOff writes a part of a response and closes or resets the connection.
func breakOff(w http.ResponseWriter, part string, reset bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, part)
	if reset {
		// The reset discards what the client has not read yet.
		time.Sleep(100 * time.Microsecond)
		_ = conn.(interface{ SetLinger(seconds int) error }).SetLinger(0)
	}
}
