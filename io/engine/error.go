package engine

import (
	"fmt"
	"time"

	"radishhollow/core/failure"
)

// RefusedError reports that the engine refused a request before running it.
type RefusedError struct {
	Endpoint   string
	Status     int
	State      string
	RetryAfter time.Duration
}

// Error implements error.
func (e RefusedError) Error() string {
	return fmt.Sprintf("engine %s refused the request with status %d in state %q", e.Endpoint, e.Status, e.State)
}

// Code implements failure.Failure.
func (e RefusedError) Code() string { return "engine-refused" }

// Outcome implements failure.Failure.
func (e RefusedError) Outcome() failure.Outcome { return failure.NotRun }

// ConnectError reports that no connection was made, so that nothing was sent.
type ConnectError struct {
	Endpoint string
	Cause    error
}

// Error implements error.
func (e ConnectError) Error() string {
	return fmt.Sprintf("connect to engine %s: %v", e.Endpoint, e.Cause)
}

// Unwrap returns the transport's error.
func (e ConnectError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e ConnectError) Code() string { return "engine-unreachable" }

// Outcome implements failure.Failure.
func (e ConnectError) Outcome() failure.Outcome { return failure.NotRun }

// ConnectionError reports a connection that broke after bytes may have been sent.
type ConnectionError struct {
	Endpoint string
	Cause    error
}

// Error implements error.
func (e ConnectionError) Error() string {
	return fmt.Sprintf("connection to engine %s: %v", e.Endpoint, e.Cause)
}

// Unwrap returns the transport's error.
func (e ConnectionError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e ConnectionError) Code() string { return "engine-connection" }

// Outcome implements failure.Failure.
func (e ConnectionError) Outcome() failure.Outcome { return failure.Unknown }

// StatusError reports a response status that the call does not expect.
type StatusError struct {
	Endpoint string
	Call     string
	Status   int
}

// Error implements error.
func (e StatusError) Error() string {
	return fmt.Sprintf("engine %s answered %s with status %d", e.Endpoint, e.Call, e.Status)
}

// Code implements failure.Failure.
func (e StatusError) Code() string { return "engine-status" }

// Outcome implements failure.Failure.
func (e StatusError) Outcome() failure.Outcome { return failure.Unknown }

// UnknownStreamError reports a stream that the engine does not hold.
type UnknownStreamError struct {
	Endpoint   string
	Generation string
}

// Error implements error.
func (e UnknownStreamError) Error() string {
	return fmt.Sprintf("engine %s does not hold generation %s", e.Endpoint, e.Generation)
}

// Code implements failure.Failure.
func (e UnknownStreamError) Code() string { return "unknown-stream" }

// Outcome implements failure.Failure.
func (e UnknownStreamError) Outcome() failure.Outcome { return failure.Unknown }

// StaleFenceError reports an order whose fencing token is older than one that the engine has seen.
type StaleFenceError struct {
	Endpoint string
	Sent     uint64
	Fence    uint64
}

// Error implements error.
func (e StaleFenceError) Error() string {
	return fmt.Sprintf("engine %s refused fencing token %d, has seen %d", e.Endpoint, e.Sent, e.Fence)
}

// Code implements failure.Failure.
func (e StaleFenceError) Code() string { return "stale-fence" }

// Outcome implements failure.Failure.
func (e StaleFenceError) Outcome() failure.Outcome { return failure.NotRun }

// StreamFault tells what is wrong with a stream.
type StreamFault string

// Faults of a stream.
const (
	FaultLineTooLong  StreamFault = "line-too-long"
	FaultEventTooLong StreamFault = "event-too-long"
	FaultTruncated    StreamFault = "truncated"
	FaultMalformed    StreamFault = "malformed-chunk"
	FaultErrorEvent   StreamFault = "error-event"
)

// StreamError reports a stream that cannot be read on.
type StreamError struct {
	Fault StreamFault
	Cause error
}

// Error implements error.
func (e StreamError) Error() string {
	if e.Cause == nil {
		return "engine stream: " + string(e.Fault)
	}
	return fmt.Sprintf("engine stream: %s: %v", e.Fault, e.Cause)
}

// Unwrap returns the transport's or decoder's error, or nil.
func (e StreamError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e StreamError) Code() string { return "stream-" + string(e.Fault) }

// Outcome implements failure.Failure.
func (e StreamError) Outcome() failure.Outcome { return failure.Unknown }
