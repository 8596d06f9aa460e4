package forward

import (
	"fmt"

	"github.com/juju/errors"

	"radishhollow/core/failure"
)

// NothingAddedError reports an answer to a resumed stream that ended without a new event. Such an end is a true one only
// if the lost engine had sent the last event, which nothing in the events shows. Offset is the number of events delivered.
type NothingAddedError struct {
	Endpoint string
	Offset   int
}

func (e NothingAddedError) Error() string {
	return fmt.Sprintf("endpoint %s ended the stream without an event after %d", e.Endpoint, e.Offset)
}

func (e NothingAddedError) Code() string { return "nothing-added" }

func (e NothingAddedError) Outcome() failure.Outcome { return failure.Ran }

// recordLostStream keeps the error of an engine that had nothing to add.
func (h *streamHandler) recordLostStream(cause error) {
	if nothing, ok := errors.AsType[NothingAddedError](cause); ok {
		h.nothingAdded = nothing
	}
}

// emptyEnd returns the error for an answer that ends without a new event, or nil where that is the end of the stream: in
// the answer of the first engine, which is passed on as it is, and where a second engine has nothing to add either.
func (h *streamHandler) emptyEnd(address string, offset int) error {
	other := h.nothingAdded
	if h.header == nil || (other.Endpoint != "" && other.Endpoint != address && other.Offset == offset) {
		return nil
	}
	return errors.Trace(NothingAddedError{Endpoint: address, Offset: offset})
}
