package keyvalue

import (
	"fmt"

	"radishhollow/core/failure"
)

// StatusError reports an HTTP status for which the protocol defines no result.
type StatusError struct {
	Call   string
	Status int
}

func (e StatusError) Error() string { return fmt.Sprintf("%s: status %d", e.Call, e.Status) }

func (e StatusError) Code() string { return "platform-status" }

func (e StatusError) Outcome() failure.Outcome { return failure.Unknown }

// TooLargeError reports a response body that is larger than Limit, in bytes.
type TooLargeError struct {
	Call  string
	Limit int64
}

func (e TooLargeError) Error() string {
	return fmt.Sprintf("%s: response is larger than %d bytes", e.Call, e.Limit)
}

func (e TooLargeError) Code() string { return "platform-response-too-large" }

func (e TooLargeError) Outcome() failure.Outcome { return failure.Unknown }
