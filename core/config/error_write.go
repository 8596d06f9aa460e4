package config

import (
	"fmt"

	"radishhollow/core/failure"
)

// ConflictError reports a write whose base, the revision that the caller expected, is not the revision in force,
// because another document was applied.
type ConflictError struct {
	// Base is the base that the caller gave, or the revision in force at the start of the write if another document was
	// applied during the write.
	Base    uint64
	Current uint64
	// Difference holds the changes from the document in force to the rejected one.
	Difference []Change
}

func (e ConflictError) Error() string {
	return fmt.Sprintf("revision %d is in force, not the base %d; plan again and apply with the new base (%d differences)",
		e.Current, e.Base, len(e.Difference))
}

func (e ConflictError) Code() string { return "config-conflict" }

func (e ConflictError) Outcome() failure.Outcome { return failure.NotRun }

// StaleSheetError reports a sheet whose number is not higher than that of the sheet in force. InForce is the number of
// that sheet and Revision its revision.
type StaleSheetError struct {
	SheetNumber int
	InForce     int
	Revision    uint64
}

func (e StaleSheetError) Error() string {
	return fmt.Sprintf("sheet-number %d is not higher than %d, in force as revision %d; increase it and apply again",
		e.SheetNumber, e.InForce, e.Revision)
}

func (e StaleSheetError) Code() string { return "stale-sheet" }

func (e StaleSheetError) Outcome() failure.Outcome { return failure.NotRun }

// TooLargeError reports a document that exceeds the value size limit of the key-value service. Both sizes are in bytes.
type TooLargeError struct{ Size, Limit int }

func (e TooLargeError) Error() string {
	return fmt.Sprintf("configuration document has %d bytes; the limit is %d bytes", e.Size, e.Limit)
}

func (e TooLargeError) Code() string { return "config-too-large" }

func (e TooLargeError) Outcome() failure.Outcome { return failure.NotRun }

// UnsettledError reports a write that may have taken effect but could not be confirmed by reading it back.
type UnsettledError struct {
	Revision uint64
	Cause    error
}

func (e UnsettledError) Error() string {
	return fmt.Sprintf("revision %d may have been accepted: %v; check the status, then apply the same sheet again",
		e.Revision, e.Cause)
}

// Unwrap returns the last error of the key-value service.
func (e UnsettledError) Unwrap() error { return e.Cause }

func (e UnsettledError) Code() string { return "config-unsettled" }

func (e UnsettledError) Outcome() failure.Outcome { return failure.Unknown }
