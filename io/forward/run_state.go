package forward

import (
	"time"

	"radishhollow/core/route"
)

// setChoice sets the endpoint of a new attempt.
func (h *streamHandler) setChoice(choice route.Choice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.choice, h.running, h.firstCopy = choice, true, kvCopy{}
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
	h.trackStart()
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
	switch {
	case !h.running:
		return h.lostPlace, h.resumeCopy
	case h.replicator != nil:
		return h.choice.Place(), h.replicator.resumable()
	case h.firstCopy.reference != "" && time.Since(h.sentAt) >= minCopyAge:
		return h.choice.Place(), h.firstCopy
	default:
		return h.choice.Place(), h.resumeCopy
	}
}
