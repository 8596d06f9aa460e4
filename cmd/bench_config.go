package cmd

import (
	"io"

	"radishhollow/bench"
)

// runBenchConfig measures how long a revision takes to be in force in every daemon.
func runBenchConfig(args []string, stdout, stderr io.Writer) int {
	var options struct {
		Daemons    []int `arg:"--daemons" help:"fleet sizes [default: 5 10 20]"`
		Workspaces int   `arg:"--workspaces" default:"10"`
		Seeds      int   `arg:"--seeds" default:"5" help:"runs of each size and way"`
	}
	if code, ok := parse("bench config", &options, args, stdout, stderr); !ok {
		return code
	}
	if len(options.Daemons) == 0 {
		options.Daemons = []int{5, 10, 20}
	}
	ctx, stop := benchContext()
	defer stop()
	for _, n := range options.Daemons {
		for _, down := range []bool{false, true} {
			for seed := range options.Seeds {
				spread := bench.Propagation{
					Daemons: n, Workspaces: options.Workspaces, Seed: uint64(seed + 1), PlatformDown: down,
				}
				result, err := spread.Run(ctx)
				if err == nil {
					err = printLine(stdout, result)
				}
				if err != nil {
					return output{stdout, stderr}.fail(ExitFailed, err.Error())
				}
			}
		}
	}
	return ExitOK
}
