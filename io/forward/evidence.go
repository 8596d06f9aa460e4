package forward

import (
	"context"
	"fmt"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"radishhollow/core/clock"
	"radishhollow/core/generation"
	"radishhollow/core/guard"
	"radishhollow/core/quarantine"
	"radishhollow/core/route"
	"radishhollow/io/telemetry"
)

// maxAdmitCalls bounds the calls of Admit for one attempt, because a group may change again while it settles.
const maxAdmitCalls = 4

// admit returns an error if the request must not be sent because of the parts of its prompt, or because the daemon stops.
// It waits while the verdict on the parts is not settled, so that a sound request is not refused because of evidence that
// is incomplete.
func (h *streamHandler) admit(ctx context.Context) error {
	if h.server.isStranded(ctx) {
		return errors.Trace(StrandedError{})
	}
	err := h.checkTimeLeft()
	if err != nil && !h.mustContinue() {
		return err
	}
	if err := h.checkVersion(); err != nil {
		return err
	}
	for range maxAdmitCalls {
		err = h.server.Admit(h.request.parts)
		suspect, refused := errors.AsType[quarantine.SuspectError](err)
		if !refused || !suspect.Unsettled || clock.Sleep(ctx, suspect.After) != nil {
			break
		}
	}
	if err != nil {
		h.server.Metrics.Count(telemetry.Quarantine, "refused")
	}
	return err
}

// admitMove is admit for the move of a silent stream, which is kept while the verdict is not settled, and on a stopping
// daemon where its engine may complete it sooner.
func (h *streamHandler) admitMove() error {
	if err := h.checkTimeForMove(); err != nil {
		return err
	}
	if err := h.checkVersion(); err != nil {
		return err
	}
	return h.server.Admit(h.request.parts)
}

// trackStart starts to track the run of an attempt that is about to be sent.
func (h *streamHandler) trackStart() {
	h.start = &startTracker{onLived: h.recordLived}
}

// recordLived records that the current run has outlived its start. Its goroutine may be that of a timer, where a panic
// would end the process.
func (h *streamHandler) recordLived() {
	err := guard.Call(func() error { h.server.RecordLived(h.request.parts); return nil }, nil)
	if err != nil {
		h.server.recordPanic(h.request.id, err)
	}
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
	s.startBackground(func(context.Context) {
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
