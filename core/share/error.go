package share

import (
	"fmt"
	"time"

	"radishhollow/core/failure"
)

// OverloadedError reports work that was refused because its wait would be or was too long.
type OverloadedError struct {
	Workspace string
	// Limit names the bound that was met: workspace-queue, total-queue, estimated-wait or deadline.
	Limit      string
	RetryAfter time.Duration
}

// Error implements error.
func (e OverloadedError) Error() string {
	return fmt.Sprintf("workspace %q: overloaded (%s), retry after %s", e.Workspace, e.Limit, e.RetryAfter)
}

// Code implements failure.Failure.
func (e OverloadedError) Code() string { return "overloaded" }

// Outcome implements failure.Failure.
func (e OverloadedError) Outcome() failure.Outcome { return failure.NotRun }

// CanceledError reports work whose caller left while it waited.
type CanceledError struct {
	Workspace string
	Cause     error
}

// Error implements error.
func (e CanceledError) Error() string {
	return fmt.Sprintf("workspace %q: canceled in the queue: %v", e.Workspace, e.Cause)
}

// Unwrap returns the context's error.
func (e CanceledError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e CanceledError) Code() string { return "canceled" }

// Outcome implements failure.Failure.
func (e CanceledError) Outcome() failure.Outcome { return failure.NotRun }
