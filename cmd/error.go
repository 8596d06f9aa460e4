package cmd

import "radishhollow/core/failure"

// UsageError reports a wrong command line.
type UsageError struct{ Reason string }

// Error implements error.
func (e UsageError) Error() string { return e.Reason }

// Code implements failure.Failure.
func (e UsageError) Code() string { return "usage" }

// Outcome implements failure.Failure.
func (e UsageError) Outcome() failure.Outcome { return failure.NotRun }
