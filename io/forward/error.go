package forward

import (
	"fmt"
	"time"

	"radishhollow/core/failure"
)

// NotReadyError reports a daemon that has no configuration yet.
type NotReadyError struct{}

// Error implements error.
func (e NotReadyError) Error() string { return "this daemon has no configuration yet" }

// Code implements failure.Failure.
func (e NotReadyError) Code() string { return "not-ready" }

// Outcome implements failure.Failure.
func (e NotReadyError) Outcome() failure.Outcome { return failure.NotRun }

// NoRouteError reports a request that no route of the configuration allows.
type NoRouteError struct{ Host, Path string }

// Error implements error.
func (e NoRouteError) Error() string { return fmt.Sprintf("no route for %s%s", e.Host, e.Path) }

// Code implements failure.Failure.
func (e NoRouteError) Code() string { return "no-route" }

// Outcome implements failure.Failure.
func (e NoRouteError) Outcome() failure.Outcome { return failure.NotRun }

// UnknownKeyError reports a request without an API key that the configuration holds.
type UnknownKeyError struct{}

// Error implements error.
func (e UnknownKeyError) Error() string { return "the API key is missing or unknown" }

// Code implements failure.Failure.
func (e UnknownKeyError) Code() string { return "unknown-key" }

// Outcome implements failure.Failure.
func (e UnknownKeyError) Outcome() failure.Outcome { return failure.NotRun }

// BodyError reports a request body that is too large or could not be read.
type BodyError struct {
	Limit int64
	Cause error
}

// Error implements error.
func (e BodyError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("request body: %v", e.Cause)
	}
	return fmt.Sprintf("request body is longer than %d bytes", e.Limit)
}

// Unwrap returns the error of the read, if any.
func (e BodyError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e BodyError) Code() string {
	if e.Cause != nil {
		return "body-incomplete"
	}
	return "body-too-large"
}

// Outcome implements failure.Failure.
func (e BodyError) Outcome() failure.Outcome { return failure.NotRun }

// OverloadedError reports a request whose body would exceed the memory for bodies.
type OverloadedError struct{ Bytes, Limit int64 }

// Error implements error.
func (e OverloadedError) Error() string {
	return fmt.Sprintf("request bodies would take %d bytes of %d", e.Bytes, e.Limit)
}

// Code implements failure.Failure.
func (e OverloadedError) Code() string { return "overloaded" }

// Outcome implements failure.Failure.
func (e OverloadedError) Outcome() failure.Outcome { return failure.NotRun }

// CrossedError reports an answer that belongs to another request or is not the endpoint's own.
type CrossedError struct{ Want, Got, Reason string }

// Error implements error.
func (e CrossedError) Error() string {
	return fmt.Sprintf("answer to request %q while waiting for %q: %s", e.Got, e.Want, e.Reason)
}

// Code implements failure.Failure.
func (e CrossedError) Code() string { return "crossed-answer" }

// Outcome implements failure.Failure.
func (e CrossedError) Outcome() failure.Outcome { return failure.Unknown }

// RefusedError reports an endpoint that did not run the request.
type RefusedError struct {
	Endpoint string
	Status   int
}

// Error implements error.
func (e RefusedError) Error() string {
	return fmt.Sprintf("endpoint %s refused the request with status %d", e.Endpoint, e.Status)
}

// Code implements failure.Failure.
func (e RefusedError) Code() string { return "refused" }

// Outcome implements failure.Failure.
func (e RefusedError) Outcome() failure.Outcome { return failure.NotRun }

// AnswerError reports an endpoint that answered a stream's request with a failure of its own.
type AnswerError struct {
	Endpoint string
	Status   int
}

// Error implements error.
func (e AnswerError) Error() string {
	return fmt.Sprintf("endpoint %s answered with status %d", e.Endpoint, e.Status)
}

// Code implements failure.Failure.
func (e AnswerError) Code() string { return "endpoint-failed" }

// Outcome implements failure.Failure.
func (e AnswerError) Outcome() failure.Outcome { return failure.Ran }

// TimeoutError reports a request without an answer at its deadline.
type TimeoutError struct {
	After  time.Duration
	Result failure.Outcome
}

// Error implements error.
func (e TimeoutError) Error() string { return fmt.Sprintf("no answer within %s", e.After) }

// Code implements failure.Failure.
func (e TimeoutError) Code() string { return "timeout" }

// Outcome implements failure.Failure.
func (e TimeoutError) Outcome() failure.Outcome { return e.Result }
