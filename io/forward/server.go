package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"radishhollow/core/booking"
	"radishhollow/core/config"
	"radishhollow/core/failure"
	"radishhollow/core/generation"
	"radishhollow/core/route"
	"radishhollow/io/telemetry"
)

const (
	// defaultTimeout bounds requests for which neither caller nor route names a time.
	defaultTimeout = 30 * time.Second
	// defaultMaxBody and maxHeader bound requests, in bytes, where the configuration does not.
	defaultMaxBody = 4 << 20
	maxHeader      = 64 << 10
	// headerTimeout and idleTimeout are above what configurations allow, so that no caller is cut off too soon.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// channelShare is the part, in percent, of an endpoint's connections that all daemons together use for requests. The
	// rest covers idle connections and daemons that are not known yet.
	channelShare = 80
	// retryAfter is the mean time after which a caller may try again, about that of a restart of an endpoint. It is spread
	// over half of it in both directions, so that those who were refused together don't come back together.
	retryAfter = 500 * time.Millisecond
)

// Server is the HTTP server for callers. All fields but Result are required.
type Server struct {
	Format   Format
	Document func() config.Document
	// Do sends requests that are answered whole.
	Do func(ctx context.Context, call booking.Call) (booking.Response, error)
	// Pick, Open and Reachable serve streams.
	Pick      func(ctx context.Context, need route.Criteria) (route.Choice, error)
	Open      func(ctx context.Context, address string, r booking.Request) (*http.Response, context.CancelFunc, error)
	Reachable func(ctx context.Context, address string) bool
	// ConnectTimesOut tells that an engine's machine does not answer.
	ConnectTimesOut func(ctx context.Context, address string) bool
	// Candidates returns addresses that are worth a Peek, and Peek asks one of them for its load.
	Candidates func(need route.Criteria, n int) []string
	RefreshLoad       func(ctx context.Context, address string)
	// Usable tells whether work may go to an incarnation of an endpoint.
	Usable func(address, incarnation string) bool
	// CopyKVCache copies the memory of a run from its engine to another one and returns the copy's handle at the first, and Drop
	// frees such a copy.
	CopyKVCache func(ctx context.Context, address, run, to string) (handle string, err error)
	ReleaseKVCopy func(ctx context.Context, address, handle string)
	// ObserveAttempt is told how each attempt of a stream went; it may be nil.
	ObserveAttempt func(choice route.Choice, err error)
	// CountRequest counts a request, and MayRetry takes a repetition from the service's budget.
	CountRequest     func(service string)
	MayRetry func(service string) bool
	// RefundRetry gives back a repetition that reached no endpoint.
	RefundRetry func(service string)
	// EndpointListVersion returns the revision of the list of endpoints and the time since the store has confirmed it.
	EndpointListVersion func() (revision uint64, age time.Duration)
	// DaemonCount returns the number of daemons that share the endpoints' connections.
	DaemonCount func() int
	// MaxBufferedBytes bounds the bodies of all requests in bytes.
	MaxBufferedBytes int64

	Place   string
	Metrics *telemetry.Metrics
	Log     *logrus.Logger

	buffered atomic.Int64
	silences silences
	// keepers are the loops of all keepers. None starts once the server is closed.
	keepers   sync.WaitGroup
	keepersMu sync.Mutex
	closed    bool
}

