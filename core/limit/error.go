package limit

import (
	"fmt"
	"time"

	"radishhollow/core/failure"
)

// LimitedError reports a request that exceeds a limit of its workspace.
type LimitedError struct {
	Workspace string
	// Limit names the limit: requests-per-second, tokens-per-second, concurrency or unknown-workspace.
	Limit      string
	RetryAfter time.Duration
}

func (e LimitedError) Error() string {
	return fmt.Sprintf("workspace %q: %s limit exceeded; retry after %s", e.Workspace, e.Limit, e.RetryAfter)
}

func (e LimitedError) Code() string { return "limited" }

func (e LimitedError) Outcome() failure.Outcome { return failure.NotRun }
