package ring

import "radishhollow/core/failure"

// ClosedError reports a push to a closed queue, or a pop from one that is closed and empty.
type ClosedError struct{}

func (ClosedError) Error() string { return "queue is closed" }

func (ClosedError) Code() string { return "closed" }

func (ClosedError) Outcome() failure.Outcome { return failure.NotRun }
