package forward

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"

	"radishhollow/core/generation"
	"radishhollow/core/quarantine"
	"radishhollow/core/route"
)

// admit returns an error if the request must not be sent because of the parts of its prompt.
func (h *streamHandler) admit() error { return h.server.Admit(h.request.parts) }

// trackStart starts to track the run of an attempt that is about to be sent.
func (h *streamHandler) trackStart() {
	h.start = &startTracker{onLived: func() { h.server.RecordLived(h.request.parts) }}
}

// stopTracking ends the tracking of the current run, if there is one, and reports whether it was still starting.
func (h *streamHandler) stopTracking() (starting bool) { return h.start != nil && h.start.stop() }

// recordLoss records the end of the current run's engine if the loss of the run shows one. If the run was still
// starting, the parts of its prompt may be the cause. The end is then recorded before the next attempt is admitted, and
// in the background otherwise.
func (h *streamHandler) recordLoss(event generation.Event) {
	starting := h.stopTracking()
	if event.Class != generation.ClassConnection || !connectionEnded(event.Cause) {
		return
	}
	s, ctx, choice, q := h.server, h.ctx, h.choice, h.request
	if starting && len(q.parts) > 0 {
		s.recordEnd(ctx, choice, q)
		return
	}
	s.startBackground(func() {
		if s.ends.ended(ctx, choice.Address(), choice.Incarnation()) {
			s.RecordEnd(choice.Incarnation(), nil)
		}
	})
}

// recordEnd records the end of an engine at which a request was starting, if the engine has ended.
func (s *Server) recordEnd(ctx context.Context, choice route.Choice, q *request) {
	if !s.ends.ended(ctx, choice.Address(), choice.Incarnation()) {
		return
	}
	s.Log.WithFields(logrus.Fields{
		"request": q.id, "endpoint": choice.Incarnation(), "address": choice.Address(), "parts": FormatParts(q.parts),
	}).Info("engine ended")
	s.RecordEnd(choice.Incarnation(), q.parts)
}

// FormatParts returns the parts in hexadecimal, as in the text of a quarantine.SuspectError.
func FormatParts(parts []quarantine.Part) []string {
	list := make([]string, len(parts))
	for i, p := range parts {
		list[i] = fmt.Sprintf("%x", uint64(p))
	}
	return list
}
