package cmd

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"radishhollow/bench"
)

// RunDemo runs the demo and exits non-zero if a promise was broken.
func RunDemo(args []string, stdout, stderr io.Writer) int {
	var options struct {
		JSON bool `arg:"--json" help:"print the result as one JSON line instead of a table"`
	}
	if code, ok := parse("demo", &options, args, stdout, stderr); !ok {
		return code
	}
	ctx, stop := benchContext()
	defer stop()
	demo := &bench.Demo{}
	if !options.JSON {
		demo.Progress = func(line string) { _, _ = fmt.Fprintln(stdout, line) }
	}
	report, err := demo.Run(ctx)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "radishhollow demo: %v\n", err)
		return ExitFailed
	}
	if options.JSON {
		err = printLine(stdout, report)
	} else {
		printDemo(stdout, report)
	}
	if err != nil {
		return ExitFailed
	}
	if !report.Passed() {
		_, _ = fmt.Fprintln(stderr, "radishhollow demo: a promise was broken; see the table")
		return ExitFailed
	}
	return ExitOK
}

func printDemo(w io.Writer, r bench.DemoReport) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows := []struct {
		name  string
		value any
	}{
		{"whole answers", fmt.Sprintf("%d of %d", r.Complete, r.Streams)},
		{"wrong answers", r.Wrong},
		{"failed answers", r.Failed},
		{"streams resumed on another engine", r.Resumed},
		{"mean wait of a resumed stream", r.MeanWait.Round(time.Millisecond)},
		{"tokens delivered", r.Tokens},
		{"prompt tokens sent to engines", r.FirstPrefill},
		{"tokens sent again by resumes", r.ResumePrefill},
		{"bookings asked for (each twice)", r.Bookings},
		{"refused as not run and repeated", r.Refused},
		{"bookings replayed", r.Replays},
		{"bookings run by the services", r.Ran},
		{"bookings run twice", r.RanTwice},
		{"bookings lost or with two answers", r.Lost},
	}
	_, _ = fmt.Fprintln(w)
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%v\n", row.name, row.value)
	}
	_ = table.Flush()
}
