// Package cmd implements the command line of radishhollow.
package cmd

import (
	"fmt"
	"io"
)

// Exit codes of all commands.
const (
	ExitOK     = 0
	ExitFailed = 1
	// ExitUsage means that the command line, or the settings file given to serve, is invalid.
	ExitUsage = 2
)

// command is one command or subcommand with its line in the usage text. run gets the arguments after the command's name
// and returns the exit code.
type command struct {
	name string
	help string
	run  func(args []string, stdout, stderr io.Writer) int
}

func commands() []command {
	return []command{
		{name: "serve", help: "run one daemon", run: RunServe},
		{name: "demo", help: "run a small deployment, kill an engine and check every answer and booking", run: RunDemo},
		{name: "bench", help: "run an experiment and print its results as JSON lines", run: RunBench},
		{name: "sheet", help: "check, plan and apply the operators' sheet, and show its status", run: RunSheet},
		{name: "settings", help: "check a settings file", run: RunSettings},
		{name: "standin", help: "run a stand-in for an engine, a service or the platform", run: RunStandin},
		{name: "version", help: "print the version", run: RunVersion},
	}
}

// Run executes the command line, whose first argument is the command, and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		printUsage(stderr)
		return ExitUsage
	}
	if args[0] == "help" || args[0] == "--help" || args[0] == "-h" {
		printUsage(stdout)
		return ExitOK
	}
	if c, ok := findCommand(commands(), args[0]); ok {
		return c.run(args[1:], stdout, stderr)
	}
	_, _ = fmt.Fprintf(stderr, "radishhollow: unknown command %q; run `radishhollow --help` for the list\n", args[0])
	return ExitUsage
}

func printUsage(w io.Writer) {
	_, _ = fmt.Fprint(w, "radishhollow resumes interrupted generations and executes each booking at most once.\n\n",
		"Usage: radishhollow COMMAND [OPTIONS]\n\nCommands:\n")
	printCommands(w, commands())
	_, _ = fmt.Fprint(w, "\nEach command has --help. Exit codes: 0 success, 1 failure, 2 usage.\n")
}

func findCommand(table []command, name string) (command, bool) {
	for _, c := range table {
		if c.name == name {
			return c, true
		}
	}
	return command{}, false
}

func printCommands(w io.Writer, table []command) {
	for _, c := range table {
		_, _ = fmt.Fprintf(w, "  %-10s %s\n", c.name, c.help)
	}
}
