package cmd

import (
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
)

// parseOptions parses args, the arguments after the command and subcommand, into dest. If ok is false, the command must
// end with the returned exit code: args asked for help or are invalid.
func parseOptions(program string, dest any, args []string, stdout, stderr io.Writer) (code int, ok bool) {
	parser, err := arg.NewParser(arg.Config{Program: "radishhollow " + program}, dest)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "radishhollow %s: %v\n", program, err)
		return ExitFailed, false
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		if err := parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...); err != nil {
			return ExitFailed, false
		}
		return ExitOK, false
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "radishhollow %s: %v; run it with --help for its options\n", program, err)
		return ExitUsage, false
	}
	return ExitOK, true
}
