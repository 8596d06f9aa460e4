package sse

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"github.com/juju/errors"

	"radishhollow/core/failure"
	"radishhollow/io/memory"
)

const (
	// maxEventBytes bounds one event. Events of model output take a few hundred bytes; an engine in trouble may send bytes
	// without end.
	maxEventBytes = 128 << 10
	// freeEventBytes is the part of each event that takes no share of the common memory.
	freeEventBytes = 8 << 10
)

// TruncatedError reports a body that ended within an event or could not be read further, or an event above
// maxEventBytes. Cause is the underlying error.
type TruncatedError struct{ Cause error }

func (e TruncatedError) Error() string { return fmt.Sprintf("event is incomplete: %v", e.Cause) }

func (e TruncatedError) Unwrap() error { return e.Cause }

func (e TruncatedError) Code() string { return "event-truncated" }

func (e TruncatedError) Outcome() failure.Outcome { return failure.Unknown }

// MemoryError reports an event that does not fit into the memory that large events share. Bytes is its size so far.
type MemoryError struct{ Bytes int }

func (e MemoryError) Error() string {
	return fmt.Sprintf("no memory for an event of over %d bytes", e.Bytes)
}

func (e MemoryError) Code() string { return "event-memory" }

func (e MemoryError) Outcome() failure.Outcome { return failure.Unknown }

// EventReader reads complete events and returns their bytes unchanged.
type EventReader struct {
	// Memory is the memory that large events share. Nil means no limit. It must be set before the first call.
	Memory *memory.Budget

	input *bufio.Reader
	// share is that of the latest event.
	share memory.Share
}

// NewEventReader returns an EventReader that reads from a response body.
func NewEventReader(body io.Reader) *EventReader { return &EventReader{input: bufio.NewReader(body)} }

// Next returns the next event and its id, or id 0 if it has none. It returns io.EOF if the body ends between two
// events, and a TruncatedError for any other end. A large event takes its share of Memory until the next call, or Close.
func (r *EventReader) Next() (id int, event []byte, err error) {
	r.share.Release()
	r.share = memory.NewShare(r.Memory, freeEventBytes)
	// continued is set while a line is read that is longer than the buffer. Its end may be alone in the last part.
	continued := false
	for {
		line, err := r.input.ReadSlice('\n')
		if event = append(event, line...); !r.share.Grow(int64(cap(event))) {
			return 0, nil, TruncatedError{Cause: MemoryError{Bytes: len(event)}}
		}
		switch {
		case err == nil:
		case errors.Is(err, bufio.ErrBufferFull) && len(event) <= maxEventBytes:
			continued = true
			continue
		case errors.Is(err, io.EOF) && len(event) == 0:
			return 0, nil, io.EOF
		case errors.Is(err, io.EOF):
			return 0, nil, TruncatedError{Cause: io.ErrUnexpectedEOF}
		default:
			return 0, nil, TruncatedError{Cause: err}
		}
		if len(event) > maxEventBytes {
			return 0, nil, TruncatedError{Cause: bufio.ErrTooLong}
		}
		if line := bytes.TrimRight(line, "\r\n"); len(line) == 0 && !continued {
			return eventID(event), event, nil
		}
		continued = false
	}
}

// Close returns the share of the latest event.
func (r *EventReader) Close() { r.share.Release() }

// eventID returns the number in the event's last id line, or 0.
func eventID(event []byte) int {
	id := 0
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		if number, err := strconv.Atoi(string(bytes.TrimSpace(value))); err == nil {
			id = number
		}
	}
	return id
}
