package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/clock"
	"radishhollow/io/memory"
)

const (
	// bodyReadBytes is the size of the steps in which a body without a length is read, and its memory reserved.
	bodyReadBytes = 32 << 10
	// memoryWaitPercent is the share of the request's time for which its body may wait for memory. Callers that send many
	// bodies at once are served one after the other; one that waits for longer is better served by another daemon.
	memoryWaitPercent = 25
	// discardTimeout bounds the time for which the body of a refused request is read and discarded.
	discardTimeout = time.Second
	// memoryPollInterval is the time between two looks for memory.
	memoryPollInterval = 5 * time.Millisecond
)

// readBody reads the body of a request. Its memory is reserved before it is read: that of a body with a length at once, so
// that no two bodies that have been read in part wait for each other.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, q *request) ([]byte, error) {
	limit := int64(q.document.Limits().BodyBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return nil, errors.Trace(BodyError{Limit: limit})
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	q.memory = memory.NewShare(&s.RequestMemory, 0)
	from := http.MaxBytesReader(w, r.Body, limit)
	if r.ContentLength < 0 {
		return s.readChunks(from, limit, &q.memory)
	}
	if err := s.awaitMemory(r.Context(), q, r.ContentLength); err != nil {
		return nil, err
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(from, body); err != nil {
		return nil, bodyError(err, limit)
	}
	return body, nil
}

// awaitMemory reserves memory for a body that has not been read, as soon as there is enough.
func (s *Server) awaitMemory(ctx context.Context, q *request, size int64) error {
	ctx, cancel := context.WithTimeout(ctx, time.Until(q.deadline)*memoryWaitPercent/100)
	defer cancel()
	for !q.memory.Grow(size) {
		if clock.Sleep(ctx, memoryPollInterval) != nil {
			return errors.Trace(OverloadedError{Bytes: size, Limit: s.RequestMemory.Limit})
		}
	}
	return nil
}

// readChunks reads a body without a length. Its buffer may grow to twice what has been read.
func (s *Server) readChunks(from io.Reader, limit int64, share *memory.Share) ([]byte, error) {
	var body bytes.Buffer
	for {
		if size := 2*int64(body.Len()) + bodyReadBytes; !share.Grow(size) {
			return nil, errors.Trace(OverloadedError{Bytes: size, Limit: s.RequestMemory.Limit})
		}
		_, err := io.CopyN(&body, from, bodyReadBytes)
		if errors.Is(err, io.EOF) {
			return body.Bytes(), nil
		}
		if err != nil {
			return nil, bodyError(err, limit)
		}
	}
}

// discardBody sends the response that has been written and reads the rest of the request's body. The end of a connection with
// unread data would reset it, so that a caller that is still sending would not get the response.
func discardBody(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	// Errors mean that the caller has disconnected.
	_ = controller.Flush()
	_ = controller.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.Copy(io.Discard, r.Body)
}

func bodyError(err error, limit int64) error {
	if _, tooLarge := errors.AsType[*http.MaxBytesError](err); tooLarge {
		return errors.Trace(BodyError{Limit: limit})
	}
	return errors.Trace(BodyError{Limit: limit, Cause: err})
}
