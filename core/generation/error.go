package generation

import (
	"fmt"
	"time"

	"radishhollow/core/failure"
)

// MalformedSpecError reports a text that ParseSpec cannot parse.
type MalformedSpecError struct{ Text string }

func (e MalformedSpecError) Error() string { return fmt.Sprintf("malformed spec %q", e.Text) }

func (e MalformedSpecError) Code() string { return "malformed-spec" }

func (e MalformedSpecError) Outcome() failure.Outcome { return failure.Unknown }

// SpecLostError reports that output was delivered and no endpoint has the weights that produced it.
type SpecLostError struct {
	Spec   Spec
	Offset int
}

func (e SpecLostError) Error() string {
	return fmt.Sprintf("no endpoint serves %s, which produced the first %d tokens", e.Spec, e.Offset)
}

func (e SpecLostError) Code() string { return "spec-lost" }

func (e SpecLostError) Outcome() failure.Outcome { return failure.Ran }

// EngineLostError reports that the generation cannot continue on any endpoint. Cause is the last attempt's error
// or a RetryBudgetError.
type EngineLostError struct {
	Endpoint string
	Offset   int
	Result   failure.Outcome
	Cause    error
}

func (e EngineLostError) Error() string {
	return fmt.Sprintf("engine %s lost at offset %d: %v", e.Endpoint, e.Offset, e.Cause)
}

func (e EngineLostError) Unwrap() error { return e.Cause }

func (e EngineLostError) Code() string { return "engine-lost" }

func (e EngineLostError) Outcome() failure.Outcome { return e.Result }

// AdmissionError reports that Driver.Admit rejected an attempt, for the reason in Cause. Result is failure.NotRun only if
// no attempt of this call of Run can have run.
type AdmissionError struct {
	Offset int
	Result failure.Outcome
	Cause  error
}

func (e AdmissionError) Error() string {
	return fmt.Sprintf("no further attempt is admitted at offset %d: %v", e.Offset, e.Cause)
}

func (e AdmissionError) Unwrap() error { return e.Cause }

func (e AdmissionError) Code() string { return failure.Of(e.Cause).Code() }

func (e AdmissionError) Outcome() failure.Outcome { return e.Result }

// WaitExceededError reports that no stream was open, or that the next token did not arrive after a loss, within the
// caller's wait bound. Cause is the last attempt's error.
type WaitExceededError struct {
	Bound  time.Duration
	Offset int
	Result failure.Outcome
	Cause  error
}

func (e WaitExceededError) Error() string {
	return fmt.Sprintf("no token within %s at offset %d: %v", e.Bound, e.Offset, e.Cause)
}

func (e WaitExceededError) Unwrap() error { return e.Cause }

func (e WaitExceededError) Code() string { return "wait-exceeded" }

func (e WaitExceededError) Outcome() failure.Outcome { return e.Result }

// CallerGoneError reports that the caller closed its connection. It is the cancellation cause of the context given to
// Driver.Run. Cause is the write error, or nil.
type CallerGoneError struct{ Cause error }

func (e CallerGoneError) Error() string { return fmt.Sprintf("caller disconnected: %v", e.Cause) }

func (e CallerGoneError) Unwrap() error { return e.Cause }

func (e CallerGoneError) Code() string { return "caller-gone" }

func (e CallerGoneError) Outcome() failure.Outcome { return failure.Unknown }

// SupersededError reports that another daemon has attached to the generation with a higher attempt number.
type SupersededError struct {
	Generation string
	Attempt    int
}

func (e SupersededError) Error() string {
	return fmt.Sprintf("attempt %d of generation %s is superseded", e.Attempt, e.Generation)
}

func (e SupersededError) Code() string { return "superseded" }

func (e SupersededError) Outcome() failure.Outcome { return failure.Ran }

// StaleAttemptError reports that an engine refused an attempt number that is not above the current one.
type StaleAttemptError struct {
	Endpoint   string
	Generation string
	Attempt    int
}

func (e StaleAttemptError) Error() string {
	return fmt.Sprintf("engine %s refused attempt %d of generation %s as stale", e.Endpoint, e.Attempt, e.Generation)
}

func (e StaleAttemptError) Code() string { return "stale-attempt" }

func (e StaleAttemptError) Outcome() failure.Outcome { return failure.Unknown }

// RetryBudgetError reports that the retry budget allows no further attempt.
type RetryBudgetError struct{ Attempt int }

func (e RetryBudgetError) Error() string {
	return fmt.Sprintf("retry budget exhausted before attempt %d", e.Attempt)
}

func (e RetryBudgetError) Code() string { return "retry-budget" }

func (e RetryBudgetError) Outcome() failure.Outcome { return failure.Unknown }

// movedError reports within the Driver that a silent stream was given up and the next attempt has been started.
type movedError struct{ SilenceError }

// searchEndedError reports within the Driver that no endpoint may be tried any more.
type searchEndedError struct{ error }

func (e searchEndedError) Unwrap() error { return e.error }

// SilenceError reports that an engine sent no chunk within the timeout of its stream, or stalled.
type SilenceError struct {
	Endpoint string
	After    time.Duration
}

func (e SilenceError) Error() string {
	return fmt.Sprintf("engine %s sent no chunk for %s", e.Endpoint, e.After)
}

func (e SilenceError) Code() string { return "engine-silent" }

func (e SilenceError) Outcome() failure.Outcome { return failure.Unknown }

// CursorLostError reports a cursor whose engine is gone and whose delivered ids are not known to this daemon.
type CursorLostError struct {
	Endpoint string
	Offset   int
}

func (e CursorLostError) Error() string {
	return fmt.Sprintf("stream at %s cannot be continued from offset %d without resume_token_ids", e.Endpoint, e.Offset)
}

func (e CursorLostError) Code() string { return "cursor-lost" }

func (e CursorLostError) Outcome() failure.Outcome { return failure.Ran }

// isFinal reports whether Run returns the error as it is.
func isFinal(err error) bool {
	switch failure.Of(err).(type) {
	case AdmissionError, EngineLostError, WaitExceededError, SupersededError, CursorLostError:
		return true
	}
	return false
}
