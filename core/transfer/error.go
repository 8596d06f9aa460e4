package transfer

import (
	"fmt"
	"time"

	"radishhollow/core/failure"
)

// StalledError reports a response that made no progress in time.
type StalledError struct {
	Bytes    int
	Duration time.Duration
}

func (e StalledError) Error() string {
	return fmt.Sprintf("the response stalled after %d bytes in %s", e.Bytes, e.Duration.Round(time.Millisecond))
}

func (e StalledError) Code() string { return "transfer-stalled" }

func (e StalledError) Outcome() failure.Outcome { return failure.Unknown }
