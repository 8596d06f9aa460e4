package pack

import (
	"fmt"

	"radishhollow/core/failure"
)

// TooLargeError reports a value above MaxBytes.
type TooLargeError struct{ Bytes int }

func (e TooLargeError) Error() string {
	return fmt.Sprintf("a value of %d bytes is larger than %d", e.Bytes, MaxBytes)
}

func (e TooLargeError) Code() string { return "value-too-large" }

func (e TooLargeError) Outcome() failure.Outcome { return failure.NotRun }

// CorruptError reports data that can't be decompressed with the base.
type CorruptError struct{ Cause error }

func (e CorruptError) Error() string { return "compressed value is corrupt: " + e.Cause.Error() }

func (e CorruptError) Unwrap() error { return e.Cause }

func (e CorruptError) Code() string { return "value-corrupt" }

func (e CorruptError) Outcome() failure.Outcome { return failure.NotRun }

// SizeError reports a decompressed value of another size than stated.
type SizeError struct{ Want, Got int }

func (e SizeError) Error() string { return fmt.Sprintf("%d bytes in place of %d", e.Got, e.Want) }

func (e SizeError) Code() string { return "value-size" }

func (e SizeError) Outcome() failure.Outcome { return failure.NotRun }
