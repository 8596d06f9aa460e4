package share

import (
	"fmt"
	"time"

	"radishhollow/core/failure"
)

// OverloadedError reports work that was rejected because its wait would have been, or was, too long.
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

// CanceledError reports work whose caller disconnected while it waited.
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
