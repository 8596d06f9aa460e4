package kv

import (
	"fmt"

	"radishhollow/core/failure"
)

// NotFoundError reports a key that does not exist.
type NotFoundError struct{ Key string }

func (e NotFoundError) Error() string { return fmt.Sprintf("key %q does not exist", e.Key) }

func (e NotFoundError) Code() string { return "key-not-found" }

func (e NotFoundError) Outcome() failure.Outcome { return failure.NotRun }

// ConflictError reports a conditional write whose key had another revision than expected.
type ConflictError struct {
	Key     string
	Want    Revision
	Current Revision
}

func (e ConflictError) Error() string {
	return fmt.Sprintf("key %q is at revision %s, not %s", e.Key, e.Current, e.Want)
}

func (e ConflictError) Code() string { return "key-conflict" }

func (e ConflictError) Outcome() failure.Outcome { return failure.NotRun }

// LeaseLostError reports a lease that has expired or was revoked.
type LeaseLostError struct{ Lease Lease }

func (e LeaseLostError) Error() string {
	return fmt.Sprintf("lease %q has expired or was revoked", e.Lease.ID())
}

func (e LeaseLostError) Code() string { return "lease-lost" }

func (e LeaseLostError) Outcome() failure.Outcome { return failure.NotRun }

// UnavailableError reports a call that got no valid response, or one that only reports a failure of the service.
type UnavailableError struct {
	// Call names the kind of call, such as "get" or "put".
	Call string
	// MayHaveTakenEffect is true if the call is a write that may have taken effect.
	MayHaveTakenEffect bool
	Cause              error
}

func (e UnavailableError) Error() string {
	return fmt.Sprintf("key-value service: %s: %v", e.Call, e.Cause)
}

// Unwrap returns the error of the transport.
func (e UnavailableError) Unwrap() error { return e.Cause }

func (e UnavailableError) Code() string { return "platform-unavailable" }

// Outcome returns the outcome of the write to the store, not of a caller's request.
func (e UnavailableError) Outcome() failure.Outcome {
	if e.MayHaveTakenEffect {
		return failure.Unknown
	}
	return failure.NotRun
}

// CompactedError reports a watch from a revision whose later changes the store has compacted.
type CompactedError struct{ After Revision }

func (e CompactedError) Error() string {
	return fmt.Sprintf("the changes after revision %s have been compacted", e.After)
}

func (e CompactedError) Code() string { return "history-compacted" }

func (e CompactedError) Outcome() failure.Outcome { return failure.NotRun }

// OldRevisionError reports a response with a lower revision than one that the caller has already received.
type OldRevisionError struct{ Want, Got Revision }

func (e OldRevisionError) Error() string {
	return fmt.Sprintf("response at revision %s is older than revision %s", e.Got, e.Want)
}

func (e OldRevisionError) Code() string { return "old-revision" }

func (e OldRevisionError) Outcome() failure.Outcome { return failure.NotRun }

// EraEndedError reports a revision or a response of an era that the key-value service has ended by coming back from an
// older copy. What was read in that era must be read anew.
type EraEndedError struct{ Era, Current uint64 }

func (e EraEndedError) Error() string {
	return fmt.Sprintf("era %d of the key-value service has ended; it is in era %d", e.Era, e.Current)
}

func (e EraEndedError) Code() string { return "era-ended" }

func (e EraEndedError) Outcome() failure.Outcome { return failure.NotRun }
