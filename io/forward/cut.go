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
	cause := causeOf(err)
	switch {
	case callerGone && s.Closing != nil && s.Closing():
		// The server closes the connections that are still in use, which ends their requests like a caller does.
		cause = "drain-timeout"
	case callerGone:
		cause = "caller-gone"
	}
	s.Metrics.Count(telemetry.CutResponses, cause)
	s.Log.WithFields(logrus.Fields{
		"request": q.id, "route": q.route.Name, "cause": cause, "bytes": size, "ms": time.Since(q.arrivedAt).Milliseconds(),
	}).WithFields(q.logFields).WithFields(q.cutFields).WithError(err).Warn("response cut")
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
