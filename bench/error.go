package bench

import (
	"fmt"

	"radishhollow/core/failure"
)

// NotReadyError reports that a daemon did not become ready within startTimeout.
type NotReadyError struct{ Daemon string }

func (e NotReadyError) Error() string {
	return fmt.Sprintf("daemon %s did not become ready in time", e.Daemon)
}

func (e NotReadyError) Code() string { return "not-ready" }

func (e NotReadyError) Outcome() failure.Outcome { return failure.NotRun }

// StatusError reports an unexpected status in a response of a stand-in or of a daemon's control API. Status is 0 if the
// experiment blocked the request.
type StatusError struct {
	URL    string
	Status int
}

func (e StatusError) Error() string { return fmt.Sprintf("%s: unexpected status %d", e.URL, e.Status) }

func (e StatusError) Code() string { return "unexpected-status" }

func (e StatusError) Outcome() failure.Outcome { return failure.Unknown }

// LengthError reports a generation with finish reason length whose number of tokens differs from the requested one.
type LengthError struct{ Want, Got int }

func (e LengthError) Error() string {
	return fmt.Sprintf("generation has %d tokens instead of %d", e.Got, e.Want)
}

func (e LengthError) Code() string { return "wrong-length" }

func (e LengthError) Outcome() failure.Outcome { return failure.Ran }

// ReplayError reports a booking whose first response has an outcome other than ran, or whose replay differs from it.
type ReplayError struct{ Key string }

func (e ReplayError) Error() string {
	return fmt.Sprintf("booking %q: the replay differs from the first response", e.Key)
}

func (e ReplayError) Code() string { return "replay-differs" }

func (e ReplayError) Outcome() failure.Outcome { return failure.Unknown }
