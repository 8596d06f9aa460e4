package config

import (
	"fmt"
	"strings"

	"radishhollow/core/failure"
)

// Fault is one finding in a sheet. Row counts from 1 with the header; 0 means the sheet as a whole.
type Fault struct {
	Row    int    `json:"row"`
	Column string `json:"column"`
	Value  string `json:"value"`
	Reason string `json:"reason"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	if f.Row == 0 {
		return f.Reason
	}
	return fmt.Sprintf("row %d, column %s, value %q: %s", f.Row, f.Column, f.Value, f.Reason)
}

// Faults are all findings in one sheet, in the order of rows.
type Faults []Fault

// Err returns nil where there are no faults.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "; ")
}

// Code implements failure.Failure.
func (f Faults) Code() string { return "faulty-sheet" }

// Outcome implements failure.Failure.
func (f Faults) Outcome() failure.Outcome { return failure.NotRun }

// ForkError reports a document of the revision in force with another digest.
type ForkError struct {
	Revision uint64
	InForce  string
	Offered  string
}

// Error implements error.
func (e ForkError) Error() string {
	return fmt.Sprintf("revision %d is in force with digest %s, refused digest %s", e.Revision, e.InForce, e.Offered)
}

// Code implements failure.Failure.
func (e ForkError) Code() string { return "config-fork" }

// Outcome implements failure.Failure.
func (e ForkError) Outcome() failure.Outcome { return failure.NotRun }

// DigestError reports a document whose content does not have the digest that came with it.
type DigestError struct {
	Revision uint64
	Want     string
	Got      string
}

// Error implements error.
func (e DigestError) Error() string {
	return fmt.Sprintf("document of revision %d has digest %s, not %s", e.Revision, e.Got, e.Want)
}

// Code implements failure.Failure.
func (e DigestError) Code() string { return "config-digest" }

// Outcome implements failure.Failure.
func (e DigestError) Outcome() failure.Outcome { return failure.NotRun }

// MalformedError reports a stored document that is not valid JSON of the expected form.
type MalformedError struct{ Cause error }

// Error implements error.
func (e MalformedError) Error() string { return fmt.Sprintf("malformed document: %v", e.Cause) }

// Unwrap returns the decoder's error.
func (e MalformedError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e MalformedError) Code() string { return "config-malformed" }

// Outcome implements failure.Failure.
func (e MalformedError) Outcome() failure.Outcome { return failure.NotRun }
