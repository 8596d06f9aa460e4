package ring

import "radishhollow/core/failure"

// ClosedError reports a push to or pop from a closed ring.
type ClosedError struct{}

// Error implements error.
func (ClosedError) Error() string { return "ring is closed" }

// Code implements failure.Failure.
func (ClosedError) Code() string { return "closed" }

// Outcome implements failure.Failure.
func (ClosedError) Outcome() failure.Outcome { return failure.NotRun }
