package quarantine

import (
	"fmt"
	"time"

	"radishhollow/core/failure"
)

// SuspectError reports a request that was not sent because all parts of a quarantined group are in its prompt.
type SuspectError struct {
	Parts []Part
	After time.Duration
	// Unsettled states that the group is so new that evidence of other daemons on the same ends may still change it. The
	// request should wait for After and ask again.
	Unsettled bool
}

func (e SuspectError) Error() string {
	return fmt.Sprintf("parts %x of the prompt are suspected of crashing engines", e.Parts)
}

func (e SuspectError) Code() string { return "suspect-request" }

func (e SuspectError) Outcome() failure.Outcome { return failure.NotRun }

// RetryAfter returns the time after which another attempt may be admitted.
func (e SuspectError) RetryAfter() time.Duration { return e.After }
