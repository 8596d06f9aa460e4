package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/generation"
	"radishhollow/core/route"
	"radishhollow/io/service"
)

// StreamResult is what is known of an attempt of a stream.
type StreamResult int

// Results of an attempt of a stream.
const (
	// StreamAnswered is an attempt whose first event has arrived.
	StreamAnswered StreamResult = iota
	// StreamFailed is an attempt that failed before its first event.
	StreamFailed
	// StreamBroken is an attempt that broke off, stayed mute or ended malformed after StreamAnswered.
	StreamBroken
)

// minMuteWait is the time for which an engine must have been silent at the deadline of a request for that to count against it.
const minMuteWait = time.Second

// reportAnswer reports the first event of an attempt, once.
func (h *streamHandler) reportAnswer() {
	if h.server.ObserveResult != nil && !h.answered {
		h.answered = true
		h.server.ObserveResult(h.choice, StreamAnswered, time.Since(h.sentAt))
	}
}

// reportFailure reports an attempt that was lost, unless its request has ended, as when its caller left, or the engine has not got
// the request. An error response below status 500 is an answer.
func (h *streamHandler) reportFailure(cause error) {
	if h.server.ObserveResult == nil || h.ctx.Err() != nil || cause == nil {
		return
	}
	sendError, failed := errors.AsType[service.SendError](cause)
	_, refused := errors.AsType[RefusedError](cause)
	if refused || (failed && !sendError.Written) {
		return
	}
	if response, ok := errors.AsType[EndpointError](cause); ok && response.Status < http.StatusInternalServerError {
		h.reportAnswer()
		return
	}
	h.reportBad()
}

func (h *streamHandler) reportBad() {
	result := StreamFailed
	if h.answered {
		result = StreamBroken
	}
	h.server.ObserveResult(h.choice, result, time.Since(h.sentAt))
}

// reportMute reports an attempt whose engine was silent until the deadline of the request.
func (h *streamHandler) reportMute() {
	waited := h.running && time.Since(h.sentAt) >= minMuteWait && (!h.answered || h.silenceReported)
	if h.server.ObserveResult != nil && waited && errors.Is(h.ctx.Err(), context.DeadlineExceeded) {
		h.reportBad()
	}
}

// reportEvidence passes on what an event tells of the endpoint of the current attempt.
func (h *streamHandler) reportEvidence(event generation.Event) {
	switch event.Kind {
	case generation.EventFirst, generation.EventResumed:
		h.reportAnswer()
	case generation.EventLoss:
		h.reportFailure(event.Cause)
	case generation.EventMoveFailed:
		if event.Class == generation.MoveLost {
			h.reportFailure(event.Cause)
		}
	case generation.EventAttempt, generation.EventGap, generation.EventRefused, generation.EventKept, generation.EventDropped:
	}
}

// BufferedResult states whether the result of a buffered attempt counts as a failure of its endpoint, and whether it says anything
// about the endpoint. A refusal, a caller that left, a connection that this daemon could not open, and a response above this
// daemon's limits say nothing.
func (f Format) BufferedResult(choice route.Choice, status int, header http.Header, err error) (failed, known bool) {
	sendError, isSendError := errors.AsType[service.SendError](err)
	_, isTooLarge := errors.AsType[service.TooLargeError](err)
	switch {
	case err == nil:
		return status >= http.StatusInternalServerError, !f.isRefusal(status, header)
	case errors.Is(err, context.Canceled), isTooLarge, isSendError && !sendError.Written:
		return false, false
	case errors.Is(err, context.DeadlineExceeded):
		return true, time.Since(choice.PickedAt()) >= minMuteWait/2
	default:
		return true, true
	}
}
