package forward

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/config"
	"radishhollow/core/failure"
	"radishhollow/io/memory"
)

type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }

func (endlessBody) Close() error { return nil }

func newBodyRequest(t *testing.T, body io.ReadCloser, length int64) *http.Request {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", http.NoBody)
	r.Body, r.ContentLength = body, length
	return r
}

// newLimitedRequest returns a request whose body may have that many bytes, and that has 4 s.
func newLimitedRequest(t *testing.T, bodyBytes int) *request {
	t.Helper()
	document := config.NewDocument(1, config.Fields{Limits: config.Limits{BodyBytes: bodyBytes}})
	return &request{document: document, deadline: time.Now().Add(4 * time.Second)}
}

// Guards against a body of unbounded size, with and without a Content-Length.
func TestReadBody(t *testing.T) {
	for _, length := range []int64{9, -1} {
		r := newBodyRequest(t, http.MaxBytesReader(nil, endlessBody{}, 1<<20), length)
		_, err := (&Server{}).readBody(httptest.NewRecorder(), r, newLimitedRequest(t, 8))
		body, ok := errors.AsType[BodyError](err)
		require.True(t, ok)
		require.Equal(t, "body-too-large", body.Code())
	}
}

// Guards against a body that is changed or cut, and against one that is shorter than its length and counts as whole.
func TestReadBodyIsWhole(t *testing.T) {
	want := bytes.Repeat([]byte("0123456789"), 10_000)
	for _, length := range []int64{int64(len(want)), -1, int64(len(want)) + 1} {
		r := newBodyRequest(t, io.NopCloser(bytes.NewReader(want)), length)
		body, err := (&Server{}).readBody(httptest.NewRecorder(), r, newLimitedRequest(t, 1<<20))
		if length > int64(len(want)) {
			require.Equal(t, "body-incomplete", failure.Of(err).Code())
			continue
		}
		require.NoError(t, err)
		require.Equal(t, want, body)
	}
}

// countingBody has a number of bytes and counts what has been read of all bodies.
type countingBody struct {
	left int
	read *atomic.Int64
}

func (b *countingBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.left)
	b.left -= n
	b.read.Add(int64(n))
	return n, nil
}

func (b *countingBody) Close() error { return nil }

// Guards against bodies that are being read and together exceed the memory of the instance, against memory that is not
// returned, and against callers that are refused although there is memory in a moment.
func TestBodiesShareMemory(t *testing.T) {
	const size, limit = 4 << 20, 26 << 20
	for _, length := range []int64{size, -1} {
		synctest.Test(t, func(t *testing.T) {
			s := &Server{RequestMemory: memory.Budget{Limit: limit}}
			var read, refused atomic.Int64
			var group sync.WaitGroup
			for range 32 {
				group.Go(func() {
					q := newLimitedRequest(t, size)
					defer q.memory.Release()
					r := newBodyRequest(t, &countingBody{left: size, read: &read}, length)
					_, err := s.readBody(httptest.NewRecorder(), r, q)
					if err != nil {
						require.Equal(t, failure.NotRun, failure.Of(err).Outcome())
						require.Equal(t, "overloaded", failure.Of(err).Code())
						refused.Add(1)
						return
					}
					require.LessOrEqual(t, s.RequestMemory.Used(), int64(limit))
					// The request is complete after this time.
					time.Sleep(30 * time.Millisecond)
				})
			}
			group.Wait()
			require.Zero(t, s.RequestMemory.Used())
			if length > 0 {
				require.Zero(t, refused.Load(), "32 bodies, 6 at a time")
			}
			require.Less(t, refused.Load(), int64(32))
		})
	}
}

// Guards against a body that waits for memory for longer than its caller is served by another daemon.
func TestBodyWaitsForMemoryInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{RequestMemory: memory.Budget{Limit: 10}}
		other := memory.NewShare(&s.RequestMemory, 0)
		require.True(t, other.Grow(6))
		began := time.Now()
		_, err := s.readBody(httptest.NewRecorder(), newBodyRequest(t, endlessBody{}, 5), newLimitedRequest(t, 10))
		require.Equal(t, "overloaded", failure.Of(err).Code())
		require.Equal(t, failure.NotRun, failure.Of(err).Outcome())
		require.LessOrEqual(t, time.Since(began), time.Second, "a quarter of the time that the request has")
		other.Release()
		_, err = s.readBody(httptest.NewRecorder(), newBodyRequest(t, endlessBody{}, 5), newLimitedRequest(t, 10))
		require.NoError(t, err)
	})
}

// Guards against a body that does not come and keeps its memory for as long as the connection is open.
func TestBodyIsReadUntilTheDeadline(t *testing.T) {
	s := &Server{}
	results := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := newLimitedRequest(t, 1<<20)
		q.deadline = time.Now().Add(10 * time.Millisecond)
		_, err := s.readBodyUntilEnd(w, r, q)
		results <- err
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n")
	require.NoError(t, err)
	err = <-results
	require.Equal(t, "body-timeout", failure.Of(err).Code())
	require.Equal(t, http.StatusRequestTimeout, statusOf(err, time.Now()))
}
