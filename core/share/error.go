package share

import (
	"fmt"
	"time"

	"radishhollow/core/failure"
)

// OverloadedError reports work that was rejected because a queue was full or its wait would be, or was, too long.
type OverloadedError struct {
	Workspace string
	// Limit is the limit that was reached: workspace-queue, total-queue, estimated-wait or deadline.
	Limit      string
	RetryAfter time.Duration
}

func (e OverloadedError) Error() string {
	return fmt.Sprintf("workspace %q: overloaded (%s), retry after %s", e.Workspace, e.Limit, e.RetryAfter)
}

func (e OverloadedError) Code() string { return "overloaded" }

func (e OverloadedError) Outcome() failure.Outcome { return failure.NotRun }

// CanceledError reports work whose context ended before it could start, for example because the caller disconnected.
type CanceledError struct {
	Workspace string
	Cause     error
}

func (e CanceledError) Error() string {
	return fmt.Sprintf("workspace %q: canceled in the queue: %v", e.Workspace, e.Cause)
}

func (e CanceledError) Unwrap() error { return e.Cause }

func (e CanceledError) Code() string { return "canceled" }

func (e CanceledError) Outcome() failure.Outcome { return failure.NotRun }
