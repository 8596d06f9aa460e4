package cmd

import "radishhollow/core/failure"

// UsageError reports an invalid command line.
type UsageError struct{ Reason string }

func (e UsageError) Error() string { return e.Reason }

func (e UsageError) Code() string { return "usage" }

func (e UsageError) Outcome() failure.Outcome { return failure.NotRun }
