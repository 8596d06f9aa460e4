package lease

import (
	"fmt"
	"time"

	"radishhollow/core/failure"
)

// NotHolderError reports that this instance does not hold the lease, or may no longer hold it.
type NotHolderError struct{ Place string }

func (e NotHolderError) Error() string {
	return fmt.Sprintf("place %q: this instance does not hold the lease", e.Place)
}

func (e NotHolderError) Code() string { return "not-lease-holder" }

func (e NotHolderError) Outcome() failure.Outcome { return failure.NotRun }

// WaitingOutError reports that a new holder must wait until an earlier holder's last order has ended, because the
// endpoint ignores the fencing token.
type WaitingOutError struct {
	Place     string
	Remaining time.Duration
}

func (e WaitingOutError) Error() string {
	return fmt.Sprintf("place %q: waiting %v for an earlier lease and its orders to end", e.Place, e.Remaining)
}

func (e WaitingOutError) Code() string { return "waiting-out-lease" }

func (e WaitingOutError) Outcome() failure.Outcome { return failure.NotRun }
