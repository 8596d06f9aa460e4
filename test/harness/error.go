package harness

import (
	"fmt"

	"radishhollow/core/failure"
)

// BuildError reports that the binary did not build.
type BuildError struct {
	Output string
	Cause  error
}

// Error implements error.
func (e BuildError) Error() string { return fmt.Sprintf("go build: %v\n%s", e.Cause, e.Output) }

// Unwrap returns the error of the go command.
func (e BuildError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e BuildError) Code() string { return "build-failed" }

// Outcome implements failure.Failure.
func (e BuildError) Outcome() failure.Outcome { return failure.NotRun }
