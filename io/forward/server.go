package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"radishhollow/core/booking"
	"radishhollow/core/config"
	"radishhollow/core/failure"
	"radishhollow/core/generation"
	"radishhollow/core/guard"
	"radishhollow/core/kv"
	"radishhollow/core/quarantine"
	"radishhollow/core/reach"
	"radishhollow/core/route"
	"radishhollow/core/version"
	"radishhollow/io/memory"
	"radishhollow/io/telemetry"
)

const (
	// defaultTimeout applies to requests for which neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// defaultMaxBodyBytes bounds the body of a request where the configuration does not. maxHeaderBytes bounds its header
	// whatever the configuration says.
	defaultMaxBodyBytes = 4 << 20
	maxHeaderBytes      = 64 << 10
	// headerTimeout applies in place of the timeout in config.Limits, which this package does not read. It is meant to
	// exceed the configured value, so that the server never closes a connection earlier than configured.
	headerTimeout = 10 * time.Second
	// idleTimeout is the shortest time for which a connection may be idle. A configured timeout is extended by
	// idleTimeoutMargin, which covers the way of a caller's last request.
	idleTimeout       = 2 * time.Minute
	idleTimeoutMargin = 2 * time.Second
	// connectionSharePercent is the share of an endpoint's connection limit that all daemons together use for requests.
	// The rest is left for idle connections and for daemons that are not known yet.
	connectionSharePercent = 80
	// meanRetryAfter is the mean of the Retry-After value, about the time that an endpoint takes to restart. The value
	// is jittered by up to half of it in both directions, so that callers that were refused together do not retry
	// together.
	meanRetryAfter = 500 * time.Millisecond
)

