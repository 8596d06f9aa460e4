package cmd

import (
	"fmt"
	"io"

	"radishhollow/bench"
)

// runBenchControl measures the control-plane cost of one daemon, without traffic from callers except for --streams.
func runBenchControl(args []string, stdout, stderr io.Writer) int {
	var options struct {
		Daemons     int     `arg:"--daemons" default:"5" help:"daemons with the measured one"`
		Endpoints   int     `arg:"--endpoints" default:"24"`
		Models      int     `arg:"--models" default:"1"`
		Places      int     `arg:"--places" default:"4"`
		Workspaces  int     `arg:"--workspaces" default:"10"`
		Changes     float64 `arg:"--changes" help:"configuration changes a minute"`
		ListChanges float64 `arg:"--list-changes" help:"changes of the instance list a minute"`
		Marks       int     `arg:"--marks" help:"endpoint marks in each peer's view"`
		Streams     int     `arg:"--streams" help:"streams through the daemon, for the cost of tokens"`
		Seed        uint64  `arg:"--seed" default:"1"`
		Settle      float64 `arg:"--settle" default:"3" help:"seconds before the measurement"`
		Seconds     float64 `arg:"--seconds" default:"15" help:"seconds of the measurement"`
		Settings    string  `arg:"--settings-out" placeholder:"FILE" help:"write the settings of the daemon, which is then started by hand with serve; without it the daemon runs in this process and the figures include the fakes"`
	}
	if code, ok := parseOptions("bench control", &options, args, stdout, stderr); !ok {
		return code
	}
	ctx, stop := signalContext()
	defer stop()
	cost := bench.Cost{SettingsFile: options.Settings, CostSizes: bench.CostSizes{
		Daemons: options.Daemons, Endpoints: options.Endpoints, Models: options.Models, Places: options.Places,
		Workspaces: options.Workspaces, ChangesPerMinute: options.Changes, ListChangesPerMinute: options.ListChanges,
		Marks: options.Marks, Streams: options.Streams, Seed: options.Seed, SettleSeconds: options.Settle, MeasureSeconds: options.Seconds,
	}}
	if options.Settings != "" {
		cost.OnReadyToStart = func() {
			_, _ = fmt.Fprintf(stderr, "ready; start the measured daemon: radishhollow serve --settings %s\n", options.Settings)
		}
	}
	result, err := cost.Run(ctx)
	if err == nil {
		err = printJSONLine(stdout, result)
	}
	if err != nil {
		return output{stdout, stderr}.fail(ExitFailed, err.Error())
	}
	return ExitOK
}
