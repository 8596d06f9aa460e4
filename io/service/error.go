package service

import (
	"fmt"

	"radishhollow/core/failure"
)

// SendError reports a request without a response. Written is true where a byte of it may have been written.
type SendError struct {
	Endpoint string
	Written  bool
	Cause    error
}

// Error implements error.
func (e SendError) Error() string {
	return fmt.Sprintf("endpoint %s: request failed (written: %t): %v", e.Endpoint, e.Written, e.Cause)
}

// Unwrap returns the transport's error.
func (e SendError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e SendError) Code() string {
	if e.Written {
		return "outcome-unknown"
	}
	return "endpoint-unreachable"
}

// Outcome implements failure.Failure.
func (e SendError) Outcome() failure.Outcome {
	if e.Written {
		return failure.Unknown
	}
	return failure.NotRun
}

// ResponseError reports a response that broke off or was too large.
type ResponseError struct {
	Endpoint string
	Status   int
	Cause    error
}

// Error implements error.
func (e ResponseError) Error() string {
	return fmt.Sprintf("endpoint %s: incomplete response with status %d: %v", e.Endpoint, e.Status, e.Cause)
}

// Unwrap returns the reason.
func (e ResponseError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e ResponseError) Code() string { return "outcome-unknown" }

// Outcome implements failure.Failure.
func (e ResponseError) Outcome() failure.Outcome { return failure.Unknown }

// TooLargeError reports a response body above the limit.
type TooLargeError struct {
	Endpoint string
	Limit    int64
}

// Error implements error.
func (e TooLargeError) Error() string {
	return fmt.Sprintf("endpoint %s: response is larger than %d bytes", e.Endpoint, e.Limit)
}

// Code implements failure.Failure.
func (e TooLargeError) Code() string { return "response-too-large" }

// Outcome implements failure.Failure.
func (e TooLargeError) Outcome() failure.Outcome { return failure.Unknown }

// LoadError reports a load report that cannot be read.
type LoadError struct {
	Endpoint string
	Status   int
	Cause    error
}

// Error implements error.
func (e LoadError) Error() string {
	return fmt.Sprintf("endpoint %s: load report with status %d: %v", e.Endpoint, e.Status, e.Cause)
}

// Unwrap returns the error of the JSON decoder, if any.
func (e LoadError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e LoadError) Code() string { return "load-unreadable" }

// Outcome implements failure.Failure.
func (e LoadError) Outcome() failure.Outcome { return failure.Unknown }
