package cmd

import (
	"fmt"

	"radishhollow/core/failure"
)

// modelArgumentError reports a --model argument that cannot be read.
type modelArgumentError struct{ Text string }

// Error implements error.
func (e modelArgumentError) Error() string {
	return fmt.Sprintf("--model %q is not MODEL@VERSION[+ADAPTER@VERSION...]", e.Text)
}

// Code implements failure.Failure.
func (e modelArgumentError) Code() string { return "malformed-model" }

// Outcome implements failure.Failure.
func (e modelArgumentError) Outcome() failure.Outcome { return failure.NotRun }

// missingSubcommandError reports a command line without the name of a stand-in.
type missingSubcommandError struct{}

// Error implements error.
func (e missingSubcommandError) Error() string { return "name a stand-in: engine, service or platform" }

// Code implements failure.Failure.
func (e missingSubcommandError) Code() string { return "missing-subcommand" }

// Outcome implements failure.Failure.
func (e missingSubcommandError) Outcome() failure.Outcome { return failure.NotRun }
