package engine

import (
	"fmt"

	"radishhollow/core/failure"
)

// TokenError reports the first output id that is not the one determined by the ids before it.
type TokenError struct {
	Offset int
	Got    uint32
	// Want is 0 if the first id is wrong, because many values are valid there.
	Want uint32
}

func (e TokenError) Error() string {
	return fmt.Sprintf("token at offset %d: got %d, want %d", e.Offset, e.Got, e.Want)
}

func (e TokenError) Code() string { return "token-mismatch" }

func (e TokenError) Outcome() failure.Outcome { return failure.Ran }
