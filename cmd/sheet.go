package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"

	"radishhollow/core/config"
	"radishhollow/core/route"
	"radishhollow/io/operator"
)

// operatorKeyEnv names the environment variable that holds the operator key.
const operatorKeyEnv = "RADISHHOLLOW_OPERATOR_KEY"

// entryArgs are the arguments shared by the commands that call the operator address of an entry, which is a daemon.
type entryArgs struct {
	Entry   string `arg:"--entry,required" placeholder:"IP:PORT" help:"operator address of any entry"`
	KeyFile string `arg:"--key-file" placeholder:"FILE" help:"file with the operator key [default: environment variable RADISHHOLLOW_OPERATOR_KEY]"`
}

type sheetCheckArgs struct {
	File string `arg:"positional,required" help:"sheet as CSV"`
}

type sheetPlanArgs struct {
	File string `arg:"positional,required" help:"sheet as CSV"`
	entryArgs
}

type sheetApplyArgs struct {
	File string `arg:"positional,required" help:"sheet as CSV"`
	entryArgs
	Base *uint64       `arg:"--base" placeholder:"N" help:"revision that the plan started from"`
	Wait time.Duration `arg:"--wait" default:"10s" help:"wait for every instance to report the revision"`
}

type sheetStatusArgs struct{ entryArgs }

type sheetArgs struct {
	Check  *sheetCheckArgs  `arg:"subcommand:check" help:"check a sheet offline"`
	Plan   *sheetPlanArgs   `arg:"subcommand:plan" help:"show what a sheet would change"`
	Apply  *sheetApplyArgs  `arg:"subcommand:apply" help:"make a sheet the configuration in force"`
	Status *sheetStatusArgs `arg:"subcommand:status" help:"show the revision of every instance"`
}

// RunSheet runs a sheet command and returns the exit code.
func RunSheet(args []string, stdout, stderr io.Writer) int {
	var parsed sheetArgs
	if code, done := parseSubcommand("radishhollow sheet", &parsed, args, stdout, stderr); done {
		return code
	}
	ctx := context.Background()
	out := output{stdout: stdout, stderr: stderr}
	switch {
	case parsed.Check != nil:
		return out.check(parsed.Check)
	case parsed.Plan != nil:
		return out.plan(ctx, parsed.Plan)
	case parsed.Apply != nil:
		return out.apply(ctx, parsed.Apply)
	case parsed.Status != nil:
		return out.status(ctx, parsed.Status)
	default:
		return out.fail(ExitUsage, "missing command: check, plan, apply or status; try --help")
	}
}

// parseSubcommand parses args, of which the first is the subcommand, into target. If done is true, the command must end
// with the returned exit code: args asked for help or are invalid. parseOptions returns the opposite, ok.
func parseSubcommand(program string, target any, args []string, stdout, stderr io.Writer) (code int, done bool) {
	out := output{stdout: stdout, stderr: stderr}
	parser, err := arg.NewParser(arg.Config{Program: program, IgnoreEnv: true, Out: stderr, Exit: func(int) {}}, target)
	if err != nil {
		return out.fail(ExitUsage, err.Error()), true
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		if parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...) != nil {
			parser.WriteHelp(stdout)
		}
		return ExitOK, true
	case err != nil:
		return out.fail(ExitUsage, err.Error()+"; try --help"), true
	default:
		return ExitOK, false
	}
}

// readSheet reads and parses a sheet and returns its text and fields. If it returns false, it has printed each fault on
// a line of its own and then the error line with their number.
func (o output) readSheet(path string) (string, config.Fields, bool) {
	data, err := os.ReadFile(path) //nolint:gosec // The operator names the file on the command line.
	if err != nil {
		o.fail(ExitFailed, "the sheet file cannot be read: "+err.Error())
		return "", config.Fields{}, false
	}
	fields, faults := config.Parse(strings.NewReader(string(data)))
	o.printFaults(faults)
	if len(faults) > 0 {
		o.fail(ExitFailed, fmt.Sprintf("%s cannot be used; faults: %d; correct those listed above and try again", path, len(faults)))
		return "", config.Fields{}, false
	}
	return string(data), fields, true
}

// client returns a client for the entry, with the operator key from the key file or the environment.
func (e entryArgs) client() (operator.Client, error) {
	if !route.IsAddress(e.Entry) {
		return operator.Client{}, UsageError{Reason: fmt.Sprintf("--entry %q is not of the form IP:PORT", e.Entry)}
	}
	key := os.Getenv(operatorKeyEnv)
	if e.KeyFile != "" {
		data, err := os.ReadFile(e.KeyFile)
		if err != nil {
			return operator.Client{}, UsageError{Reason: "the key file cannot be read: " + err.Error()}
		}
		key = string(data)
	}
	key = strings.TrimSpace(key)
	if key == "" {
		return operator.Client{}, UsageError{Reason: "the operator key is missing; set " + operatorKeyEnv + " or pass --key-file"}
	}
	return operator.Client{Address: e.Entry, Key: key}, nil
}
