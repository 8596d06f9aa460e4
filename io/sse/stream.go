// Package sse reads server-sent events from response bodies, and buffers the chunks decoded from them.
package sse

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/generation"
	"radishhollow/core/guard"
	"radishhollow/core/ring"
)

const (
	// maxBufferedChunks bounds the chunks buffered for a caller that reads slowly. Beyond that, TCP flow control stops
	// the sender.
	maxBufferedChunks = 64
	// maxBufferedBytes bounds the events of a stream that have been read but not delivered, apart from the latest one.
	maxBufferedBytes = 32 << 10
	// endTimeout bounds the wait in Close for the end of the body after the last chunk. Without the wait,
	// canceling the request would close the connection, which can otherwise be reused.
	endTimeout = 50 * time.Millisecond
	// maxTrailingBytes bounds the data that is read and discarded after the last chunk.
	maxTrailingBytes = 1 << 20
)

// stream reads the chunks of one response in the background, so that a wait for a chunk can be canceled and repeated.
type stream struct {
	body      io.ReadCloser
	next      func() (generation.Chunk, error)
	cancel    context.CancelFunc
	chunks    *ring.Queue[generation.Chunk]
	done      chan struct{}
	err       error // set before chunks is closed
	closeOnce sync.Once
	finished  bool // the chunk with the finish reason has been returned
	// buffered is the number of bytes of the events that have not been delivered, and delivering that of the event that was
	// returned last. room wakes up the reader when buffered has decreased.
	buffered   atomic.Int64
	delivering int64
	room       chan struct{}
}

// NewStream starts to read chunks with next, which decodes them from the body, until next returns an error. That error
// is io.EOF after a complete response. A wait for room in the buffer ends with ctx or when the stream is closed, which
// also calls cancel. Cancel must abort a read in progress.
func NewStream(
	ctx context.Context, body io.ReadCloser, cancel context.CancelFunc, next func() (generation.Chunk, error),
) generation.Stream {
	s := &stream{
		body: body, next: next, cancel: cancel, chunks: ring.New[generation.Chunk](maxBufferedChunks),
		done: make(chan struct{}), room: make(chan struct{}, 1),
	}
	go s.run(ctx)
	return generation.Stream{Next: s.pop, Close: s.close}
}

func (s *stream) run(ctx context.Context) {
	defer close(s.done)
	defer s.chunks.Close()
	defer func() { _ = s.body.Close() }()
	for {
		chunk, err := s.readNext(ctx)
		if err == nil {
			s.buffered.Add(int64(len(chunk.Event())))
			err = s.chunks.Push(ctx, chunk)
		}
		if err != nil {
			s.err = err
			break
		}
	}
	if errors.Is(s.err, io.EOF) {
		// The transport reuses the connection only if the body was read to its end.
		_, _ = io.CopyN(io.Discard, s.body, maxTrailingBytes)
	}
}

// readNext waits for room in the buffer and reads the next chunk.
func (s *stream) readNext(ctx context.Context) (chunk generation.Chunk, err error) {
	for s.buffered.Load() > maxBufferedBytes {
		select {
		case <-s.room:
		case <-ctx.Done():
			return chunk, ctx.Err()
		}
	}
	err = guard.Call(func() (err error) {
		chunk, err = s.next()
		return err
	}, nil)
	return chunk, err
}

// pop waits for the next chunk. It may be called again after its context has ended. The call states that the chunk before
// has been delivered.
func (s *stream) pop(ctx context.Context) (generation.Chunk, error) {
	s.buffered.Add(-s.delivering)
	s.delivering = 0
	s.wakeReader()
	chunk, err := s.chunks.Pop(ctx)
	s.delivering = int64(len(chunk.Event()))
	if _, closed := errors.AsType[ring.ClosedError](err); closed {
		return generation.Chunk{}, s.err
	}
	if err == nil && chunk.Finish() != generation.NotFinished {
		s.finished = true
	}
	return chunk, err
}

func (s *stream) close() error {
	s.closeOnce.Do(func() {
		if s.finished {
			s.waitForEnd()
		}
		s.cancel()
		// Nobody takes the buffered chunks any more, so a wait for room would only end with the request.
		s.chunks.Close()
		s.buffered.Store(0)
		s.wakeReader()
		<-s.done
	})
	return nil
}

func (s *stream) wakeReader() {
	select {
	case s.room <- struct{}{}:
	default:
	}
}

func (s *stream) waitForEnd() {
	timer := time.NewTimer(endTimeout)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}
