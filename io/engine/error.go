package engine

import (
	"fmt"
	"time"

	"radishhollow/core/failure"
)

// RefusedError reports that the engine refused a request before running it. State is the engine's state, and RetryAfter
// is 0 if the engine does not state a time.
type RefusedError struct {
	Endpoint   string
	Status     int
	State      string
	RetryAfter time.Duration
}

func (e RefusedError) Error() string {
	return fmt.Sprintf("engine %s refused the request with status %d in state %q", e.Endpoint, e.Status, e.State)
}

func (e RefusedError) Code() string { return "engine-refused" }

func (e RefusedError) Outcome() failure.Outcome { return failure.NotRun }

// ConnectError reports a failed connection attempt. Nothing was sent. Cause is the transport's error.
type ConnectError struct {
	Endpoint string
	Cause    error
}

func (e ConnectError) Error() string {
	return fmt.Sprintf("cannot connect to engine %s: %v", e.Endpoint, e.Cause)
}

func (e ConnectError) Unwrap() error { return e.Cause }

func (e ConnectError) Code() string { return "engine-unreachable" }

func (e ConnectError) Outcome() failure.Outcome { return failure.NotRun }

// ConnectionError reports a connection that failed after a part of the request may have been sent, or whose response
// cannot be decoded. Cause is the error of the transport, decoder or context.
type ConnectionError struct {
	Endpoint string
	Cause    error
}

func (e ConnectionError) Error() string {
	return fmt.Sprintf("connection to engine %s failed: %v", e.Endpoint, e.Cause)
}

func (e ConnectionError) Unwrap() error { return e.Cause }

func (e ConnectionError) Code() string { return "engine-connection" }

func (e ConnectionError) Outcome() failure.Outcome { return failure.Unknown }

// StatusError reports an unexpected response status.
type StatusError struct {
	Endpoint string
	Call     string
	Status   int
}

func (e StatusError) Error() string {
	return fmt.Sprintf("engine %s responded to %s with status %d", e.Endpoint, e.Call, e.Status)
}

func (e StatusError) Code() string { return "engine-status" }

func (e StatusError) Outcome() failure.Outcome { return failure.Unknown }

// UnknownStreamError reports that the engine has no stream of the generation.
type UnknownStreamError struct {
	Endpoint   string
	Generation string
}

func (e UnknownStreamError) Error() string {
	return fmt.Sprintf("engine %s has no stream of generation %s", e.Endpoint, e.Generation)
}

func (e UnknownStreamError) Code() string { return "unknown-stream" }

func (e UnknownStreamError) Outcome() failure.Outcome { return failure.Unknown }

// StaleFencingTokenError reports that an engine refused an order because it has seen a higher fencing token.
type StaleFencingTokenError struct {
	Endpoint  string
	SentToken uint64
	MaxToken  uint64
}

func (e StaleFencingTokenError) Error() string {
	return fmt.Sprintf("engine %s refused fencing token %d; it has seen %d", e.Endpoint, e.SentToken, e.MaxToken)
}

func (e StaleFencingTokenError) Code() string { return "stale-fence" }

func (e StaleFencingTokenError) Outcome() failure.Outcome { return failure.NotRun }

// StreamFault is the reason why a stream cannot be read.
type StreamFault string

// Values of StreamFault.
const (
	FaultLineTooLong  StreamFault = "line-too-long"
	FaultEventTooLong StreamFault = "event-too-long"
	FaultTruncated    StreamFault = "truncated"
	FaultMalformed    StreamFault = "malformed-chunk"
	FaultErrorEvent   StreamFault = "error-event"
)

// StreamError reports a stream that cannot be read to its end. Cause is the error of the transport or decoder, or nil.
type StreamError struct {
	Fault StreamFault
	Cause error
}

func (e StreamError) Error() string {
	if e.Cause == nil {
		return "engine stream: " + string(e.Fault)
	}
	return fmt.Sprintf("engine stream: %s: %v", e.Fault, e.Cause)
}

func (e StreamError) Unwrap() error { return e.Cause }

func (e StreamError) Code() string { return "stream-" + string(e.Fault) }

func (e StreamError) Outcome() failure.Outcome { return failure.Unknown }