// Server is the HTTP server for callers. All fields must be set before the first request; the comments name those
// that may be nil.
type Server struct {
	Format Format
	// Document returns the current configuration.
	Document func() config.Document
	// Do sends a request whose response is not streamed.
	Do func(ctx context.Context, call booking.Call) (booking.Response, error)
	// Pick chooses an endpoint, Open sends a request and returns the response with its body unread, and Reachable
	// reports whether an endpoint accepts connections. Only streams use them. The context of Open applies only until it
	// returns; the returned function aborts the response and must be called.
	Pick      func(ctx context.Context, criteria route.Criteria) (route.Choice, error)
	Open      func(ctx context.Context, address string, r booking.Request) (*http.Response, context.CancelFunc, error)
	Reachable func(ctx context.Context, address string) bool
	// ConnectTimesOut reports whether a connection attempt to an engine gets no response at all from its host.
	ConnectTimesOut func(ctx context.Context, address string) bool
	// LoadQueryCandidates returns up to n addresses of engines that meet the criteria about equally well, and
	// RefreshLoad queries the load of one of them.
	LoadQueryCandidates func(criteria route.Criteria, n int) []string
	RefreshLoad         func(ctx context.Context, address string)
	// CacheCandidates returns the addresses of the engines that most likely have the prompt of the affinity key in their
	// cache, and CachedTokens how many tokens of its last part one of them has. StatesSlowdown reports whether the engines of
	// a service state how slow they are. CachedTokens may be nil; the others are called only if it is set.
	CacheCandidates func(criteria route.Criteria, n int) []string
	CachedTokens    func(ctx context.Context, address, affinityKey string) int
	StatesSlowdown  func(service string) bool
	// IsBehind reports whether other daemons have a newer configuration. It may be nil.
	IsBehind func() bool
	// Stranded reports whether this daemon reaches no endpoint; it may wait for a verdict that is due. StrandedEpisode returns a
	// context that ends when it becomes so. They may be nil.
	Stranded        func(ctx context.Context) bool
	StrandedEpisode func() context.Context
	// Helpers returns the addresses of peers that may serve requests in place of this daemon, in the order in which to ask them,
	// and RecordStranded that one of them reaches no endpoint either. Delegate sends a request to one of them, and
	// ReadDelegated reads the body of its response as ReadBody does. They must be set with Stranded.
	Helpers        func(revision uint64) []string
	RecordStranded func(address string)
	Delegate       func(
		ctx context.Context, address string, r booking.Request, delegation *reach.Delegation,
	) (*http.Response, context.CancelFunc, error)
	ReadDelegated func(address string, response *http.Response, maxBytes int64) (body []byte, release func(), err error)
	// MaxDelegated is the number of requests that this daemon serves for its peers at the same time.
	MaxDelegated int
	// TimeLeft returns the time until the daemon stops, and false if no planned stop with a time limit has begun. It may
	// be nil.
	TimeLeft func() (left time.Duration, limited bool)
	// Ending ends when TimeLeft has passed in a planned stop, shortly before the connections in use are closed. Requests
	// without a response then get a final one. It may be nil.
	Ending context.Context
	// Admit returns an error if a stream whose prompt has these parts must not be sent. If the error has a method
	// RetryAfter, the caller is told that time.
	Admit func(parts []quarantine.Part) error
	// RecordEnd records that an engine has ended, with the parts of the prompt whose run was starting there, if any, and
	// RecordLived that a run on the parts has outlived its start.
	RecordEnd   func(incarnation string, parts []quarantine.Part)
	RecordLived func(parts []quarantine.Part)
	// Usable reports whether requests may be sent to an incarnation of an endpoint.
	Usable func(address, incarnation string) bool
	// BeginStream returns once the first event of a stream that a version has sent may be passed on. FindVersion then returns
	// that version, or an error with the outcome failure.NotRun.
	BeginStream func(ctx context.Context, stream version.Stream, version string) error
	FindVersion func(ctx context.Context, stream version.Stream) (string, error)
	// ListsVersion reports whether a version of a service has endpoints that serve, and VersionIsListed whether the endpoint of a
	// choice still has its version.
	ListsVersion    func(service, version string) bool
	VersionIsListed func(choice route.Choice) bool
	// NewKVCopier returns the calls that keep a copy of one run's KV cache.
	NewKVCopier func() KVCopier
	// ObserveHead receives the head of each response of a stream's endpoint and the id of the request; it may be nil.
	ObserveHead func(choice route.Choice, requestID string, head booking.ResponseHead)
	// ObserveAttempt receives the result of each attempt of a stream; it may be nil.
	ObserveAttempt func(choice route.Choice, err error)
	// ObserveResult receives what each attempt of a stream tells of its endpoint, with the time since it was sent; it may be
	// nil. In contrast to ObserveAttempt, which must be set with it, it receives nothing about silent engines that go on.
	ObserveResult func(choice route.Choice, result StreamResult, wait time.Duration)
	// RecordRequest adds a request to the service's retry budget, and TakeRetry takes one retry from the budget.
	RecordRequest func(service string)
	TakeRetry     func(service string) bool
	// ReturnRetry returns a retry that reached no endpoint to the budget.
	ReturnRetry func(service string)
	// InstanceListRevision returns the revision of the instance list and the time since the store last confirmed it.
	InstanceListRevision func() (revision kv.Revision, age time.Duration)
	// DaemonCount returns the number of daemons that share the endpoints' connections.
	DaemonCount func() int
	// Closing reports whether the server closes the connections in use because the time to drain has passed. It may be nil.
	Closing func() bool
	// ReadBody reads the body of a response of Open, which takes memory of the daemon until release is called. It may be
	// called once also after an error.
	ReadBody func(address string, response *http.Response, maxBytes int64) (body []byte, release func(), err error)
	// ResponseMemory is the memory that the large events of streams share with other responses. Nil means no limit.
	ResponseMemory *memory.Budget
	// RequestMemory is the memory that request bodies share, from before they are read until their requests end.
	RequestMemory memory.Budget

	// Place is the place of this daemon.
	Place   string
	Metrics *telemetry.Metrics
	Log     *logrus.Logger

	silenceTimes  silenceTimes
	durations     streamDurations
	callDurations callDurations
	ends          endDetector
	open          openRequests
	delegated     atomic.Int64 // requests that are being served for peers
	background    backgroundTasks
}

// NewHTTPServer returns an http.Server with the limits of this package. The caller sets its listener and stops it.
func (s *Server) NewHTTPServer() *http.Server {
	gin.SetMode(gin.ReleaseMode)
	s.ends.reachable = s.Reachable
	router := gin.New()
	router.NoRoute(s.handle)
	return &http.Server{
		Handler: router, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ConnContext: withConn,
	}
}

