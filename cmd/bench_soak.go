package cmd

import (
	"io"

	"radishhollow/bench"
)

// runBenchSoak runs the soak test and exits with 1 if the system violated one of its guarantees. If it is interrupted
// under load, it reports a violation for each daemon, whose last revision can no longer be read. The number of
// generations that ended is not checked.
func runBenchSoak(args []string, stdout, stderr io.Writer) int {
	var options struct {
		Seed    uint64  `arg:"--seed" default:"1"`
		Seconds float64 `arg:"--seconds" default:"60"`
	}
	if code, ok := parseOptions("bench soak", &options, args, stdout, stderr); !ok {
		return code
	}
	ctx, stop := signalContext()
	defer stop()
	soak := bench.Soak{Seed: options.Seed, Seconds: options.Seconds}
	result, err := soak.Run(ctx)
	if err == nil {
		err = printJSONLine(stdout, result)
	}
	if err != nil {
		return output{stdout, stderr}.fail(ExitFailed, err.Error())
	}
	if len(result.Violations) > 0 {
		return output{stdout, stderr}.fail(ExitFailed, "a promise was broken")
	}
	return ExitOK
}
