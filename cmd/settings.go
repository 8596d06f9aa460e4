package cmd

import (
	"fmt"
	"io"

	"github.com/juju/errors"

	"radishhollow/io/settings"
)

type settingsCheckArgs struct {
	File string `arg:"positional,required" help:"settings as TOML"`
}

type settingsArgs struct {
	Check *settingsCheckArgs `arg:"subcommand:check" help:"check a settings file offline"`
}

// RunSettings runs a settings command and returns the exit code.
func RunSettings(args []string, stdout, stderr io.Writer) int {
	var parsed settingsArgs
	if code, done := parseSubcommand("radishhollow settings", &parsed, args, stdout, stderr); done {
		return code
	}
	out := output{stdout: stdout, stderr: stderr}
	if parsed.Check == nil {
		return out.fail(ExitUsage, "missing command: check; try --help")
	}
	loaded, err := settings.Load(parsed.Check.File)
	if invalid, ok := errors.AsType[settings.InvalidError](err); ok {
		for _, fault := range invalid.Faults {
			_, _ = fmt.Fprintln(stderr, fault)
		}
		return out.fail(ExitFailed, fmt.Sprintf("%s cannot be used; faults: %d; correct those listed above and try again",
			parsed.Check.File, len(invalid.Faults)))
	}
	if err != nil {
		return out.fail(ExitFailed, err.Error())
	}
	out.printLine("settings are valid for a daemon in place %s", loaded.Place)
	return ExitOK
}
