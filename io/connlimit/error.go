package connlimit

import "radishhollow/core/failure"

// RefusedError reports a connection whose head was refused or that was closed to free memory.
type RefusedError struct{ Cause string }

func (e RefusedError) Error() string { return "connection refused: " + e.Cause }

func (e RefusedError) Code() string { return "connection-refused" }

func (e RefusedError) Outcome() failure.Outcome { return failure.NotRun }
