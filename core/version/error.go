package version

import (
	"fmt"

	"radishhollow/core/failure"
)

// Reason says why the version of a stream is not known.
type Reason string

// Reasons of an UnknownError.
const (
	// ReasonUnnamed is a request that does not name the stream.
	ReasonUnnamed Reason = "unnamed"
	// ReasonUnavailable is a key-value service that does not answer.
	ReasonUnavailable Reason = "unavailable"
	// ReasonUnlisted is a service without a history or an endpoint.
	ReasonUnlisted Reason = "unlisted"
	// ReasonUnsettled is a key-value service that has come back from an older copy, which may lack records.
	ReasonUnsettled Reason = "unsettled"
)

// UnknownError reports a stream that is to go on and whose version is not known.
type UnknownError struct {
	Service string
	Reason  Reason
	// Cause is the error of the key-value service, or nil.
	Cause error
}

func (e UnknownError) Error() string {
	return fmt.Sprintf("the version that began the stream of service %q is not known: %s", e.Service, e.Reason)
}

func (e UnknownError) Unwrap() error { return e.Cause }

func (e UnknownError) Code() string { return "version-unknown" }

func (e UnknownError) Outcome() failure.Outcome { return failure.NotRun }

// GoneError reports a stream that is to go on at a version without a listed endpoint.
type GoneError struct{ Service, Version string }

func (e GoneError) Error() string {
	return fmt.Sprintf("no endpoint of service %q has version %q, which began the stream", e.Service, e.Version)
}

func (e GoneError) Code() string { return "version-gone" }

func (e GoneError) Outcome() failure.Outcome { return failure.NotRun }

// MalformedError reports a key whose value cannot be read.
type MalformedError struct {
	Key   string
	Cause error
}

func (e MalformedError) Error() string { return fmt.Sprintf("key %q is malformed: %v", e.Key, e.Cause) }

func (e MalformedError) Unwrap() error { return e.Cause }

func (e MalformedError) Code() string { return "malformed-version" }

func (e MalformedError) Outcome() failure.Outcome { return failure.NotRun }
