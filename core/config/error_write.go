package config

import (
	"fmt"

	"radishhollow/core/failure"
)

// ConflictError reports that another operator's document is in force instead of the given base.
type ConflictError struct {
	Base    uint64
	Current uint64
	// Difference leads from the document in force to the refused one.
	Difference []Change
}

// Error implements error.
func (e ConflictError) Error() string {
	return fmt.Sprintf("revision %d is in force, not %d; plan again and apply with the new base (%d differences)",
		e.Current, e.Base, len(e.Difference))
}

// Code implements failure.Failure.
func (e ConflictError) Code() string { return "config-conflict" }

// Outcome implements failure.Failure.
func (e ConflictError) Outcome() failure.Outcome { return failure.NotRun }

// StaleSheetError reports a sheet number that is not above the one in force.
type StaleSheetError struct {
	SheetNumber int
	InForce     int
	Revision    uint64
}

// Error implements error.
func (e StaleSheetError) Error() string {
	return fmt.Sprintf("sheet-number %d is not above %d, which is in force as revision %d; raise it and apply again",
		e.SheetNumber, e.InForce, e.Revision)
}

// Code implements failure.Failure.
func (e StaleSheetError) Code() string { return "stale-sheet" }

// Outcome implements failure.Failure.
func (e StaleSheetError) Outcome() failure.Outcome { return failure.NotRun }

// TooLargeError reports a document that exceeds the key-value service's value limit.
type TooLargeError struct{ Size, Limit int }

// Error implements error.
func (e TooLargeError) Error() string {
	return fmt.Sprintf("document has %d bytes, the limit is %d", e.Size, e.Limit)
}

// Code implements failure.Failure.
func (e TooLargeError) Code() string { return "config-too-large" }

// Outcome implements failure.Failure.
func (e TooLargeError) Outcome() failure.Outcome { return failure.NotRun }

// UnsettledError reports a write that may have taken effect and could not be read back.
type UnsettledError struct {
	Revision uint64
	Cause    error
}

// Error implements error.
func (e UnsettledError) Error() string {
	return fmt.Sprintf("revision %d may have been accepted: %v; ask for the status, then apply the same sheet again",
		e.Revision, e.Cause)
}

// Unwrap returns the last error of the key-value service.
func (e UnsettledError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e UnsettledError) Code() string { return "config-unsettled" }

// Outcome implements failure.Failure.
func (e UnsettledError) Outcome() failure.Outcome { return failure.Unknown }
