package peer

import (
	"fmt"

	"radishhollow/core/failure"
)

// UnsignedError reports a response without a valid signature by one of the peer keys.
type UnsignedError struct{ Address string }

func (e UnsignedError) Error() string {
	return fmt.Sprintf("response from %s is not signed by a peer", e.Address)
}

func (e UnsignedError) Code() string { return "unsigned-answer" }

func (e UnsignedError) Outcome() failure.Outcome { return failure.Unknown }
