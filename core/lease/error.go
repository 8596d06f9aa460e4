package lease

import (
	"fmt"
	"time"

	"radishhollow/core/failure"
)

// NotHolderError reports an instance that does not, or no longer surely, hold the lease.
type NotHolderError struct{ Place string }

// Error implements error.
func (e NotHolderError) Error() string { return fmt.Sprintf("place %q: not the lease holder", e.Place) }

// Code implements failure.Failure.
func (e NotHolderError) Code() string { return "not-lease-holder" }

// Outcome implements failure.Failure.
func (e NotHolderError) Outcome() failure.Outcome { return failure.NotRun }

// WaitingOutError reports a new holder that waits for an earlier holder's last order.
type WaitingOutError struct {
	Place     string
	Remaining time.Duration
}

// Error implements error.
func (e WaitingOutError) Error() string {
	return fmt.Sprintf("place %q: waiting %v for the end of an earlier lease", e.Place, e.Remaining)
}

// Code implements failure.Failure.
func (e WaitingOutError) Code() string { return "waiting-out-lease" }

// Outcome implements failure.Failure.
func (e WaitingOutError) Outcome() failure.Outcome { return failure.NotRun }
