package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"radishhollow/core/booking"
	"radishhollow/core/failure"
	"radishhollow/core/generation"
	"radishhollow/core/guard"
	"radishhollow/core/route"
	"radishhollow/io/sse"
)

const (
	// firstPickPercent is the share of the latency objective for which a stream may wait for an endpoint. After that,
	// the caller is better served by a retry at another daemon.
	firstPickPercent = 25
	// minCopyAge is the age at which the copy of a run's KV cache can be expected to hold part of the prompt. Engines send
	// their KV cache to the copy several times a second.
	minCopyAge = 500 * time.Millisecond
	// loadQueryMinTokens is the smallest prompt for which engines are queried for their load. Its prefill takes about
	// 100 ms, which outweighs the query.
	loadQueryMinTokens = 1000
	// loadQueryEngines is the number of engines that are queried. More would hardly change the choice, which is nearly
	// the same with two as with all.
	loadQueryEngines = 3
	// loadQueryTimeout is well above a round trip within a region, and short compared with a prefill.
	loadQueryTimeout = 60 * time.Millisecond
	// writeTimeout bounds each write to the caller. It ends a stream whose caller has stopped reading.
	writeTimeout = 10 * time.Second
	// maxErrorBodyBytes bounds the body of an endpoint's error response.
	maxErrorBodyBytes = 1 << 20
	// maxRefusalBytes bounds what is read of the body of a refusal, which nobody gets.
	maxRefusalBytes = 16 << 10
)

// silenceTimeouts declare a silent engine lost early enough for the stream to resume within 700 ms, the usual
// objective for the gap between two events, if it can. Before the first event, First is long because the prefill may take
// seconds; until then only a broken connection or an unresponsive host indicates a loss. A reachable engine has up to
// reachableSlowdown times as long, as far as Driver.WaitBound allows.
var silenceTimeouts = generation.Timeouts{
	Floor: 300 * time.Millisecond, Ceiling: 400 * time.Millisecond, First: 12 * time.Second,
}

// streamHandler serves one streaming request with the events of one or more engines, and resumes the stream at another
// engine after a loss. A run is the execution of one attempt at an engine. All methods are called from the goroutine
// that serves the request, except pickCopyHolder, which the replicator calls from its own, and those that the Driver
// also calls from another goroutine while open waits: pick, admitMove, stalled and observe for EventKept.
type streamHandler struct {
	server     *Server
	c          *gin.Context
	controller *http.ResponseController
	request    *request
	// ctx ends with the request.
	ctx context.Context
	// lostPlace is the place of the engine that was lost last. While it is empty, no engine has been lost, and the next
	// attempt is not a resume.
	lostPlace string
	// leftSilent reports whether the stream was taken from a silent engine, also if a later one was lost in another way.
	leftSilent bool

	// mu protects the fields below where pick or stalled may read them at the same time, in a call from another goroutine
	// while open waits.
	mu sync.Mutex
	// attemptState is that of the current attempt.
	attemptState
	// silent is the state of an attempt whose engine is silent, while the current attempt, which is to replace it, is being
	// opened. It is nil otherwise.
	silent *attemptState
	// resumeCopy is the copy that the last run left, from which the next one can resume. sentReference is the reference of
	// the copy that an attempt was sent with last. No other attempt can resume from that copy.
	resumeCopy    kvCopy
	sentReference string
	// version is that of the stream.
	version streamVersion
	// probeLimiter limits the probes of the current attempt's engine.
	probeLimiter probeLimiter
	// header is the response header of the first engine.
	header http.Header
	// headerState is set before the header is written, and headerWritten then.
	headerState   headerState
	headerWritten bool
	// mayHaveRun reports whether an engine may have run the request.
	mayHaveRun bool
	// errorResponse is the last error response of an engine. It is passed on if the stream fails before its first
	// event.
	errorResponse *booking.Response
	// releaseError returns the memory of errorResponse. It is nil if there is none.
	releaseError func()
	// firstEventWait is the wait for the first event, and longestPause the longest wait for a later one.
	firstEventWait, longestPause time.Duration
	// deliveredEvents counts the events that were written to the caller, the first one at firstDeliveredAt and the last one
	// at deliveredAt.
	deliveredEvents               int
	firstDeliveredAt, deliveredAt time.Time
	// silentTime is the time between these events without the normal gaps, which are up to the floor of silenceTimeouts.
	silentTime time.Duration
	// openedStreams counts the attempts whose streams were opened.
	openedStreams int
	// nothingAdded is the error of the last engine that ended a resumed stream without a new event.
	nothingAdded NothingAddedError
	// tried holds the engines of earlier attempts.
	tried triedAddresses
}