// IdleTimeout returns the time for which a connection may be idle under the current configuration. It may exceed that of
// the http.Server.
func (s *Server) IdleTimeout() time.Duration {
	configured := time.Duration(s.Document().Limits().IdleTimeoutMS) * time.Millisecond
	return max(idleTimeout, configured+idleTimeoutMargin)
}

// recordPanic counts and logs a panic. The request id is empty for a background goroutine.
func (s *Server) recordPanic(requestID string, err error) {
	s.Metrics.Count(telemetry.Panics, "request")
	s.Log.WithField("request", requestID).WithError(err).Error("panic while a request was handled")
}

// handle serves one request. A panic ends only this request.
func (s *Server) handle(c *gin.Context) {
	isAbort := func(value any) bool { return value == http.ErrAbortHandler } //nolint:errorlint // net/http compares the value, too.
	started := time.Now()
	err := guard.Call(func() error { s.serve(c); return nil }, isAbort)
	if err == nil {
		return
	}
	q := &request{id: c.Request.Header.Get(s.Format.RequestID), arrivedAt: started}
	s.recordPanic(q.id, err)
	if c.Writer.Written() {
		s.recordCut(q, c.Writer.Size(), false, err)
		abort(c)
	}
	// It is unknown whether an endpoint ran the request, so the status must not promise that none did.
	s.writeError(c, http.StatusBadGateway, err)
}

func (s *Server) serve(c *gin.Context) {
	// gin presets status 404 for paths without a handler.
	c.Status(http.StatusOK)
	setRequestID(c.Request, c.Request.Header.Get(s.Format.RequestID))
	q, err := s.parse(c.Writer, c.Request)
	s.open.add(q)
	defer s.open.remove(q)
	defer q.memory.Release()
	if err == nil {
		err = s.checkTimeLeft(q)
	}
	if err == nil {
		err = s.admitDelegated(q)
	}
	if err == nil {
		s.logTaken(q)
		s.limitDeadline(q)
		delegates := q.delegation == nil && s.isStranded(c.Request.Context())
		if !delegates {
			s.recordRequest(q)
		}
		switch {
		case delegates && q.route.Kind == config.KindStream:
			err = s.delegateStream(c, q)
		case delegates:
			err = s.delegateCall(c, q)
		case q.route.Kind == config.KindStream:
			s.durations.begin(q.service.Name)
			err = s.serveStream(c, q)
		default:
			err = s.serveBuffered(c, q)
		}
	}
	s.finish(c, q, err)
}

// LogAttempt logs one attempt of a request whose response is not streamed.
func (s *Server) LogAttempt(r booking.Request, choice route.Choice, status int, err error) {
	fields := s.choiceFields(choice)
	fields["request"], fields["status"] = r.Header.Get(s.Format.RequestID), status
	entry := s.Log.WithFields(fields)
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("request sent")
}

// choiceFields returns log fields with the inputs of an endpoint's selection.
func (s *Server) choiceFields(choice route.Choice) logrus.Fields {
	revision, age := s.InstanceListRevision()
	return logrus.Fields{
		"endpoint": choice.Incarnation(), "address": choice.Address(), "load": choice.Load(), "prefill": choice.PrefillTokens(),
		"candidates": choice.EligibleCount(), "listing": revision.String(), "listing-age-ms": age.Milliseconds(), "version": choice.Version(),
	}
}

// serveBuffered forwards a request whose response is read completely before it is passed on.
func (s *Server) serveBuffered(c *gin.Context, q *request) error {
	call := booking.Call{
		Workspace: q.workspace.Name, Service: q.service, Request: q.endpointRequest(), Kind: q.route.Kind, Criteria: s.criteria(q),
		Deadline: q.deadline, MaxAttempts: maxAttempts, MaxResponses: q.route.Attempts,
		Ending: s.Ending, Admit: func() error {
			if s.isStranded(c.Request.Context()) {
				return errors.Trace(StrandedError{})
			}
			return s.checkTimeLeft(q)
		},
	}
	if q.route.Kind == config.KindIdempotent {
		call.MaxAttempts = q.route.Attempts
		call.HedgeAfter = q.route.Target() * hedgeAfterPercent / 100
	}
	// A caller that reads slowly keeps the body in memory until it is written.
	held := &memory.Holder{}
	defer held.Close()
	call.Request.Keep = held.Keep
	ctx, cancel := s.endWhenStranded(c.Request.Context(), q)
	defer cancel()
	sentAt := time.Now()
	response, err := s.Do(ctx, call)
	if err == nil || time.Until(q.deadline) <= 0 {
		// Without the calls that reach their deadline, the estimate would be too short.
		s.callDurations.record(q.callKey(), time.Since(sentAt))
	}
	if err != nil && s.mayDelegate(c.Request.Context(), q, err) {
		return s.delegateCall(c, q)
	}
	if err != nil && s.ended() {
		return errors.Trace(StoppedError{Result: failure.Of(err).Outcome(), Cause: err})
	}
	if err != nil {
		return err
	}
	return writeResponse(c.Writer, response.Status, response.Header, response.Body)
}

