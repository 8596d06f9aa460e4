package generation

import (
	"fmt"
	"time"

	"radishhollow/core/failure"
)

// MalformedSpecError reports a spec that ParseSpec cannot read.
type MalformedSpecError struct{ Text string }

// Error implements error.
func (e MalformedSpecError) Error() string { return fmt.Sprintf("malformed spec %q", e.Text) }

// Code implements failure.Failure.
func (e MalformedSpecError) Code() string { return "malformed-spec" }

// Outcome implements failure.Failure.
func (e MalformedSpecError) Outcome() failure.Outcome { return failure.Unknown }

// SpecLostError reports that output was delivered and no endpoint has the weights that produced it.
type SpecLostError struct {
	Spec   Spec
	Offset int
}

// Error implements error.
func (e SpecLostError) Error() string {
	return fmt.Sprintf("no endpoint serves %s, which produced the first %d tokens", e.Spec, e.Offset)
}

// Code implements failure.Failure.
func (e SpecLostError) Code() string { return "spec-lost" }

// Outcome implements failure.Failure.
func (e SpecLostError) Outcome() failure.Outcome { return failure.Ran }

// EngineLostError reports that the generation cannot continue on any endpoint.
type EngineLostError struct {
	Endpoint string
	Offset   int
	Result   failure.Outcome
	Cause    error
}

// Error implements error.
func (e EngineLostError) Error() string {
	return fmt.Sprintf("engine %s lost at offset %d: %v", e.Endpoint, e.Offset, e.Cause)
}

// Unwrap returns the last attempt's error.
func (e EngineLostError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e EngineLostError) Code() string { return "engine-lost" }

// Outcome implements failure.Failure.
func (e EngineLostError) Outcome() failure.Outcome { return e.Result }

// WaitExceededError reports that the next token did not arrive within the caller's wait bound after a loss.
type WaitExceededError struct {
	Bound  time.Duration
	Offset int
	Result failure.Outcome
	Cause  error
}

// Error implements error.
func (e WaitExceededError) Error() string {
	return fmt.Sprintf("no token within %s at offset %d: %v", e.Bound, e.Offset, e.Cause)
}

// Unwrap returns the last attempt's error.
func (e WaitExceededError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e WaitExceededError) Code() string { return "wait-exceeded" }

// Outcome implements failure.Failure.
func (e WaitExceededError) Outcome() failure.Outcome { return e.Result }

// CallerGoneError reports that the caller closed its connection. It is the cause of the context given to Driver.Run.
type CallerGoneError struct{ Cause error }

// Error implements error.
func (e CallerGoneError) Error() string { return fmt.Sprintf("caller disconnected: %v", e.Cause) }

// Unwrap returns the write error, or nil.
func (e CallerGoneError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e CallerGoneError) Code() string { return "caller-gone" }

// Outcome implements failure.Failure.
func (e CallerGoneError) Outcome() failure.Outcome { return failure.Unknown }

// SupersededError reports that another entry has attached to the generation with a higher attempt.
type SupersededError struct {
	Generation string
	Attempt    int
}

// Error implements error.
func (e SupersededError) Error() string {
	return fmt.Sprintf("attempt %d of generation %s is superseded", e.Attempt, e.Generation)
}

// Code implements failure.Failure.
func (e SupersededError) Code() string { return "superseded" }

// Outcome implements failure.Failure.
func (e SupersededError) Outcome() failure.Outcome { return failure.Ran }

// StaleAttemptError reports an engine's refusal of an attempt number that is not above the current one.
type StaleAttemptError struct {
	Endpoint   string
	Generation string
	Attempt    int
}

// Error implements error.
func (e StaleAttemptError) Error() string {
	return fmt.Sprintf("engine %s refused attempt %d of generation %s as stale", e.Endpoint, e.Attempt, e.Generation)
}

// Code implements failure.Failure.
func (e StaleAttemptError) Code() string { return "stale-attempt" }

// Outcome implements failure.Failure.
func (e StaleAttemptError) Outcome() failure.Outcome { return failure.Unknown }

// BudgetError reports that the retry budget allows no further attempt.
type BudgetError struct{ Attempt int }

// Error implements error.
func (e BudgetError) Error() string {
	return fmt.Sprintf("retry budget exhausted before attempt %d", e.Attempt)
}

// Code implements failure.Failure.
func (e BudgetError) Code() string { return "retry-budget" }

// Outcome implements failure.Failure.
func (e BudgetError) Outcome() failure.Outcome { return failure.Unknown }

// SilenceError reports an engine that sent nothing for longer than the stream's deadline.
type SilenceError struct {
	Endpoint string
	After    time.Duration
}

// Error implements error.
func (e SilenceError) Error() string {
	return fmt.Sprintf("engine %s silent for %s", e.Endpoint, e.After)
}

// Code implements failure.Failure.
func (e SilenceError) Code() string { return "engine-silent" }

// Outcome implements failure.Failure.
func (e SilenceError) Outcome() failure.Outcome { return failure.Unknown }

// CursorLostError reports a cursor whose engine is gone and whose delivered ids are not known to this entry.
type CursorLostError struct {
	Endpoint string
	Offset   int
}

// Error implements error.
func (e CursorLostError) Error() string {
	return fmt.Sprintf("stream at %s cannot be continued from offset %d without resume_token_ids", e.Endpoint, e.Offset)
}

// Code implements failure.Failure.
func (e CursorLostError) Code() string { return "cursor-lost" }

// Outcome implements failure.Failure.
func (e CursorLostError) Outcome() failure.Outcome { return failure.Ran }
