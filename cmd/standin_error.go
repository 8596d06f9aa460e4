package cmd

import (
	"fmt"

	"radishhollow/core/failure"
)

// modelArgumentError reports a malformed --model argument.
type modelArgumentError struct{ Text string }

func (e modelArgumentError) Error() string {
	return fmt.Sprintf("--model %q is not of the form MODEL@VERSION[+ADAPTER@VERSION...]", e.Text)
}

func (e modelArgumentError) Code() string { return "malformed-model" }

func (e modelArgumentError) Outcome() failure.Outcome { return failure.NotRun }

// missingSubcommandError reports a command line without the name of a stand-in.
type missingSubcommandError struct{}

func (e missingSubcommandError) Error() string {
	return "missing command: engine, service or platform; try --help"
}

func (e missingSubcommandError) Code() string { return "missing-subcommand" }

func (e missingSubcommandError) Outcome() failure.Outcome { return failure.NotRun }
