// Package sse reads server-sent events in the background.
package sse

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/generation"
	"radishhollow/core/ring"
)

const (
	// readAhead bounds the chunks held for a caller that reads slowly; the connection's window holds the rest back.
	readAhead = 256
	// endGrace lets a finished response reach its end mark, so that its connection can be used again.
	endGrace = 50 * time.Millisecond
	// maxTail bounds what is read after the end mark.
	maxTail = 1 << 20
)

// stream reads the chunks of one response in the background, so that waiting for a chunk can be given up and resumed.
type stream struct {
	body   io.ReadCloser
	next   func() (generation.Chunk, error)
	cancel context.CancelFunc
	chunks *ring.Queue[generation.Chunk]
	done   chan struct{}
	err    error // set before chunks is closed
	once   sync.Once
	ended  bool // the chunk with the finish reason was returned
}

// NewStream reads the chunks that next takes from the body until its error, which is io.EOF after a complete response.
// Close calls cancel, which must end a read that is under way.
func NewStream(
	ctx context.Context, body io.ReadCloser, cancel context.CancelFunc, next func() (generation.Chunk, error),
) generation.Stream {
	s := &stream{
		body: body, next: next, cancel: cancel, chunks: ring.New[generation.Chunk](readAhead), done: make(chan struct{}),
	}
	go s.run(ctx)
	return generation.Stream{Next: s.pop, Close: s.close}
}

func (s *stream) run(ctx context.Context) {
	defer close(s.done)
	defer s.chunks.Close()
	defer func() { _ = s.body.Close() }()
	for {
		chunk, err := s.next()
		if err == nil {
			err = s.chunks.Push(ctx, chunk)
		}
		if err != nil {
			s.err = err
			break
		}
	}
	if errors.Is(s.err, io.EOF) {
		// Reading to the end of the body lets the transport keep the connection.
		_, _ = io.CopyN(io.Discard, s.body, maxTail)
	}
}

// pop waits for a chunk. It may be called again after its context has ended.
func (s *stream) pop(ctx context.Context) (generation.Chunk, error) {
	chunk, err := s.chunks.Pop(ctx)
	if _, closed := errors.AsType[ring.ClosedError](err); closed {
		return generation.Chunk{}, s.err
	}
	if err == nil && chunk.Finish() != generation.NotFinished {
		s.ended = true
	}
	return chunk, err
}

func (s *stream) close() error {
	s.once.Do(func() {
		if s.ended {
			s.waitEnd()
		}
		s.cancel()
		<-s.done
	})
	return nil
}

func (s *stream) waitEnd() {
	timer := time.NewTimer(endGrace)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}
