package service

import (
	"fmt"

	"radishhollow/core/failure"
)

// SendError reports a request without a response.
type SendError struct {
	Endpoint string
	// Written reports whether a byte of the request may have been written to the connection, whether or not the endpoint
	// received it.
	Written bool
	// Cause is the transport's error.
	Cause error
}

func (e SendError) Error() string {
	return fmt.Sprintf("endpoint %s: request failed (written: %t): %v", e.Endpoint, e.Written, e.Cause)
}

func (e SendError) Unwrap() error { return e.Cause }

func (e SendError) Code() string {
	if e.Written {
		return "outcome-unknown"
	}
	return "endpoint-unreachable"
}

func (e SendError) Outcome() failure.Outcome {
	if e.Written {
		return failure.Unknown
	}
	return failure.NotRun
}

// ResponseError reports a response that was incomplete, too large or rejected by Client.Check.
type ResponseError struct {
	Endpoint string
	Status   int
	Cause    error
}

func (e ResponseError) Error() string {
	return fmt.Sprintf("endpoint %s: unusable response with status %d: %v", e.Endpoint, e.Status, e.Cause)
}

func (e ResponseError) Unwrap() error { return e.Cause }

func (e ResponseError) Code() string { return "outcome-unknown" }

func (e ResponseError) Outcome() failure.Outcome { return failure.Unknown }

// StatusError reports a response whose status is not that of a final HTTP response.
type StatusError struct{ Status int }

func (e StatusError) Error() string {
	return fmt.Sprintf("status %d is not that of a valid final response", e.Status)
}

func (e StatusError) Code() string { return "outcome-unknown" }

func (e StatusError) Outcome() failure.Outcome { return failure.Unknown }

// TooLargeError reports a response body above the limit.
type TooLargeError struct {
	Endpoint string
	// Limit is the maximum size in bytes.
	Limit int64
}

func (e TooLargeError) Error() string {
	return fmt.Sprintf("endpoint %s: response is larger than %d bytes", e.Endpoint, e.Limit)
}

func (e TooLargeError) Code() string { return "response-too-large" }

func (e TooLargeError) Outcome() failure.Outcome { return failure.Unknown }

// LoadError reports a load report with a status other than 200, above the size limit, or that cannot be decoded.
type LoadError struct {
	Endpoint string
	Status   int
	// Cause is the error of the JSON decoder, or nil.
	Cause error
}

func (e LoadError) Error() string {
	return fmt.Sprintf("endpoint %s: unusable load report with status %d: %v", e.Endpoint, e.Status, e.Cause)
}

func (e LoadError) Unwrap() error { return e.Cause }

func (e LoadError) Code() string { return "load-unreadable" }

func (e LoadError) Outcome() failure.Outcome { return failure.Unknown }

// UploadError reports a response that ends with its connection although the request was not written completely, so that the
// connection may have been reset.
type UploadError struct {
	// Cause is the error of the write.
	Cause error
}

func (e UploadError) Error() string {
	return fmt.Sprintf("connection ended while the request was being written: %v", e.Cause)
}

func (e UploadError) Unwrap() error { return e.Cause }

func (e UploadError) Code() string { return "outcome-unknown" }

func (e UploadError) Outcome() failure.Outcome { return failure.Unknown }
