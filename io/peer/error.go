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

// TooLargeError reports a response above the limit.
type TooLargeError struct {
	Address string
	// Limit is the maximum size in bytes.
	Limit int64
}

func (e TooLargeError) Error() string {
	return fmt.Sprintf("response from %s is larger than %d bytes", e.Address, e.Limit)
}

func (e TooLargeError) Code() string { return "response-too-large" }

func (e TooLargeError) Outcome() failure.Outcome { return failure.Unknown }
