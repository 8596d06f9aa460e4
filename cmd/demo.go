package cmd

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"radishhollow/bench"
)

// RunDemo runs the demo and exits with 1 if the system violated one of its guarantees.
func RunDemo(args []string, stdout, stderr io.Writer) int {
	var options struct {
		JSON bool `arg:"--json" help:"print the result as one JSON line instead of a table"`
	}
	if code, ok := parseOptions("demo", &options, args, stdout, stderr); !ok {
		return code
	}
	ctx, stop := signalContext()
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
		err = printJSONLine(stdout, report)
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
		{"complete answers", fmt.Sprintf("%d of %d", r.Complete, r.Streams)},
		{"wrong answers", r.Wrong},
		{"failed answers", r.Failed},
		{"streams resumed on another engine", r.Resumed},
		{"mean wait of a resumed stream", r.MeanWait.Round(time.Millisecond)},
		{"tokens delivered", r.Tokens},
		{"prompt tokens sent to engines", r.FirstPrefill},
		{"prompt tokens sent again by resumes", r.ResumePrefill},
		{"bookings requested (each twice)", r.Bookings},
		{"bookings refused before running and retried", r.Refused},
		{"bookings replayed", r.Replays},
		{"bookings run by the services", r.Ran},
		{"bookings run twice", r.RanTwice},
		{"bookings lost or with two different answers", r.Lost},
	}
	_, _ = fmt.Fprintln(w)
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%v\n", row.name, row.value)
	}
	_ = table.Flush()
}
