package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/failure"
)

// StoppedError reports a request without a response at the end of the daemon.
type StoppedError struct {
	// Result is the outcome that the error reports.
	Result failure.Outcome
	// Cause is the error with which the request ended, or nil.
	Cause error
}

func (e StoppedError) Error() string { return "the daemon stops before the request has a response" }

func (e StoppedError) Unwrap() error { return e.Cause }

func (e StoppedError) Code() string { return drainTimeoutCode }

func (e StoppedError) Outcome() failure.Outcome { return e.Result }

// RetryAfter is that of DrainingError.
func (e StoppedError) RetryAfter() time.Duration {
	return drainingRetryAfter/2 + rand.N(drainingRetryAfter)
}

// drainTimeoutCode is the code of requests that the end of the daemon ends, with a response or without.
const drainTimeoutCode = "drain-timeout"

// withEnding returns a copy of the context that ends with a StoppedError as its cause when the daemon ends, provided that
// mayEnd then returns true.
func (s *Server) withEnding(ctx context.Context, mayEnd func() bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if s.Ending == nil {
		return ctx, func() { cancel(nil) }
	}
	stop := context.AfterFunc(s.Ending, func() {
		if mayEnd() {
			cancel(StoppedError{})
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// isStopped reports whether the end of the daemon has ended the context, which is one of withEnding.
func isStopped(ctx context.Context) bool {
	_, stopped := errors.AsType[StoppedError](context.Cause(ctx))
	return stopped
}

// ended reports whether the daemon ends.
func (s *Server) ended() bool { return s.Ending != nil && s.Ending.Err() != nil }

// readBodyUntilEnd is readBody, but refuses a request whose body is not complete when the daemon ends. A read deadline
// that is set after the body has been read would end the request's context, because net/http takes the failed read for the
// end of the connection.
func (s *Server) readBodyUntilEnd(w http.ResponseWriter, r *http.Request, q *request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	// Errors of SetReadDeadline mean that the connection has ended, which the read reports.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(q.deadline)
	if s.Ending == nil {
		defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
		return s.readBody(w, r, q)
	}
	interrupted := make(chan struct{})
	stop := context.AfterFunc(s.Ending, func() {
		defer close(interrupted)
		_ = controller.SetReadDeadline(time.Unix(1, 0))
	})
	body, err := s.readBody(w, r, q)
	if stop() {
		_ = controller.SetReadDeadline(time.Time{})
		return body, err
	}
	<-interrupted
	return nil, errors.Trace(StoppedError{Result: failure.NotRun, Cause: err})
}