// serveStream forwards a request whose response is a stream of events, which are passed on as they arrive.
func (s *Server) serveStream(c *gin.Context, q *request) error {
	h, cancel := s.newStreamHandler(c, q)
	defer cancel()
	ctx := h.ctx
	defer h.stopTracking()
	defer h.dropErrorResponse()
	if err := h.findVersion(ctx); err != nil {
		return h.explainEnd(err)
	}
	d := &generation.Driver{
		Admit: h.admit, AdmitMove: h.admitMove, Pick: h.pick, Open: h.open, Deliver: h.deliver, Observe: h.observe, Health: h.health, Stalled: h.stalled,
		TakeRetry:   func() bool { return s.TakeRetry(q.service.Name) },
		ReturnRetry: func() { s.ReturnRetry(q.service.Name) },
		// No resume is exempt, so each takes a retry from the service's budget.
		ExemptResumes: -1, MaxRuns: q.maxRuns(), FirstPickBound: q.route.Target() * firstPickPercent / 100,
		Log: generation.NewEventLog(q.id, q.lastEventID), Criteria: s.criteria(q), Timeouts: silenceTimeouts,
		// The bound grows with the route's objectives for the first event and for the gap between events.
		WaitBound: max(2*time.Second, 4*q.route.Target(), 8*q.route.EventGapTarget()),
	}
	err := d.Run(ctx)
	// No run follows.
	h.cancelReplicator()
	q.logFields = logrus.Fields{
		"first-ms": h.firstEventWait.Milliseconds(), "pause-ms": h.longestPause.Milliseconds(), "runs": h.openedStreams,
	}
	q.cutFields = h.cutFields()
	h.recordDuration(err)
	if err != nil {
		h.reportMute()
	}
	if err == nil {
		h.complete()
		return nil
	}
	if h.mayDelegate(err) {
		return h.explainEnd(h.delegate())
	}
	if h.errorResponse != nil && !h.headerState.sent() {
		return writeResponse(c.Writer, h.errorResponse.Status, h.errorResponse.Header, h.errorResponse.Body)
	}
	return h.explainEnd(err)
}

// explainEnd returns a StoppedError in place of err if the end of the daemon has ended the stream. Its outcome is NotRun
// only if no engine can have run the request.
func (h *streamHandler) explainEnd(err error) error {
	switch {
	case !isStopped(h.ctx):
		return err
	case h.mayHaveRun:
		return errors.Trace(StoppedError{Result: failure.Unknown, Cause: err})
	default:
		return errors.Trace(StoppedError{Result: failure.NotRun, Cause: err})
	}
}

// pick prefers the engine that holds a copy of the run's KV cache, and avoids the place of the last lost engine, or of
// the one that the stream is to leave, because engines of one place fail together.
func (h *streamHandler) pick(ctx context.Context, criteria route.Criteria) (route.Choice, error) {
	avoidPlace, resumeCopy := h.resumeTarget()
	criteria.AvoidPlace, criteria.PreferredAddress = avoidPlace, resumeCopy.holder.Address()
	criteria.Spec, criteria.Prompt = "", nil
	h.restrictVersion(&criteria)
	criteria.Reconnected = avoidPlace == "" && h.request.lastEventID > 0
	if criteria.Reconnected && criteria.PreferredAddress == "" && h.locatesPrompt() {
		criteria.PreferredAddress = h.locatePrompt(ctx, criteria)
	}
	if criteria.PreferredAddress == "" {
		criteria.QueriedAddresses = h.refreshLoads(ctx, criteria)
	}
	return h.server.Pick(ctx, criteria)
}

