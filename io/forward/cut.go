package forward

import (
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"radishhollow/core/failure"
	"radishhollow/io/telemetry"
)

// recordCut counts and logs a response that ends incomplete after its header was sent, so that the id of the request
// leads to the cause.
func (s *Server) recordCut(q *request, size int, callerGone bool, err error) {
	cause := s.endCode(callerGone, err)
	if cause != drainTimeoutCode && !callerGone {
		cause = causeOf(err)
	}
	s.Metrics.Count(telemetry.CutResponses, cause)
	s.Log.WithFields(logrus.Fields{
		"request": q.id, "route": q.route.Name, "cause": cause, "bytes": size, "ms": time.Since(q.arrivedAt).Milliseconds(),
	}).WithFields(q.logFields).WithFields(q.cutFields).WithError(err).Warn("response cut")
}

// endCode returns the code under which the end of a request is counted. At the end of a planned stop, the server closes the
// connections that are still in use, which ends their requests like a caller does.
func (s *Server) endCode(callerGone bool, err error) string {
	_, stopped := errors.AsType[StoppedError](err)
	switch {
	case stopped || (callerGone && s.Closing != nil && s.Closing()):
		return drainTimeoutCode
	case callerGone:
		return "caller-gone"
	case err != nil:
		return failure.Of(err).Code()
	}
	return "ok"
}

// causeOf returns the code of the innermost Failure in the chain of err. It is more specific than the code of an error
// that the caller sees: an EngineLostError may have been caused by a RetryBudgetError.
func causeOf(err error) string {
	f := failure.Of(err)
	for {
		inner, found := errors.AsType[failure.Failure](errors.Unwrap(f))
		if !found {
			return f.Code()
		}
		f = inner
	}
}
