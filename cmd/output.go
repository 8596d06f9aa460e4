package cmd

import (
	"fmt"
	"io"

	"github.com/juju/errors"

	"radishhollow/core/config"
	"radishhollow/io/operator"
)

// output writes results to stdout and errors to stderr.
type output struct{ stdout, stderr io.Writer }

// printLine writes one line to stdout. It ignores write errors, because a closed stdout must not fail the command.
func (o output) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(o.stdout, format+"\n", args...)
}

// fail writes one error line to stderr and returns the exit code.
func (o output) fail(code int, message string) int {
	_, _ = fmt.Fprintf(o.stderr, "error: %s\n", message)
	return code
}

func (o output) printFaults(faults config.Faults) {
	for _, fault := range faults {
		_, _ = fmt.Fprintln(o.stderr, fault)
	}
}

// failError writes the faults or differences of an error response, then the error line, and returns the exit code for
// the error.
func (o output) failError(err error) int {
	if _, usage := errors.AsType[UsageError](err); usage {
		return o.fail(ExitUsage, err.Error())
	}
	if response, ok := errors.AsType[operator.ResponseError](err); ok {
		o.printFaults(response.Problem.Faults)
		for _, change := range response.Problem.Difference {
			_, _ = fmt.Fprintln(o.stderr, change)
		}
	}
	return o.fail(ExitFailed, err.Error())
}
