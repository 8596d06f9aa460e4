package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"radishhollow/core/failure"
	"radishhollow/core/generation"
	"radishhollow/core/reach"
	"radishhollow/io/sse"
)

// delegateStream passes a stream on that a peer serves in place of this daemon.
func (s *Server) delegateStream(c *gin.Context, q *request) error {
	h, cancel := s.newStreamHandler(c, q)
	defer cancel()
	return h.explainEnd(h.delegate())
}

// mayDelegate reports whether a peer may go on with a stream that has ended with err, because this daemon turned out to be
// stranded. One that may run only once is not sent again if an engine may have run it.
func (h *streamHandler) mayDelegate(err error) bool {
	if h.request.delegation != nil || h.ctx.Err() != nil || h.errorResponse != nil || h.mayHaveRun && !h.request.route.Resumable {
		return false
	}
	if _, gone := errors.AsType[generation.CallerGoneError](err); gone {
		return false
	}
	return h.server.isStranded(h.ctx)
}

// delegate sends the stream's request to a peer and passes its events on, from the first one that the caller lacks. If the
// peer is lost, another one goes on.
func (h *streamHandler) delegate() error {
	q := h.request
	h.errorResponse = nil
	for {
		if h.mayHaveRun && !h.server.TakeRetry(q.service.Name) {
			return errors.Trace(DelegationLostError{Result: failure.Unknown, Cause: generation.RetryBudgetError{}})
		}
		delegation := reach.Delegation{Counted: q.counted || h.mayHaveRun}
		if current := h.currentVersion(); current.known {
			delegation.Version, delegation.HasVersion = current.text, true
		}
		opened, err := h.server.openAtPeer(h.ctx, h.c.Request, q, delegation, h.nextOffset())
		if err != nil {
			return h.delegationEnd(err)
		}
		h.mayHaveRun = true
		err = h.passOn(opened)
		h.logPassedOn(opened, err)
		if err == nil {
			h.complete()
			return nil
		}
		_, lost := errors.AsType[DelegationLostError](err)
		if !lost || !q.route.Resumable || h.ctx.Err() != nil {
			return err
		}
	}
}

// nextOffset returns the id of the last event that the caller has, or 0.
func (h *streamHandler) nextOffset() int { return h.request.lastEventID + h.deliveredEvents }

// delegationEnd returns the error of a stream that no peer serves. Its outcome is failure.NotRun only if no engine can have
// run it.
func (h *streamHandler) delegationEnd(err error) error {
	if h.mayHaveRun && failure.Of(err).Outcome() == failure.NotRun {
		return errors.Trace(DelegationLostError{Result: failure.Unknown, Cause: err})
	}
	return err
}

// passOn passes a peer's response on to the caller. An error response of an engine is passed on only before the first
// event.
func (h *streamHandler) passOn(opened peerResponse) error {
	defer opened.cancel()
	response := opened.response
	stop := context.AfterFunc(h.ctx, opened.cancel)
	defer stop()
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return h.passOnError(opened)
	}
	if err := h.checkContentType(opened.address, response.Header); err != nil {
		return errors.Trace(DelegationLostError{Peer: opened.address, Result: failure.Unknown, Cause: err})
	}
	if h.header == nil {
		h.header = response.Header
	}
	if opened.version.known {
		h.setVersion(opened.version.text)
	}
	reader := sse.NewEventReader(response.Body)
	reader.Memory = h.server.ResponseMemory
	defer reader.Close()
	sentAt := time.Now()
	for {
		id, event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil && id != h.nextOffset()+1 {
			err = EventOrderError{Want: h.nextOffset() + 1, Got: id}
		}
		if err != nil {
			return errors.Trace(DelegationLostError{Peer: opened.address, Result: failure.Unknown, Cause: err})
		}
		h.recordWait(time.Since(sentAt))
		if err := h.passOnEvent(event); err != nil {
			return err
		}
		sentAt = time.Now()
	}
}

func (h *streamHandler) passOnError(opened peerResponse) error {
	body, release, err := h.server.ReadDelegated(opened.address, opened.response, maxErrorBodyBytes)
	defer release()
	if err != nil || h.headerState.sent() {
		return errors.Trace(EndpointError{Endpoint: opened.address, Status: opened.response.StatusCode})
	}
	return writeResponse(h.c.Writer, opened.response.StatusCode, opened.response.Header, body)
}

// passOnEvent writes an event that a peer has sent.
func (h *streamHandler) passOnEvent(event []byte) error {
	h.reportVersion()
	if err := h.beginResponse(); err != nil {
		return err
	}
	h.extendWriteDeadline()
	if _, err := h.c.Writer.Write(event); err != nil {
		return callerGone(err)
	}
	h.recordDelivery()
	if err := h.controller.Flush(); err != nil {
		return callerGone(err)
	}
	return nil
}

// recordWait records the wait for an event, for the log.
func (h *streamHandler) recordWait(wait time.Duration) {
	if h.deliveredEvents == 0 {
		h.firstEventWait = wait
		return
	}
	h.longestPause = max(h.longestPause, wait)
}

func (h *streamHandler) logPassedOn(opened peerResponse, err error) {
	h.request.logFields = logrus.Fields{
		"first-ms": h.firstEventWait.Milliseconds(), "pause-ms": h.longestPause.Milliseconds(), "runs": h.openedStreams,
		"peer": opened.address,
	}
	h.request.cutFields = h.cutFields()
	if err != nil {
		h.log("delegated stream lost", logrus.Fields{"peer": opened.address}, err)
	}
}

// reportVersion tells the peer that has delegated the stream its version, which the header of the response carries.
func (h *streamHandler) reportVersion() {
	if current := h.currentVersion(); h.request.delegation != nil && current.known && !h.headerWritten {
		h.request.delegation.SetServed(current.text)
	}
}

// EventOrderError reports an event of a peer that is not the next one of the stream.
type EventOrderError struct{ Want, Got int }

func (e EventOrderError) Error() string { return fmt.Sprintf("event %d in place of %d", e.Got, e.Want) }

func (e EventOrderError) Code() string { return "event-order" }

func (e EventOrderError) Outcome() failure.Outcome { return failure.Ran }
