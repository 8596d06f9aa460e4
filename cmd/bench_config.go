package cmd

import (
	"io"

	"radishhollow/bench"
)

// runBenchConfig measures the time until a revision is in force in every daemon, with the platform up and down.
func runBenchConfig(args []string, stdout, stderr io.Writer) int {
	var options struct {
		Daemons    []int `arg:"--daemons" help:"fleet sizes [default: 5 10 20]"`
		Workspaces int   `arg:"--workspaces" default:"10"`
		Seeds      int   `arg:"--seeds" default:"5" help:"runs of each size and way"`
	}
	if code, ok := parseOptions("bench config", &options, args, stdout, stderr); !ok {
		return code
	}
	if len(options.Daemons) == 0 {
		options.Daemons = []int{5, 10, 20}
	}
	ctx, stop := signalContext()
	defer stop()
	for _, daemons := range options.Daemons {
		for _, platformDown := range []bool{false, true} {
			for seed := range options.Seeds {
				propagation := bench.Propagation{
					Daemons: daemons, Workspaces: options.Workspaces, Seed: uint64(seed + 1), PlatformDown: platformDown,
				}
				result, err := propagation.Run(ctx)
				if err == nil {
					err = printJSONLine(stdout, result)
				}
				if err != nil {
					return output{stdout, stderr}.fail(ExitFailed, err.Error())
				}
			}
		}
	}
	return ExitOK
}
