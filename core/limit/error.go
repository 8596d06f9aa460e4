package limit

import (
	"fmt"
	"time"

	"radishhollow/core/failure"
)

// LimitedError reports a request above a limit of its workspace.
type LimitedError struct {
	Workspace string
	// Limit names the limit: requests-per-second, tokens-per-second, concurrency or unknown-workspace.
	Limit      string
	RetryAfter time.Duration
}

// Error implements error.
func (e LimitedError) Error() string {
	return fmt.Sprintf("workspace %q: above its limit of %s, retry after %s", e.Workspace, e.Limit, e.RetryAfter)
}

// Code implements failure.Failure.
func (e LimitedError) Code() string { return "limited" }

// Outcome implements failure.Failure.
func (e LimitedError) Outcome() failure.Outcome { return failure.NotRun }
