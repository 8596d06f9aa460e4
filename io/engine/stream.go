package engine

import (
	"bytes"
	"context"
	"encoding/json"
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
)

// stream reads the chunks of one response in the background, so that waiting for a chunk can be given up and resumed.
type stream struct {
	body   io.ReadCloser
	cancel context.CancelFunc
	chunks *ring.Ring[generation.Chunk]
	done   chan struct{}
	err    error // set before chunks is closed
	once   sync.Once
	ended  bool // the chunk with the finish reason was returned
}

func newStream(ctx context.Context, body io.ReadCloser, cancel context.CancelFunc) generation.Stream {
	s := &stream{
		body: body, cancel: cancel, chunks: ring.New[generation.Chunk](readAhead), done: make(chan struct{}),
	}
	go s.run(ctx)
	return generation.Stream{Next: s.next, Close: s.close}
}

func (s *stream) run(ctx context.Context) {
	defer close(s.done)
	defer s.chunks.Close()
	defer func() { _ = s.body.Close() }()
	reader := newStreamReader(s.body)
	for {
		e, err := reader.next()
		if errors.Is(err, io.EOF) {
			err = StreamError{Fault: FaultTruncated, Cause: io.ErrUnexpectedEOF}
		}
		if err != nil {
			s.err = err
			return
		}
		if bytes.Equal(e.data, []byte("[DONE]")) {
			s.err = io.EOF
			// Reading to the end of the body lets the transport keep the connection.
			_, _ = io.CopyN(io.Discard, s.body, maxLine)
			return
		}
		chunk, err := decodeChunk(e)
		if err == nil {
			err = s.chunks.Push(ctx, chunk)
		}
		if err != nil {
			s.err = err
			return
		}
	}
}

// next waits for a chunk. It may be called again after its context has ended.
func (s *stream) next(ctx context.Context) (generation.Chunk, error) {
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

func decodeChunk(e event) (generation.Chunk, error) {
	if e.name == "error" {
		return generation.Chunk{}, StreamError{Fault: FaultErrorEvent}
	}
	var body struct {
		ID      string `json:"id"`
		Spec    string `json:"system_fingerprint"`
		Attempt int    `json:"attempt"`
		Offset  int    `json:"offset"`
		Choices []struct {
			Text   string             `json:"text"`
			Tokens []uint32           `json:"token_ids"`
			Finish *generation.Finish `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(e.data, &body); err != nil {
		return generation.Chunk{}, StreamError{Fault: FaultMalformed, Cause: err}
	}
	spec, err := generation.ParseSpec(body.Spec)
	if err != nil || len(body.Choices) != 1 {
		return generation.Chunk{}, StreamError{Fault: FaultMalformed, Cause: err}
	}
	choice := body.Choices[0]
	finish := generation.NotFinished
	if choice.Finish != nil {
		finish = *choice.Finish
	}
	switch finish {
	case generation.NotFinished, generation.FinishStop, generation.FinishLength:
	default:
		return generation.Chunk{}, StreamError{Fault: FaultMalformed}
	}
	return generation.NewChunk(body.ID, body.Attempt, spec, body.Offset, choice.Tokens, choice.Text, finish), nil
}
