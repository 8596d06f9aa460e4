package sse

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"github.com/juju/errors"

	"radishhollow/core/failure"
)

// maxEventBytes bounds one event. Events of model output take a few hundred bytes; an engine in trouble may send bytes
// without end.
const maxEventBytes = 128 << 10

// TruncatedError reports a body that ended within an event or could not be read further, or an event above
// maxEventBytes. Cause is the underlying error.
type TruncatedError struct{ Cause error }

func (e TruncatedError) Error() string { return fmt.Sprintf("event is incomplete: %v", e.Cause) }

func (e TruncatedError) Unwrap() error { return e.Cause }

func (e TruncatedError) Code() string { return "event-truncated" }

func (e TruncatedError) Outcome() failure.Outcome { return failure.Unknown }

// EventReader reads complete events and returns their bytes unchanged.
type EventReader struct {
	input *bufio.Reader
}

// NewEventReader returns an EventReader that reads from a response body.
func NewEventReader(body io.Reader) *EventReader { return &EventReader{input: bufio.NewReader(body)} }

// Next returns the next event and its id, or id 0 if it has none. It returns io.EOF if the body ends between two
// events, and a TruncatedError for any other end.
func (r *EventReader) Next() (id int, event []byte, err error) {
	for {
		line, err := r.input.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case err == nil:
		case errors.Is(err, bufio.ErrBufferFull) && len(event) <= maxEventBytes:
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
		if line := bytes.TrimRight(line, "\r\n"); len(line) == 0 {
			return eventID(event), event, nil
		}
	}
}

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