// refreshLoads queries a few engines for their load, because a daemon does not see the prompts that other daemons send.
// It returns the addresses of these engines, or nil for a prompt that is too short for a query.
func (h *streamHandler) refreshLoads(ctx context.Context, criteria route.Criteria) []string {
	if criteria.PromptTokens < loadQueryMinTokens {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, loadQueryTimeout)
	defer cancel()
	addresses := h.server.LoadQueryCandidates(criteria, loadQueryEngines)
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() {
			err := guard.Call(func() error { h.server.RefreshLoad(ctx, address); return nil }, nil)
			if err != nil {
				h.server.recordPanic(h.request.id, err)
			}
		})
	}
	group.Wait()
	return addresses
}

func (h *streamHandler) open(ctx context.Context, address string, start generation.Start) (generation.Stream, error) {
	stream, err := h.sendRequest(ctx, address, start)
	h.mayHaveRun = h.mayHaveRun || err == nil || failure.Of(err).Outcome() != failure.NotRun
	return stream, err
}

func (h *streamHandler) sendRequest(
	ctx context.Context, address string, start generation.Start,
) (generation.Stream, error) {
	f := h.server.Format
	h.setChoice(start.Choice)
	r := h.attemptRequest(start)
	nextCopy := h.setCopyHeaders(ctx, address, start.Offset, r.Header)
	h.startRun(nextCopy)
	h.probeLimiter.reset()
	start.Choice.Sent()
	response, cancel, err := h.server.Open(withSentHook(ctx, start.Sent), address, r)
	fields := h.server.choiceFields(h.choice)
	fields["attempt"], fields["offset"] = start.Attempt, start.Offset
	fields["from"], fields["backup"] = r.Header.Get(f.ResumeFrom), nextCopy.holder.Address()
	fields["wait-ms"] = time.Since(h.sentAt).Milliseconds()
	h.log("stream sent", fields, err)
	if r.Header.Get(f.ResumeFrom) != "" {
		h.dropResumeCopy()
	}
	if err != nil {
		// If the engine ran the request, it may already have sent a part of the copy.
		if failure.Of(err).Outcome() != failure.NotRun && h.mayHaveCopy() {
			h.setResumeCopy(nextCopy)
		}
		return generation.Stream{}, err
	}
	err = h.checkStreamHead(ctx, address, response)
	if err == nil {
		err = h.checkEndpointVersion()
	}
	if err != nil {
		cancel()
		return generation.Stream{}, err
	}
	chunker := h.newChunker(address, start, response)
	if h.header == nil {
		h.header = response.Header
	}
	h.startReplicator(nextCopy)
	return sse.NewStream(h.ctx, chunker.body(response.Body), cancel, chunker.next), nil
}

// attemptRequest returns the request of an attempt, without the headers about copies of the KV cache.
func (h *streamHandler) attemptRequest(start generation.Start) booking.Request {
	f := h.server.Format
	r := h.request.endpointRequest()
	r.Header = r.Header.Clone()
	f.setAttemptHeaders(r.Header, start.Choice, h.request.deadline)
	if start.Offset > 0 {
		r.Header.Set(f.LastEventID, strconv.Itoa(start.Offset))
	}
	r.ReuseConnection = h.tried.mayReuseConnection(start.Choice.Address())
	if h.server.ObserveHead != nil {
		r.OnHead = func(head booking.ResponseHead) { h.server.ObserveHead(start.Choice, h.request.id, head) }
	}
	return r
}

// readErrorResponse reads a response that is not a stream and returns the matching error. It keeps a complete response
// that the endpoint produced in errorResponse, unless it is a refusal or, for a stream that may run only once, has a status
// that promises callers that the request has not run. One above maxErrorBodyBytes is not kept, because its first part would
// look complete to the caller.
func (h *streamHandler) readErrorResponse(ctx context.Context, address string, response *http.Response) error {
	f := h.server.Format
	// The context of Open does not bound the read of the body.
	defer context.AfterFunc(ctx, func() { _ = response.Body.Close() })()
	defer func() { _ = response.Body.Close() }()
	if f.isRefusal(response.StatusCode, response.Header) {
		// The connection can be used again only after a body that was read to its end.
		_, _ = io.CopyN(io.Discard, response.Body, maxRefusalBytes)
		return errors.Trace(RefusedError{Endpoint: address, Status: response.StatusCode})
	}
	body, release, err := h.server.ReadBody(address, response, maxErrorBodyBytes)
	falsePromise := !h.request.route.Resumable && booking.PromisesNotRun(response.StatusCode)
	if err == nil && response.Header.Get(f.Signature) != "" && !falsePromise {
		h.dropErrorResponse()
		h.errorResponse = &booking.Response{Status: response.StatusCode, Header: response.Header, Body: body}
		h.releaseError = release
	} else {
		release()
	}
	return errors.Trace(EndpointError{Endpoint: address, Status: response.StatusCode})
}

