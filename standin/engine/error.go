package engine

import (
	"fmt"

	"radishhollow/core/failure"
)

// TokenError reports the first output id that does not follow from the ids before it.
type TokenError struct {
	Offset int
	Got    uint32
	// Want is 0 where any first id is right.
	Want uint32
}

// Error implements error.
func (e TokenError) Error() string {
	return fmt.Sprintf("token at offset %d is %d, not %d", e.Offset, e.Got, e.Want)
}

// Code implements failure.Failure.
func (e TokenError) Code() string { return "token-mismatch" }

// Outcome implements failure.Failure.
func (e TokenError) Outcome() failure.Outcome { return failure.Ran }
