package harness

import (
	"fmt"

	"radishhollow/core/failure"
)

// BuildError reports that the go command could not build the binary. Output is what the command printed.
type BuildError struct {
	Output string
	Cause  error
}

func (e BuildError) Error() string { return fmt.Sprintf("go build: %v\n%s", e.Cause, e.Output) }

func (e BuildError) Unwrap() error { return e.Cause }

func (e BuildError) Code() string { return "build-failed" }

func (e BuildError) Outcome() failure.Outcome { return failure.NotRun }
