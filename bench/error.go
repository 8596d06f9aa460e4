package bench

import (
	"fmt"

	"radishhollow/core/failure"
)

// NotReadyError reports a daemon that did not become ready in time.
type NotReadyError struct{ Daemon string }

// Error implements error.
func (e NotReadyError) Error() string { return fmt.Sprintf("daemon %s is not ready", e.Daemon) }

// Code implements failure.Failure.
func (e NotReadyError) Code() string { return "not-ready" }

// Outcome implements failure.Failure.
func (e NotReadyError) Outcome() failure.Outcome { return failure.NotRun }

// StatusError reports an unexpected status of a stand-in or a daemon's own page.
type StatusError struct {
	URL    string
	Status int
}

// Error implements error.
func (e StatusError) Error() string { return fmt.Sprintf("%s: status %d", e.URL, e.Status) }

// Code implements failure.Failure.
func (e StatusError) Code() string { return "unexpected-status" }

// Outcome implements failure.Failure.
func (e StatusError) Outcome() failure.Outcome { return failure.Unknown }

// LengthError reports an answer that ended at its limit with another number of tokens.
type LengthError struct{ Want, Got int }

// Error implements error.
func (e LengthError) Error() string { return fmt.Sprintf("%d tokens instead of %d", e.Got, e.Want) }

// Code implements failure.Failure.
func (e LengthError) Code() string { return "wrong-length" }

// Outcome implements failure.Failure.
func (e LengthError) Outcome() failure.Outcome { return failure.Ran }

// ReplayError reports a repeated booking whose answer differs from the first.
type ReplayError struct{ Key string }

// Error implements error.
func (e ReplayError) Error() string {
	return fmt.Sprintf("booking %q has two different answers", e.Key)
}

// Code implements failure.Failure.
func (e ReplayError) Code() string { return "replay-differs" }

// Outcome implements failure.Failure.
func (e ReplayError) Outcome() failure.Outcome { return failure.Unknown }