const (
	// maxAttempts bounds the endpoints tried for a request that must not be repeated once an endpoint may have received
	// it.
	maxAttempts = 3
	// hedgeAfterPercent is the share of the latency objective after which an idempotent request is sent a second time.
	hedgeAfterPercent = 50
)

// finish writes the error response of a failed request, and logs and counts every request. A caller that has closed its
// side of the connection may still read, and net/http answers 200 for a handler that writes nothing.
func (s *Server) finish(c *gin.Context, q *request, err error) {
	status := c.Writer.Status()
	started := c.Writer.Written()
	_, callerGone := errors.AsType[generation.CallerGoneError](err)
	callerGone = callerGone || c.Request.Context().Err() != nil
	if err != nil && !started {
		status = statusOf(err, q.deadline)
		s.writeError(c, status, err)
		if _, overloaded := errors.AsType[OverloadedError](err); overloaded {
			discardBody(c.Writer, c.Request)
		}
	}
	s.observeRequest(q, observedEnd{status: status, bytes: max(c.Writer.Size(), 0), started: started, callerGone: callerGone, err: err})
	if err != nil && started {
		s.recordCut(q, c.Writer.Size(), callerGone, err)
		abort(c)
	}
}

func (s *Server) writeError(c *gin.Context, status int, err error) {
	header := c.Writer.Header()
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter(err).Seconds(), 'f', 3, 64))
	}
	if code := failure.Of(err).Code(); code == "body-too-large" || code == "body-incomplete" || code == "overloaded" {
		// A connection cannot be reused while part of the request body on it is unread.
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	c.Status(status)
	// A write error means that the caller has disconnected and cannot be told.
	_, _ = io.WriteString(c.Writer, failure.Of(err).Code()+"\n")
}

// retryAfter returns the time after which the error tells the caller to retry. Without such a time it is that of an
// endpoint's restart.
func retryAfter(err error) time.Duration {
	timed, ok := errors.AsType[interface {
		error
		RetryAfter() time.Duration
	}](err)
	if ok {
		return timed.RetryAfter()
	}
	return jitteredRetryAfter()
}

func jitteredRetryAfter() time.Duration { return meanRetryAfter/2 + rand.N(meanRetryAfter) }

// observedEnd is the end of a request.
type observedEnd struct {
	// status and bytes are those of the response, which started before the error if that is set.
	status, bytes       int
	started, callerGone bool
	err                 error
}

// observeRequest logs a request and updates its metrics. In a planned stop the line is a warning, so that a log collector that
// keeps only warnings tells a request that was complete for the daemon from one that the daemon does not know.
func (s *Server) observeRequest(q *request, end observedEnd) {
	code := s.endCode(end.callerGone, end.err)
	s.Metrics.Count(telemetry.Requests, code)
	s.Metrics.Observe(telemetry.RequestTime, q.workspace.Name, time.Since(q.arrivedAt))
	s.open.recordEnd(q, endOf(end.err, end.started))
	fields := logrus.Fields{
		"request": q.id, "route": q.route.Name, "service": q.service.Name, "workspace": q.workspace.Name,
		"revision": q.document.Revision(), "status": end.status, "outcome": code, "ms": time.Since(q.arrivedAt).Milliseconds(),
	}
	level := logrus.InfoLevel
	if _, stopping := s.timeLeft(); stopping {
		level, fields["bytes"] = logrus.WarnLevel, end.bytes
	}
	entry := s.Log.WithFields(fields).WithFields(q.logFields)
	if end.err != nil {
		entry = entry.WithError(end.err)
	}
	entry.Log(level, "request ended")
}
