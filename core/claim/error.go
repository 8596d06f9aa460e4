package claim

import (
	"fmt"
	"time"

	"radishhollow/core/failure"
)

// KeyReusedError reports an idempotency key that is bound to another call.
type KeyReusedError struct{ Service string }

// Error implements error.
func (e KeyReusedError) Error() string {
	return fmt.Sprintf("service %q: the idempotency key was used for a different request", e.Service)
}

// Code implements failure.Failure.
func (e KeyReusedError) Code() string { return "key-reused" }

// Outcome implements failure.Failure. It speaks of the refused request, not of the earlier one.
func (e KeyReusedError) Outcome() failure.Outcome { return failure.NotRun }

// OutcomeUnknownError reports an earlier request with the same key whose outcome is not recorded.
type OutcomeUnknownError struct{ Cause error }

// Error implements error.
func (e OutcomeUnknownError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("the outcome of an earlier request with this key is unknown: %v", e.Cause)
	}
	return "the outcome of an earlier request with this key is unknown"
}

// Unwrap returns the reason that the record could not be read, if any.
func (e OutcomeUnknownError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e OutcomeUnknownError) Code() string { return "outcome-unknown" }

// Outcome implements failure.Failure.
func (e OutcomeUnknownError) Outcome() failure.Outcome { return failure.Unknown }

// FailedError reports that no idempotency record could be created, so the request was not sent.
type FailedError struct{ Cause error }

// Error implements error.
func (e FailedError) Error() string {
	return fmt.Sprintf("the idempotency record could not be created: %v", e.Cause)
}

// Unwrap returns the last error of the key-value service.
func (e FailedError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e FailedError) Code() string { return "claim-failed" }

// Outcome implements failure.Failure.
func (e FailedError) Outcome() failure.Outcome { return failure.NotRun }

// ReleasedError reports an earlier request with the same key that did not run.
type ReleasedError struct{}

// Error implements error.
func (e ReleasedError) Error() string { return "an earlier request with this key did not run" }

// Code implements failure.Failure.
func (e ReleasedError) Code() string { return "not-run" }

// Outcome implements failure.Failure.
func (e ReleasedError) Outcome() failure.Outcome { return failure.NotRun }

// OmittedError reports a request that ran and whose response is too large to be replayed.
type OmittedError struct {
	Status     int
	BodyDigest string
}

// Error implements error.
func (e OmittedError) Error() string {
	return fmt.Sprintf("the request ran with status %d; its response (SHA-256 %s) is too large to replay",
		e.Status, e.BodyDigest)
}

// Code implements failure.Failure.
func (e OmittedError) Code() string { return "response-omitted" }

// Outcome implements failure.Failure.
func (e OmittedError) Outcome() failure.Outcome { return failure.Ran }

// TicketExpiredError reports a claim that is too old to be sent under.
type TicketExpiredError struct{ Age time.Duration }

// Error implements error.
func (e TicketExpiredError) Error() string { return fmt.Sprintf("the claim is %v old", e.Age) }

// Code implements failure.Failure.
func (e TicketExpiredError) Code() string { return "claim-expired" }

// Outcome implements failure.Failure.
func (e TicketExpiredError) Outcome() failure.Outcome { return failure.NotRun }

// MalformedRecordError reports a record that cannot be read.
type MalformedRecordError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e MalformedRecordError) Error() string {
	return fmt.Sprintf("idempotency record %q is malformed: %v", e.Key, e.Cause)
}

// Unwrap returns the error of the JSON decoder.
func (e MalformedRecordError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e MalformedRecordError) Code() string { return "malformed-record" }

// Outcome implements failure.Failure. An earlier request with the key may have run.
func (e MalformedRecordError) Outcome() failure.Outcome { return failure.Unknown }
