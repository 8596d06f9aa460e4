package service

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/booking"
	"radishhollow/io/memory"
)

// endlessReader returns bytes without end. held counts those that were read by all readers which share it, and peak is
// its highest value.
type endlessReader struct{ held, peak *atomic.Int64 }

func newEndlessReader() endlessReader { return endlessReader{new(atomic.Int64), new(atomic.Int64)} }

func (r endlessReader) Read(p []byte) (int, error) {
	held := r.held.Add(int64(len(p)))
	for peak := r.peak.Load(); held > peak && !r.peak.CompareAndSwap(peak, held); {
		peak = r.peak.Load()
	}
	return len(p), nil
}

// own returns a reader with the same peak whose bytes the returned function subtracts.
func (r endlessReader) own() (reader io.Reader, release func()) {
	var count atomic.Int64
	counting := readerFunc(func(p []byte) (int, error) {
		count.Add(int64(len(p)))
		return r.Read(p)
	})
	return counting, func() { r.held.Add(-count.Load()) }
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against endless bodies from many endpoints at once that fill the memory of the instance. Each of them is below
// the limit of one response for a long time.
func TestEndlessBodiesShareALimit(t *testing.T) {
	for _, endpoints := range []int{1, 20, 200} {
		endless := newEndlessReader()
		var open, reading sync.WaitGroup
		const limit = 4 << 20
		budget := &memory.Budget{Limit: limit}
		open.Add(endpoints)
		for range endpoints {
			reading.Go(func() {
				open.Done()
				open.Wait()
				body, release := endless.own()
				defer release()
				share := memory.NewShare(budget, freeBodyBytes)
				defer share.Release()
				_, err := readAll("10.0.0.1:1", body, -1, DefaultMaxResponseBytes, &share)
				_, tooLarge := errors.AsType[TooLargeError](err)
				require.True(t, tooLarge)
			})
		}
		reading.Wait()
		require.LessOrEqual(t, endless.peak.Load(), int64(limit)+int64(endpoints)*(freeBodyBytes+512), "%d endpoints", endpoints)
		require.Zero(t, budget.Used(), "memory that is no longer in use must be available again")
	}
}

// Guards against small responses that fail while large ones use the shared memory, and against a large one that fails
// without need.
func TestSmallBodiesNeedNoShare(t *testing.T) {
	budget := &memory.Budget{Limit: 1 << 20}
	large := memory.NewShare(budget, 0)
	require.True(t, large.Grow(1<<20))
	share := memory.NewShare(budget, freeBodyBytes)
	body, err := readAll("10.0.0.1:1", io.LimitReader(newEndlessReader(), freeBodyBytes), -1, DefaultMaxResponseBytes, &share)
	require.NoError(t, err)
	require.Len(t, body, freeBodyBytes)
	large.Release()
	body, err = readAll("10.0.0.1:1", io.LimitReader(newEndlessReader(), 1<<20), 1<<20, DefaultMaxResponseBytes, &share)
	require.NoError(t, err)
	require.Len(t, body, 1<<20)
}

// Guards against a body that is lost or cut where its buffer ends, and against an endpoint that sends more than its stated
// length.
func TestReadAllAroundTheBuffers(t *testing.T) {
	for _, size := range []int{0, 1, 511, 512, firstBufferBytes - 1, firstBufferBytes, firstBufferBytes + 1, 100_000} {
		text := bytes.Repeat([]byte("0123456789abcdef!"), size/17+1)[:size]
		for _, length := range []int64{-1, int64(size)} {
			for _, from := range []io.Reader{bytes.NewReader(text), iotest.OneByteReader(bytes.NewReader(text)), iotest.DataErrReader(bytes.NewReader(text))} {
				var share memory.Share
				body, err := readAll("10.0.0.1:1", from, length, int64(size), &share)
				require.NoError(t, err)
				require.Equal(t, string(text), string(body))
				require.LessOrEqual(t, cap(body), max(size, firstBufferBytes))
			}
		}
		if size > 0 {
			_, err := readAll("10.0.0.1:1", bytes.NewReader(text), int64(size)-1, int64(size), &memory.Share{})
			_, tooLarge := errors.AsType[TooLargeError](err)
			require.True(t, tooLarge)
		}
	}
}

// Guards against reading a body whose stated length is above the limit.
func TestStatedLengthAboveTheLimit(t *testing.T) {
	body := newEndlessReader()
	_, err := readAll("10.0.0.1:1", body, 100, 99, &memory.Share{})
	_, tooLarge := errors.AsType[TooLargeError](err)
	require.True(t, tooLarge)
	require.Zero(t, body.held.Load())
}

// Guards against bodies that are kept for slow callers and exceed the memory, because it is returned as soon as they are
// read.
func TestKeptBodyHoldsItsMemory(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1<<20)) }))
	defer server.Close()
	client := New(time.Second, time.Minute)
	defer func() { _ = client.Close() }()
	client.Memory = &memory.Budget{Limit: 4 << 20}
	var kept memory.Holder
	for _, keep := range []func(func()){nil, kept.Keep} {
		response, err := client.Send(t.Context(), server.Listener.Addr().String(), booking.Request{Method: http.MethodGet, Path: "/", Keep: keep})
		require.NoError(t, err)
		require.Len(t, response.Body, 1<<20)
		require.Equal(t, keep != nil, client.Memory.Used() >= 1<<20-freeBodyBytes)
	}
	kept.Close()
	require.Zero(t, client.Memory.Used())
}
