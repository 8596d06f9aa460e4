package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"syscall"
)

// benchCommands returns the subcommands of bench: one per experiment, which prints one JSON line per run, and plot,
// which draws the lines of resume.
func benchCommands() []command {
	return []command{
		{name: "resume", help: "stop engines under load and measure how long callers wait for the resume", run: runBenchResume},
		{name: "share", help: "overload the system and measure how workspaces share its capacity", run: runBenchShare},
		{name: "choice", help: "compare the policies for endpoint selection", run: runBenchChoice},
		{name: "control", help: "measure the control-plane cost of one daemon among fake peers and endpoints", run: runBenchControl},
		{name: "config", help: "measure the time until a revision is in force in every daemon", run: runBenchConfig},
		{name: "plot", help: "draw the waits measured by bench resume as SVG", run: runBenchPlot},
		{name: "soak", help: "inject mixed faults under load and check every answer, booking and revision", run: runBenchSoak},
	}
}

// RunBench runs one experiment and returns the exit code.
func RunBench(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 {
		if b, ok := findCommand(benchCommands(), args[0]); ok {
			return b.run(args[1:], stdout, stderr)
		}
	}
	out, code := stdout, ExitOK
	if len(args) == 0 || args[0] != "--help" && args[0] != "-h" {
		out, code = stderr, ExitUsage
	}
	_, _ = fmt.Fprint(out, "Usage: radishhollow bench EXPERIMENT [OPTIONS]\n\nExperiments:\n")
	printCommands(out, benchCommands())
	return code
}

// signalContext returns a context that is canceled on SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// printJSONLine writes a result as one line of JSON.
func printJSONLine(w io.Writer, result any) error {
	return json.NewEncoder(w).Encode(result)
}
