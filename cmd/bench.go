package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"syscall"
)

// benches returns the experiments of the bench command. Each prints one JSON line per run.
func benches() []command {
	return []command{
		{name: "resume", help: "lose engines under load and measure the callers' wait", run: RunBenchResume},
		{name: "share", help: "overload the workspaces and measure the division of capacity", run: RunBenchShare},
		{name: "choice", help: "compare the ways to choose an endpoint", run: RunBenchChoice},
		{name: "control", help: "control cost of one daemon among fakes", run: runBenchControl},
		{name: "config", help: "time until a revision is in force in every daemon", run: runBenchConfig},
		{name: "plot", help: "draw the waits of bench resume as an SVG", run: RunBenchPlot},
		{name: "soak", help: "mixed faults under load; every answer, booking and revision is checked", run: runBenchSoak},
	}
}

// RunBench executes one experiment.
func RunBench(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 {
		if b, ok := find(benches(), args[0]); ok {
			return b.run(args[1:], stdout, stderr)
		}
	}
	out, code := stdout, ExitOK
	if len(args) == 0 || args[0] != "--help" && args[0] != "-h" {
		out, code = stderr, ExitUsage
	}
	_, _ = fmt.Fprint(out, "Usage: radishhollow bench EXPERIMENT [OPTIONS]\n\nExperiments:\n")
	list(out, benches())
	return code
}

// benchContext ends with SIGINT or SIGTERM.
func benchContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// printLine writes one result as a JSON line.
func printLine(w io.Writer, result any) error {
	return json.NewEncoder(w).Encode(result)
}
