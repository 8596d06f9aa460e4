package forward

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/failure"
)

// NotReadyError reports a daemon that has no configuration yet.
type NotReadyError struct{}

func (e NotReadyError) Error() string { return "the daemon has no configuration yet" }

func (e NotReadyError) Code() string { return "not-ready" }

func (e NotReadyError) Outcome() failure.Outcome { return failure.NotRun }

// BehindError reports a request without a known route or key, while other daemons have a newer configuration.
type BehindError struct {
	// Revision is that of the configuration in force.
	Revision uint64
}

func (e BehindError) Error() string {
	return fmt.Sprintf("unknown in configuration %d, and other daemons have a newer one", e.Revision)
}

func (e BehindError) Code() string { return "configuration-behind" }

func (e BehindError) Outcome() failure.Outcome { return failure.NotRun }

// DrainingError reports a request that would not be complete before the daemon stops.
type DrainingError struct {
	// Left is the time until the daemon stops.
	Left time.Duration
}

func (e DrainingError) Error() string {
	return fmt.Sprintf("the daemon stops in %s, before the request can be complete", e.Left)
}

func (e DrainingError) Code() string { return "draining" }

func (e DrainingError) Outcome() failure.Outcome { return failure.NotRun }

// RetryAfter returns a short random time, as another daemon can serve the request at once.
func (e DrainingError) RetryAfter() time.Duration {
	return drainingRetryAfter/2 + rand.N(drainingRetryAfter)
}

// drainingRetryAfter is the mean of DrainingError.RetryAfter.
const drainingRetryAfter = 100 * time.Millisecond

// NoRouteError reports a request that matches no route of the configuration.
type NoRouteError struct{ Host, Path string }

func (e NoRouteError) Error() string { return fmt.Sprintf("no route for %s%s", e.Host, e.Path) }

func (e NoRouteError) Code() string { return "no-route" }

func (e NoRouteError) Outcome() failure.Outcome { return failure.NotRun }

// UnknownKeyError reports a request whose API key is missing or not in the configuration.
type UnknownKeyError struct{}

func (e UnknownKeyError) Error() string { return "the API key is missing or unknown" }

func (e UnknownKeyError) Code() string { return "unknown-key" }

func (e UnknownKeyError) Outcome() failure.Outcome { return failure.NotRun }

// BodyError reports a request body that is too large or could not be read.
type BodyError struct {
	// Limit is the maximum size in bytes.
	Limit int64
	// Cause is the read error, or nil if the body is too large.
	Cause error
}

func (e BodyError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("cannot read the request body: %v", e.Cause)
	}
	return fmt.Sprintf("request body exceeds the limit of %d bytes", e.Limit)
}

func (e BodyError) Unwrap() error { return e.Cause }

func (e BodyError) Code() string {
	switch {
	case e.Cause == nil:
		return "body-too-large"
	case errors.Is(e.Cause, os.ErrDeadlineExceeded):
		return "body-timeout"
	}
	return "body-incomplete"
}

func (e BodyError) Outcome() failure.Outcome { return failure.NotRun }

// OverloadedError reports a request whose body does not fit into the memory that request bodies share. Bytes is the memory
// that it needs.
type OverloadedError struct{ Bytes, Limit int64 }

func (e OverloadedError) Error() string {
	return fmt.Sprintf("no memory for a request body of %d bytes; all bodies have %d", e.Bytes, e.Limit)
}

func (e OverloadedError) Code() string { return "overloaded" }

func (e OverloadedError) Outcome() failure.Outcome { return failure.NotRun }

// MismatchedResponseError reports a response that belongs to another request, was not produced by the endpoint, or has
// an encoded body. Want and Got are request ids.
type MismatchedResponseError struct{ Want, Got, Reason string }

func (e MismatchedResponseError) Error() string {
	return fmt.Sprintf("unexpected response with request id %q, want %q: %s", e.Got, e.Want, e.Reason)
}

func (e MismatchedResponseError) Code() string { return "crossed-answer" }

func (e MismatchedResponseError) Outcome() failure.Outcome { return failure.Unknown }

// RefusedError reports an endpoint that refused a request without running it.
type RefusedError struct {
	Endpoint string
	Status   int
}

func (e RefusedError) Error() string {
	return fmt.Sprintf("endpoint %s refused the request with status %d", e.Endpoint, e.Status)
}

func (e RefusedError) Code() string { return "refused" }

func (e RefusedError) Outcome() failure.Outcome { return failure.NotRun }

// EndpointError reports an endpoint whose response to a streaming request is neither a stream nor a refusal.
type EndpointError struct {
	Endpoint string
	Status   int
}

func (e EndpointError) Error() string {
	return fmt.Sprintf("endpoint %s responded with status %d", e.Endpoint, e.Status)
}

func (e EndpointError) Code() string { return "endpoint-failed" }

func (e EndpointError) Outcome() failure.Outcome { return failure.Ran }

// TimeoutError reports a request without a complete response at its deadline.
type TimeoutError struct {
	After time.Duration
	// Result is the outcome that the error reports.
	Result failure.Outcome
}

func (e TimeoutError) Error() string { return fmt.Sprintf("no complete response within %s", e.After) }

func (e TimeoutError) Code() string { return "timeout" }

func (e TimeoutError) Outcome() failure.Outcome { return e.Result }
