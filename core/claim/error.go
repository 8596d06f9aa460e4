package claim

import (
	"fmt"
	"time"

	"radishhollow/core/failure"
)

// KeyReusedError reports an idempotency key that was already used for a different request.
type KeyReusedError struct{ Service string }

func (e KeyReusedError) Error() string {
	return fmt.Sprintf("service %q: the idempotency key was used for a different request", e.Service)
}

func (e KeyReusedError) Code() string { return "key-reused" }

// Outcome returns the outcome of the rejected request, not of the earlier one.
func (e KeyReusedError) Outcome() failure.Outcome { return failure.NotRun }

// OutcomeUnknownError reports an earlier request with the same key whose outcome is not recorded, is recorded as
// unknown or cannot be read.
type OutcomeUnknownError struct{ Cause error }

func (e OutcomeUnknownError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("the outcome of an earlier request with this key is unknown: %v", e.Cause)
	}
	return "the outcome of an earlier request with this key is unknown"
}

// Unwrap returns the error that prevented reading the record, or nil if there was none.
func (e OutcomeUnknownError) Unwrap() error { return e.Cause }

func (e OutcomeUnknownError) Code() string { return "outcome-unknown" }

func (e OutcomeUnknownError) Outcome() failure.Outcome { return failure.Unknown }

// SettlingError reports that the key-value service has come back from an older copy, and that records of earlier requests
// may not be written again yet.
type SettlingError struct{ Remaining time.Duration }

func (e SettlingError) Error() string {
	return fmt.Sprintf("the key-value service has lost recent records; keys can be claimed again in %s", e.Remaining)
}

func (e SettlingError) Code() string { return "claims-settling" }

func (e SettlingError) Outcome() failure.Outcome { return failure.NotRun }

// FailedError reports that no idempotency record could be created, so the request was not sent.
type FailedError struct{ Cause error }

func (e FailedError) Error() string {
	return fmt.Sprintf("the idempotency record could not be created: %v", e.Cause)
}

// Unwrap returns the error of the last write, of its lease or of the read-back of the key.
func (e FailedError) Unwrap() error { return e.Cause }

func (e FailedError) Code() string { return "claim-failed" }

func (e FailedError) Outcome() failure.Outcome { return failure.NotRun }

// ReleasedError reports an earlier request with the same key that was not executed.
type ReleasedError struct{}

func (e ReleasedError) Error() string { return "an earlier request with this key was not executed" }

func (e ReleasedError) Code() string { return "not-run" }

func (e ReleasedError) Outcome() failure.Outcome { return failure.NotRun }

// OmittedError reports a request that was executed but whose response was too large to be recorded for replay.
type OmittedError struct {
	Status     int
	BodyDigest string
}

func (e OmittedError) Error() string {
	return fmt.Sprintf("the request was executed with status %d; its response (body SHA-256 %s) is too large to replay",
		e.Status, e.BodyDigest)
}

func (e OmittedError) Code() string { return "response-omitted" }

func (e OmittedError) Outcome() failure.Outcome { return failure.Ran }

// TicketExpiredError reports a Ticket that does not allow a send: its claim is too old, or it does not own the key.
type TicketExpiredError struct{ Age time.Duration }

func (e TicketExpiredError) Error() string {
	return fmt.Sprintf("the claim does not allow a send (age %v)", e.Age)
}

func (e TicketExpiredError) Code() string { return "claim-expired" }

func (e TicketExpiredError) Outcome() failure.Outcome { return failure.NotRun }

// MalformedRecordError reports an idempotency record that cannot be decoded.
type MalformedRecordError struct {
	// Key is the key of the record in the key-value service.
	Key   string
	Cause error
}

func (e MalformedRecordError) Error() string {
	return fmt.Sprintf("idempotency record %q is malformed: %v", e.Key, e.Cause)
}

// Unwrap returns the error of the JSON decoder.
func (e MalformedRecordError) Unwrap() error { return e.Cause }

func (e MalformedRecordError) Code() string { return "malformed-record" }

// Outcome returns Unknown, because an earlier request with the key may have been executed.
func (e MalformedRecordError) Outcome() failure.Outcome { return failure.Unknown }
