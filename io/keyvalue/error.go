package keyvalue

import (
	"fmt"

	"radishhollow/core/failure"
)

// StatusError reports an HTTP status that stands for no result.
type StatusError struct {
	Call   string
	Status int
}

// Error implements error.
func (e StatusError) Error() string { return fmt.Sprintf("%s: status %d", e.Call, e.Status) }

// Code implements failure.Failure.
func (e StatusError) Code() string { return "platform-status" }

// Outcome implements failure.Failure.
func (e StatusError) Outcome() failure.Outcome { return failure.Unknown }

// TooLargeError reports a response body above the limit.
type TooLargeError struct {
	Call  string
	Limit int64
}

// Error implements error.
func (e TooLargeError) Error() string {
	return fmt.Sprintf("%s: response is larger than %d bytes", e.Call, e.Limit)
}

// Code implements failure.Failure.
func (e TooLargeError) Code() string { return "platform-response-too-large" }

// Outcome implements failure.Failure.
func (e TooLargeError) Outcome() failure.Outcome { return failure.Unknown }
