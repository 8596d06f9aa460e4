package forward

import (
	"context"
	"net/http/httptrace"
	"time"

	"radishhollow/core/route"
)

// attemptState is the state of one attempt of a streaming request.
type attemptState struct {
	// choice is the endpoint of the attempt. Pick may already have reserved that of the next one.
	choice route.Choice
	// running reports whether the attempt has been sent and neither lost nor refused.
	running bool
	// sentAt is the time at which the attempt was sent, and firstCopy the copy that its engine sends by itself.
	sentAt    time.Time
	firstCopy kvCopy
	// replicator maintains the copy of the run's KV cache. It is nil where the run has no copy.
	replicator *replicator
	// start tracks the start of the run. It is nil before the first attempt is sent.
	start *startTracker
	// answered reports whether the first event of the attempt has been passed to ObserveResult.
	answered bool
	// silenceReported reports whether the current silence of the engine has been passed to ObserveAttempt.
	silenceReported bool
}

// setChoice sets the endpoint of a new attempt. If an attempt still runs, the new one is to replace it and resumes from
// its copy.
func (h *streamHandler) setChoice(choice route.Choice) {
	_, from := h.resumeTarget()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running {
		silent := h.attemptState
		h.silent, h.resumeCopy = &silent, from
	}
	h.attemptState = attemptState{choice: choice, running: true, start: h.start}
}

// giveUpSilent calls end with the state of the silent attempt as the current one, if there is such an attempt. The
// current attempt has then replaced it.
func (h *streamHandler) giveUpSilent(end func()) {
	if h.silent == nil {
		end()
		return
	}
	replacement := h.attemptState
	h.swapState(*h.silent)
	end()
	h.swapState(replacement)
}

// returnToSilent ends the current attempt and makes the silent one, which it was to replace, the current one again.
func (h *streamHandler) returnToSilent() {
	h.stopTracking()
	h.cancelReplicator()
	h.swapState(*h.silent)
}

// swapState replaces the state of the current attempt.
func (h *streamHandler) swapState(state attemptState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attemptState, h.silent = state, nil
}

// withSentHook returns a context for a request that calls sent, which may be nil, when the request has a connection.
func withSentHook(ctx context.Context, sent func()) context.Context {
	if sent == nil {
		return ctx
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent() }})
}

func (h *streamHandler) currentChoice() route.Choice {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.choice
}

// startRun notes that the request is sent, and the copy that the engine is to send.
func (h *streamHandler) startRun(firstCopy kvCopy) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sentAt, h.firstCopy = time.Now(), firstCopy
	if firstCopy.reference == h.sentReference {
		// The copy of the new run has the same reference as that of an earlier one at the same engine.
		h.sentReference = ""
	}
	h.trackStart()
}

// dropResumeCopy drops the copy that an attempt was sent with, even if the attempt failed, because an engine accepts only
// one request for a copy.
func (h *streamHandler) dropResumeCopy() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resumeCopy, h.sentReference = kvCopy{}, h.resumeCopy.reference
}

func (h *streamHandler) setResumeCopy(from kvCopy) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resumeCopy = from
}

// resumeTarget returns the place that the next attempt should avoid and the copy from which it should resume. During a
// run these are the place and the copy of that run, so that a move can be reserved before the run is given up.
func (h *streamHandler) resumeTarget() (avoidPlace string, from kvCopy) {
	h.mu.Lock()
	defer h.mu.Unlock()
	avoidPlace, from = h.choice.Place(), h.resumeCopy
	switch {
	case !h.running:
		avoidPlace = h.lostPlace
	case h.replicator != nil:
		from = h.replicator.resumable()
	case h.firstCopy.reference != "" && time.Since(h.sentAt) >= minCopyAge:
		from = h.firstCopy
	}
	if from.reference != "" && from.reference == h.sentReference {
		from = kvCopy{}
	}
	return avoidPlace, from
}
