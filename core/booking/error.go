package booking

import (
	"fmt"

	"radishhollow/core/failure"
)

// RefusedError reports a request that no endpoint executed, so that it is safe to send it again.
type RefusedError struct {
	Service string
	Cause   error
}

func (e RefusedError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("service %q: the request was not executed: %v", e.Service, e.Cause)
	}
	return fmt.Sprintf("service %q: the endpoint refused the request without executing it", e.Service)
}

// Unwrap returns the error of the last attempt, or nil if that endpoint responded.
func (e RefusedError) Unwrap() error { return e.Cause }

func (e RefusedError) Code() string { return "refused" }

func (e RefusedError) Outcome() failure.Outcome { return failure.NotRun }

// OutcomeUnknownError reports a request that an endpoint may have executed.
type OutcomeUnknownError struct {
	Service  string
	Endpoint string
	// Status is the HTTP status of the endpoint's response, or 0 if there was no usable response, for example because it
	// was cut off or too large.
	Status int
	Cause  error
}

func (e OutcomeUnknownError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("service %q: endpoint %s may have executed the request: %v", e.Service, e.Endpoint, e.Cause)
	}
	return fmt.Sprintf("service %q: endpoint %s may have executed the request and responded with status %d",
		e.Service, e.Endpoint, e.Status)
}

// Unwrap returns the error of Sender.Send, or nil if Send returned a response.
func (e OutcomeUnknownError) Unwrap() error { return e.Cause }

func (e OutcomeUnknownError) Code() string { return "outcome-unknown" }

func (e OutcomeUnknownError) Outcome() failure.Outcome { return failure.Unknown }
