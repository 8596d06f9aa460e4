package forward

import (
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"radishhollow/core/generation"
	"radishhollow/io/service"
	"radishhollow/io/telemetry"
)

// observe passes the progress of the attempts to the routing table, the metrics and the log.
func (h *streamHandler) observe(event generation.Event) {
	m, name := h.server.Metrics, h.request.workspace.Name
	switch event.Kind {
	case generation.EventAttempt:
		h.openedStreams++
		m.Count(telemetry.Attempts, event.Class)
	case generation.EventFirst:
		h.firstEventWait = event.Wait
		m.Observe(telemetry.TimeToFirstToken, name, event.Wait)
		h.choice.PrefillDone()
	case generation.EventGap:
		h.longestPause = max(h.longestPause, event.Wait)
		m.Observe(telemetry.TokenGap, name, event.Wait)
	case generation.EventResumed:
		if h.headerState.sent() {
			h.longestPause = max(h.longestPause, event.Wait)
		}
		m.Observe(telemetry.ResumeLatency, name, event.Wait)
		h.log("stream resumed", logrus.Fields{
			"endpoint": h.choice.Incarnation(), "wait-ms": event.Wait.Milliseconds(),
		}, nil)
		h.choice.PrefillDone()
	case generation.EventRefused:
		h.running = false
		h.stopTracking()
		h.returnRetry(event)
		h.log("stream refused", logrus.Fields{"endpoint": h.choice.Incarnation()}, event.Cause)
	case generation.EventKept:
		h.recordKept(event)
	case generation.EventMoveFailed:
		h.recordFailedMove(event)
		return
	case generation.EventLoss:
		h.giveUpSilent(func() { h.recordLostAttempt(event) })
		return
	}
	h.reportEvidence(event)
	h.reportResult(event)
}

// recordLostAttempt records the loss of the current attempt.
func (h *streamHandler) recordLostAttempt(event generation.Event) {
	h.server.Metrics.Count(telemetry.EngineLosses, event.Class)
	h.running, h.lostPlace = false, h.choice.Place()
	if event.Class == generation.ClassSilence {
		h.leftSilent = true
		h.server.silenceTimes.record(h.lostPlace)
	}
	// The copy of the lost run is kept for the next one.
	h.stopReplicator()
	h.recordLostStream(event.Cause)
	h.log("stream lost", logrus.Fields{"endpoint": h.choice.Incarnation(), "class": event.Class}, event.Cause)
	h.recordLoss(event)
	h.reportEvidence(event)
	h.reportResult(event)
}

// recordFailedMove records that the silent attempt goes on, because the current one has failed or is not needed.
func (h *streamHandler) recordFailedMove(event generation.Event) {
	h.returnRetry(event)
	h.log("move of silent stream failed", logrus.Fields{"endpoint": event.Incarnation, "reason": event.Class}, event.Cause)
	h.reportEvidence(event)
	if event.Class != generation.MoveUnneeded {
		h.reportRefusal(event.Cause)
	}
	h.returnToSilent()
}

// recordKept logs that the stream of a silent engine is kept. A slow first event is no sign that the engines of its place
// have failed.
func (h *streamHandler) recordKept(event generation.Event) {
	if event.Class != generation.ReasonWaitBound {
		h.server.silenceTimes.record(h.currentChoice().Place())
	}
	h.log("engine silent; stream kept", logrus.Fields{
		"endpoint": event.Incarnation, "reason": event.Class, "idle-ms": event.Wait.Milliseconds(),
	}, nil)
}

// returnRetry returns the retry of a refused attempt to the budget if no byte of the request was written.
func (h *streamHandler) returnRetry(refusal generation.Event) {
	sent, failed := errors.AsType[service.SendError](refusal.Cause)
	if refusal.Charged && failed && !sent.Written {
		h.server.ReturnRetry(h.request.service.Name)
	}
}

// reportResult reports the result of each attempt, also that of a silent engine whose stream is kept, so that other
// requests avoid an engine that has failed without closing its connections. If it goes on, that is a new result.
func (h *streamHandler) reportResult(event generation.Event) {
	if h.server.ObserveAttempt == nil {
		return
	}
	reported := h.silenceReported
	switch event.Kind {
	case generation.EventFirst, generation.EventResumed:
		h.server.ObserveAttempt(h.choice, nil)
	case generation.EventGap:
		if reported {
			h.server.ObserveAttempt(h.choice, nil)
		}
	case generation.EventKept:
		h.server.ObserveAttempt(h.currentChoice(), event.Cause)
	case generation.EventLoss:
		if !reported {
			h.server.ObserveAttempt(h.choice, event.Cause)
		}
	case generation.EventRefused:
		h.reportRefusal(event.Cause)
	case generation.EventAttempt, generation.EventDropped, generation.EventMoveFailed:
		return
	}
	h.silenceReported = event.Kind == generation.EventKept
}

// reportRefusal reports the error of an attempt that was not opened. An attempt that was not sent before its request ended
// says nothing about the engine.
func (h *streamHandler) reportRefusal(cause error) {
	_, unsent := errors.AsType[service.SendError](cause)
	if h.server.ObserveAttempt == nil || (unsent && h.ctx.Err() != nil) {
		return
	}
	h.server.ObserveAttempt(h.choice, cause)
}

func (h *streamHandler) log(message string, fields logrus.Fields, err error) {
	entry := h.server.Log.WithField("request", h.request.id).WithFields(fields)
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info(message)
}