func (h *streamHandler) dropErrorResponse() {
	if h.errorResponse != nil {
		h.releaseError()
		h.errorResponse = nil
	}
}

func (h *streamHandler) health(address string) (alive bool, slowdown float64) {
	return h.server.Reachable(h.ctx, address), reachableSlowdown
}

// stalled reports whether an engine's host has stopped responding. Before the first event nothing else reveals that
// until TCP gives up the connection after about 3 s. Later, the Driver calls stalled once the engine has been silent
// for the floor of silenceTimeouts. The engine is probed soon after an engine of its place has gone silent, and
// otherwise once per probeInterval.
func (h *streamHandler) stalled(address string) bool {
	if !h.probeLimiter.due(&h.server.silenceTimes, h.currentChoice().Place()) {
		return false
	}
	for range connectAttemptsPerProbe {
		if !h.server.ConnectTimesOut(h.ctx, address) {
			return false
		}
	}
	return true
}

// connectAttemptsPerProbe is the number of consecutive connection attempts that must fail for a probe to fail. A
// single attempt often times out on a link with packet loss.
const connectAttemptsPerProbe = 2

// reachableSlowdown multiplies the silence timeout of an engine that is reachable. A sound engine may be silent for a second
// or so, and some go on with a run whose connection is closed, so that two engines would work on it.
const reachableSlowdown = 4

// sendHeader sends the response header of the first engine to the caller, once.
func (h *streamHandler) sendHeader() {
	if h.headerWritten {
		return
	}
	h.headerWritten = true
	setResetOnClose(h.c.Request, true)
	copyHeader(h.c.Writer.Header(), h.header)
	h.c.Status(http.StatusOK)
	h.c.Writer.WriteHeaderNow()
}

// complete prepares the end of the body, which net/http writes when the handler returns. That may be long after the last
// event, so the deadline of that event must not apply.
func (h *streamHandler) complete() {
	h.extendWriteDeadline()
	// A stream without events has not sent its header yet. The response is whole, also where the daemon ends now.
	h.sendHeader()
	setResetOnClose(h.c.Request, false)
}

func (h *streamHandler) deliver(part generation.Chunk) error {
	if part.Event() == nil {
		// The chunk that ends the stream holds no event.
		h.start.recordCompletion()
		return nil
	}
	h.start.recordEvent()
	if h.replicator != nil {
		h.replicator.check()
	}
	if err := h.beginVersion(); err != nil {
		return err
	}
	h.reportVersion()
	if err := h.beginResponse(); err != nil {
		return err
	}
	h.extendWriteDeadline()
	if _, err := h.c.Writer.Write(part.Event()); err != nil {
		return errors.Trace(err)
	}
	h.recordDelivery()
	return errors.Trace(h.controller.Flush())
}

// extendWriteDeadline bounds the writes that follow. net/http removes the deadline after the response.
func (h *streamHandler) extendWriteDeadline() {
	// The error is ignored: only the response writers of tests do not support deadlines.
	_ = h.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// cutFields returns the log fields that only the line of a cut response has.
func (h *streamHandler) cutFields() logrus.Fields {
	fields := logrus.Fields{
		"endpoint": h.choice.Incarnation(), "events": h.deliveredEvents, "offset": h.request.lastEventID + h.deliveredEvents,
	}
	if h.deliveredEvents > 0 {
		fields["idle-ms"] = time.Since(h.deliveredAt).Milliseconds()
	}
	return fields
}