// NewHTTPServer returns an http.Server with the limits of this package. The caller of HTTP sets its listener and stops it.
func (s *Server) NewHTTPServer() *http.Server {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.NoRoute(s.handle)
	return &http.Server{
		Handler: router, MaxHeaderBytes: maxHeader, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
}

// Close waits for what goes on after the last answer. The caller stops the http.Server before.
func (s *Server) Close() {
	s.keepersMu.Lock()
	s.closed = true
	s.keepersMu.Unlock()
	s.keepers.Wait()
}

// start runs the loop of a keeper until Close. An answer that outlives a forced stop may still ask for one.
func (s *Server) start(loop func()) {
	s.keepersMu.Lock()
	defer s.keepersMu.Unlock()
	if !s.closed {
		s.keepers.Go(loop)
	}
}

func (s *Server) handle(c *gin.Context) {
	// gin sets the status of its own answer for paths without a handler.
	c.Status(http.StatusOK)
	q, err := s.parse(c.Writer, c.Request)
	defer func() { s.buffered.Add(-int64(len(q.body))) }()
	if err == nil {
		err = s.buffer(q)
	}
	if err == nil {
		s.CountRequest(q.service.Name)
		if q.route.Kind == config.KindStream {
			err = s.stream(c, q)
		} else {
			err = s.whole(c, q)
		}
	}
	s.finish(c, q, err)
}

// buffer counts the request's body, which stays in memory until the answer.
func (s *Server) buffer(q *request) error {
	if total := s.buffered.Add(int64(len(q.body))); total > s.MaxBufferedBytes {
		return errors.Trace(OverloadedError{Bytes: total, Limit: s.MaxBufferedBytes})
	}
	return nil
}

// LogAttempt writes the line of one attempt of a request that is answered whole.
func (s *Server) LogAttempt(r booking.Request, choice route.Choice, status int, err error) {
	fields := s.chosen(choice)
	fields["request"], fields["status"] = r.Header.Get(s.Format.RequestID), status
	entry := s.Log.WithFields(fields)
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("request sent")
}

// chosen returns what decided the choice of an endpoint.
func (s *Server) chosen(choice route.Choice) logrus.Fields {
	revision, age := s.EndpointListVersion()
	return logrus.Fields{
		"endpoint": choice.Incarnation(), "address": choice.Address(), "load": choice.Load(), "prefill": choice.PrefillTokens(),
		"candidates": choice.Candidates(), "listing": revision, "listing-age-ms": age.Milliseconds(),
	}
}

// whole answers a request from one complete response.
func (s *Server) whole(c *gin.Context, q *request) error {
	call := booking.Call{
		Workspace: q.workspace.Name, Service: q.service, Request: q.outgoing(), Kind: q.route.Kind, Need: s.need(q),
		Deadline: q.deadline, MaxAttempts: maxTries, MaxSends: q.route.Attempts,
	}
	if q.route.Kind == config.KindIdempotent {
		call.MaxAttempts = q.route.Attempts
		call.HedgeAfter = q.route.Target() * hedgePart / 100
	}
	response, err := s.Do(c.Request.Context(), call)
	if err != nil {
		return err
	}
	writeAnswer(c.Writer, response.Status, response.Header, response.Body)
	return nil
}

const (
	// maxTries bounds the endpoints tried for a request that none has received.
	maxTries = 3
	// hedgePart is the part of the objective, in percent, after which an idempotent request is sent a second time.
	hedgePart = 50
)

// finish writes the answer of a failed request, and the line and the figures of every request.
func (s *Server) finish(c *gin.Context, q *request, err error) {
	status := c.Writer.Status()
	started := c.Writer.Written()
	_, gone := errors.AsType[generation.CallerGoneError](err)
	gone = gone || c.Request.Context().Err() != nil
	if err != nil && !started && !gone {
		status = statusOf(err, q.deadline)
		s.refuse(c, status, err)
	}
	s.report(q, status, gone, err)
	if err != nil && started {
		// The answer must not look complete.
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) refuse(c *gin.Context, status int, err error) {
	header := c.Writer.Header()
	if status == http.StatusServiceUnavailable {
		wait := retryAfter/2 + rand.N(retryAfter)
		header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	if f := failure.Of(err).Code(); f == "body-too-large" || f == "body-incomplete" {
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	c.Status(status)
	// A caller that has gone needs no error.
	_, _ = io.WriteString(c.Writer, failure.Of(err).Code()+"\n")
}

// report writes the line of a request and counts it.
func (s *Server) report(q *request, status int, gone bool, err error) {
	code := "ok"
	switch {
	case gone:
		code = "caller-gone"
	case err != nil:
		code = failure.Of(err).Code()
	}
	s.Metrics.Count(telemetry.Requests, code)
	s.Metrics.Observe(telemetry.RequestTime, q.workspace.Name, time.Since(q.arrived))
	entry := s.Log.WithFields(logrus.Fields{
		"request": q.id, "route": q.route.Name, "service": q.service.Name, "workspace": q.workspace.Name,
		"revision": q.document.Revision(), "status": status, "outcome": code, "ms": time.Since(q.arrived).Milliseconds(),
	}).WithFields(q.facts)
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("request ended")
}
