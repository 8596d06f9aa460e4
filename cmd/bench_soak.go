package cmd

import (
	"io"

	"radishhollow/bench"
)

// runBenchSoak exits with 1 where a promise is broken.
func runBenchSoak(args []string, stdout, stderr io.Writer) int {
	var options struct {
		Seed    uint64  `arg:"--seed" default:"1"`
		Seconds float64 `arg:"--seconds" default:"60"`
	}
	if code, ok := parse("bench soak", &options, args, stdout, stderr); !ok {
		return code
	}
	ctx, stop := benchContext()
	defer stop()
	soak := bench.Soak{Seed: options.Seed, Seconds: options.Seconds}
	result, err := soak.Run(ctx)
	if err == nil {
		err = printLine(stdout, result)
	}
	if err != nil {
		return output{stdout, stderr}.fail(ExitFailed, err.Error())
	}
	if len(result.Violations) > 0 {
		return output{stdout, stderr}.fail(ExitFailed, "a promise was broken")
	}
	return ExitOK
}
