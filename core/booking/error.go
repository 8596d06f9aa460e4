package booking

import (
	"fmt"

	"radishhollow/core/failure"
)

// RefusedError reports a request that no endpoint ran.
type RefusedError struct {
	Service string
	Cause   error
}

// Error implements error.
func (e RefusedError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("service %q: not run: %v", e.Service, e.Cause)
	}
	return fmt.Sprintf("service %q: refused by the endpoint before running", e.Service)
}

// Unwrap returns the last attempt's error, if any.
func (e RefusedError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e RefusedError) Code() string { return "refused" }

// Outcome implements failure.Failure.
func (e RefusedError) Outcome() failure.Outcome { return failure.NotRun }

// OutcomeUnknownError reports a request that may have run.
type OutcomeUnknownError struct {
	Service  string
	Endpoint string
	// Status is the endpoint's status, or 0 without a response.
	Status int
	Cause  error
}

// Error implements error.
func (e OutcomeUnknownError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("service %q: endpoint %s may have run the request: %v", e.Service, e.Endpoint, e.Cause)
	}
	return fmt.Sprintf("service %q: endpoint %s may have run the request and answered with status %d",
		e.Service, e.Endpoint, e.Status)
}

// Unwrap returns the error of the send, if any.
func (e OutcomeUnknownError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e OutcomeUnknownError) Code() string { return "outcome-unknown" }

// Outcome implements failure.Failure.
func (e OutcomeUnknownError) Outcome() failure.Outcome { return failure.Unknown }
