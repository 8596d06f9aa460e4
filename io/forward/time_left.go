package forward

import (
	"time"

	"github.com/juju/errors"

	"radishhollow/core/config"
	"radishhollow/core/failure"
)

const (
	// minTimeLeft is the shortest time that a request is assumed to take if its deadline allows it.
	minTimeLeft = time.Second
	// oncePercent and idempotentPercent are the shares of the calls that are complete within the estimated duration. A
	// refused caller is served by another daemon after a short wait. One that is cut has waited in vain and, for a call that
	// must not be repeated, does not learn whether it has run.
	oncePercent, idempotentPercent = 99, 95
	// unresumablePercent is the factor by which a stream is assumed to exceed the longest one where its caller could not
	// go on with the rest at another daemon.
	unresumablePercent = 150
	// deadlineMargin is the time by which the deadline of a request exceeds the end of the daemon, so that Ending is the
	// first to end it. It is above the lateness of a timer on a busy machine.
	deadlineMargin = 100 * time.Millisecond
)

// checkTimeLeft refuses a request, or a further attempt of it, that would be cut because the daemon stops before it is
// complete: another daemon can still serve it.
func (s *Server) checkTimeLeft(q *request) error {
	if left, limited := s.timeLeft(); limited && left < s.timeNeeded(q) {
		return errors.Trace(DrainingError{Left: left})
	}
	return nil
}

// checkTimeForRun refuses a further run of a stream whose response has begun if hardly an event would follow: its caller
// can go on with the rest at another daemon.
func (s *Server) checkTimeForRun() error {
	if left, limited := s.timeLeft(); limited && left < minTimeLeft {
		return errors.Trace(DrainingError{Left: left})
	}
	return nil
}

// checkTimeLeft returns an error if no further run may start because the daemon stops.
func (h *streamHandler) checkTimeLeft() error {
	if h.headerState.sent() {
		return h.server.checkTimeForRun()
	}
	return h.server.checkTimeLeft(h.request)
}

// mustContinue reports whether further runs are started until the daemon stops, because the stream was taken from a silent
// engine, which might have gone on. If only connections broke, the caller is served sooner if the stream ends at once.
func (h *streamHandler) mustContinue() bool { return h.leftSilent && h.headerState.sent() }

// checkTimeForMove returns an error if the stream must not be taken from its silent engine because the daemon stops. A sound
// engine may go on after a second or so, while a new run begins with a prefill. So an engine that accepts connections keeps
// the stream unless a new run is expected to complete it in time.
func (h *streamHandler) checkTimeForMove() error {
	if err := h.checkTimeLeft(); err != nil || !h.headerState.sent() {
		return err
	}
	left, limited := h.server.timeLeft()
	if !limited || left >= h.timeForRest() || !h.isReachable() {
		return nil
	}
	return errors.Trace(DrainingError{Left: left})
}

// timeForRest returns the time within which a new run is expected to complete the stream: that of the longest stream of the
// service, less the time in which the caller's events have arrived. An earlier silence is no part of that time.
func (h *streamHandler) timeForRest() time.Duration {
	q, durations := h.request, &h.server.durations
	untilDeadline := time.Until(q.deadline)
	longest, known := durations.longest(q.service.Name, q.maxOutputTokens)
	if !known {
		return untilDeadline
	}
	rest := longest - (h.deliveredAt.Sub(h.firstDeliveredAt) - h.silentTime)
	return min(max(rest, durations.firstEventWait(q.service.Name), minTimeLeft), untilDeadline)
}

// recordDelivery records that an event was written to the caller.
func (h *streamHandler) recordDelivery() {
	now := time.Now()
	if h.deliveredEvents == 0 {
		h.firstDeliveredAt = now
	} else {
		h.silentTime += max(0, now.Sub(h.deliveredAt)-silenceTimeouts.Floor)
	}
	h.deliveredEvents++
	h.deliveredAt = now
}

func (s *Server) timeLeft() (left time.Duration, limited bool) {
	if s.TimeLeft == nil {
		return 0, false
	}
	return s.TimeLeft()
}

// limitDeadline brings the deadline of a request forward if the daemon stops before, so that endpoints do not work on it
// after the end of the daemon.
func (s *Server) limitDeadline(q *request) {
	left, limited := s.timeLeft()
	if end := time.Now().Add(left + deadlineMargin); limited && end.Before(q.deadline) {
		q.deadline, q.endsWithDaemon = end, true
	}
}

// deadlineError returns the error of a request that has reached its deadline.
func (q *request) deadlineError() error {
	if q.endsWithDaemon {
		return StoppedError{Result: failure.Unknown}
	}
	return TimeoutError{After: time.Until(q.deadline), Result: failure.Unknown}
}

// timeNeeded returns the time within which a request is expected to be complete. That is its deadline at the latest, at
// which it has a status in any case.
func (s *Server) timeNeeded(q *request) time.Duration {
	untilDeadline := time.Until(q.deadline)
	if q.route.Kind == config.KindStream {
		longest, known := s.durations.longest(q.service.Name, q.maxOutputTokens)
		if !known || !s.durations.observed(q.service.Name, max(longest, s.open.oldestStream(q.service.Name))) {
			return untilDeadline
		}
		if !q.route.Resumable {
			longest = longest * unresumablePercent / 100
		}
		return min(longest, untilDeadline)
	}
	percent := float64(oncePercent)
	if q.route.Kind == config.KindIdempotent {
		percent = idempotentPercent
	}
	expected, calls := s.callDurations.quantile(q.callKey(), percent)
	if calls < minKnownCalls {
		expected = max(expected, q.route.Target())
	}
	return min(max(expected, minTimeLeft), untilDeadline)
}

func (q *request) callKey() callKey { return callKey{service: q.service.Name, kind: q.route.Kind} }
