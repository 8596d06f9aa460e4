package config

import (
	"fmt"
	"strings"

	"radishhollow/core/failure"
)

// Fault is one validation error in a sheet. Row is the line of the file at which the row begins, counted from 1; 0
// stands for the whole sheet.
type Fault struct {
	Row    int    `json:"row"`
	Column string `json:"column"`
	Value  string `json:"value"`
	Reason string `json:"reason"`
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	if f.Row == 0 {
		return f.Reason
	}
	return fmt.Sprintf("row %d, column %s, value %q: %s", f.Row, f.Column, f.Value, f.Reason)
}

// Faults are all validation errors of one sheet, sorted by row.
type Faults []Fault

// Err returns the faults as an error, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "; ")
}

func (f Faults) Code() string { return "faulty-sheet" }

func (f Faults) Outcome() failure.Outcome { return failure.NotRun }

// ForkError reports a document that has the revision in force but a different digest, and was not read in a later era of
// the key-value service. Each daemon keeps its document until a higher revision arrives.
type ForkError struct {
	Revision uint64
	// InForce and Offered are the digests of the document in force and of the rejected one.
	InForce string
	Offered string
}

func (e ForkError) Error() string {
	return fmt.Sprintf("revision %d is in force with digest %s; rejected a document of this revision with digest %s",
		e.Revision, e.InForce, e.Offered)
}

func (e ForkError) Code() string { return "config-fork" }

func (e ForkError) Outcome() failure.Outcome { return failure.NotRun }

// DigestError reports a document whose content does not match the digest that was sent or stored with it.
type DigestError struct {
	Revision uint64
	Want     string
	Got      string
}

func (e DigestError) Error() string {
	return fmt.Sprintf("configuration document of revision %d has digest %s, want %s", e.Revision, e.Got, e.Want)
}

func (e DigestError) Code() string { return "config-digest" }

func (e DigestError) Outcome() failure.Outcome { return failure.NotRun }

// MalformedError reports a document that cannot be decoded from JSON or encoded to it.
type MalformedError struct{ Cause error }

func (e MalformedError) Error() string {
	return fmt.Sprintf("configuration document is malformed: %v", e.Cause)
}

// Unwrap returns the error of the JSON encoder or decoder.
func (e MalformedError) Unwrap() error { return e.Cause }

func (e MalformedError) Code() string { return "config-malformed" }

func (e MalformedError) Outcome() failure.Outcome { return failure.NotRun }
