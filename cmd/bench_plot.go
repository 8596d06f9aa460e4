package cmd

import (
	"fmt"
	"io"
	"os"

	"radishhollow/bench"
)

type benchPlotArgs struct {
	File string `arg:"positional,required" help:"JSON lines of bench resume"`
}

// runBenchPlot reads the JSON lines of bench resume from a file and writes a plot of the resume latency as SVG to
// stdout.
func runBenchPlot(args []string, stdout, stderr io.Writer) int {
	var a benchPlotArgs
	if code, ok := parseOptions("bench plot", &a, args, stdout, stderr); !ok {
		return code
	}
	file, err := os.Open(a.File)
	if err == nil {
		defer func() { _ = file.Close() }()
		err = bench.Plot(file, stdout)
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "radishhollow bench plot: %v; it reads the JSON lines of bench resume\n", err)
		return ExitFailed
	}
	return ExitOK
}
