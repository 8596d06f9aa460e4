package forward

import (
	"context"
	"fmt"
	"mime"
	"net/http"

	"github.com/juju/errors"

	"radishhollow/core/failure"
	"radishhollow/core/generation"
	"radishhollow/io/sse"
)

// NothingAddedError reports an answer that ended without a new event, to a resumed stream or without stating its end. Such
// an end is a true one only if the last event had been sent before, which nothing in the events shows. Offset is the number
// of events delivered.
type NothingAddedError struct {
	Endpoint string
	Offset   int
}

func (e NothingAddedError) Error() string {
	return fmt.Sprintf("endpoint %s ended the stream without an event after %d", e.Endpoint, e.Offset)
}

func (e NothingAddedError) Code() string { return "nothing-added" }

func (e NothingAddedError) Outcome() failure.Outcome { return failure.Ran }

// RestartedRunError reports an engine that began with the first event although it was to go on after Offset events. Its
// events are those of another run, so none of them continues the stream.
type RestartedRunError struct{ Offset int }

func (e RestartedRunError) Error() string {
	return fmt.Sprintf("the run starts anew in place of going on after event %d", e.Offset)
}

func (e RestartedRunError) Code() string { return "run-restarted" }

func (e RestartedRunError) Outcome() failure.Outcome { return failure.Ran }

// ContentTypeError reports an answer to a resumed stream whose type is not that of the stream.
type ContentTypeError struct{ Endpoint, Want, Got string }

func (e ContentTypeError) Error() string {
	return fmt.Sprintf("endpoint %s goes on with %q in a stream of %q", e.Endpoint, e.Got, e.Want)
}

func (e ContentTypeError) Code() string { return "content-type-changed" }

func (e ContentTypeError) Outcome() failure.Outcome { return failure.Ran }

// checkStreamHead returns an error for a response that is not a stream, or not one that goes on with the caller's. The body
// is then closed.
func (h *streamHandler) checkStreamHead(ctx context.Context, address string, response *http.Response) error {
	if response.StatusCode != http.StatusOK || response.Header.Get(h.server.Format.Signature) == "" {
		return h.readErrorResponse(ctx, address, response)
	}
	err := h.checkContentType(address, response.Header)
	if err != nil {
		_ = response.Body.Close()
	}
	return err
}

// checkContentType rejects the answer of a later engine whose media type is neither that of streams nor that of the first
// one's. An answer that states no type is accepted.
func (h *streamHandler) checkContentType(address string, header http.Header) error {
	want, got := mediaType(h.header), mediaType(header)
	if want == "" || got == "" || got == want || got == streamType {
		return nil
	}
	return errors.Trace(ContentTypeError{Endpoint: address, Want: want, Got: got})
}

const streamType = "text/event-stream"

func mediaType(header http.Header) string {
	value, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	if err != nil {
		return header.Get("Content-Type")
	}
	return value
}

// newChunker returns the chunker for the response to an attempt. It must be called before the first header is kept.
func (h *streamHandler) newChunker(address string, start generation.Start, response *http.Response) *eventChunker {
	reader := sse.NewEventReader(response.Body)
	reader.Memory = h.server.ResponseMemory
	return &eventChunker{
		reader: reader, generation: start.Generation, attempt: start.Attempt, lastID: start.Offset,
		offset: start.Offset, emptyEnd: h.emptyEnd(address, start.Offset, statesEnd(response)),
		mustContinue: h.header != nil || h.request.route.Resumable,
	}
}

// recordLostStream keeps the error of an engine that had nothing to add.
func (h *streamHandler) recordLostStream(cause error) {
	if nothing, ok := errors.AsType[NothingAddedError](cause); ok {
		h.nothingAdded = nothing
	}
}

// statesEnd reports whether the end of a response's body is stated by a length or chunks. Without these, the body ends with
// the connection, also where the endpoint broke off.
func statesEnd(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// emptyEnd returns the error for an answer that ends without a new event, or nil where that is the end of the stream: in
// the answer of the first engine, which is passed on as it is, and where a second engine has nothing to add either. An
// answer that does not state its end may have broken off after its head. It never ends a stream without events, and as the
// answer of the first engine it needs that of a second one.
func (h *streamHandler) emptyEnd(address string, offset int, statesEnd bool) error {
	other := h.nothingAdded
	confirmed := other.Endpoint != "" && other.Endpoint != address && other.Offset == offset
	if (h.header == nil && statesEnd) || (confirmed && (statesEnd || offset > 0)) {
		return nil
	}
	return errors.Trace(NothingAddedError{Endpoint: address, Offset: offset})
}
