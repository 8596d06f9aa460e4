package daemon

import (
	"fmt"

	"radishhollow/core/failure"
)

// ChildFailedError reports a component that ended more often than its supervisor allows.
type ChildFailedError struct {
	Name     string
	Restarts int
	Cause    error
}

// Error implements error.
func (e ChildFailedError) Error() string {
	return fmt.Sprintf("component %s ended again after %d restarts: %v", e.Name, e.Restarts, e.Cause)
}

// Unwrap returns the component's last error.
func (e ChildFailedError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e ChildFailedError) Code() string { return "component-failed" }

// Outcome implements failure.Failure.
func (e ChildFailedError) Outcome() failure.Outcome { return failure.Unknown }
