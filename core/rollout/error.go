package rollout

import (
	"fmt"

	"radishhollow/core/failure"
)

// MalformedOrderError reports an order with a field that is missing or out of range.
type MalformedOrderError struct{ Field string }

func (e MalformedOrderError) Error() string {
	return fmt.Sprintf("order of a roll-out: %s is missing or out of range", e.Field)
}

func (e MalformedOrderError) Code() string { return "malformed-order" }

func (e MalformedOrderError) Outcome() failure.Outcome { return failure.NotRun }
