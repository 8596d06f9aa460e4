package cmd

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"radishhollow/bench"
)

type benchResumeArgs struct {
	Deployment string        `arg:"--deployment" default:"association" help:"association or kjaergaard"`
	Preference string        `arg:"--preference" help:"latency or cost instead of the sheet's resume-preference"`
	Variants   string        `arg:"--variants" default:"product,start-over,fixed-random,no-resume" help:"the product and its baselines"`
	Faults     string        `arg:"--faults" default:"die" help:"none, die, freeze, slow, slow-gradual, place"`
	Load       float64       `arg:"--load" default:"0.7" help:"running generations as a share of the slots"`
	Seeds      string        `arg:"--seeds" default:"1,2,3,4,5"`
	WarmUp     time.Duration `arg:"--warm-up" default:"3s"`
	Tail       time.Duration `arg:"--tail" default:"3s" help:"time of arrivals after the fault"`
}

// runBenchResume measures how streams resume after their engines are lost.
func runBenchResume(args []string, stdout, stderr io.Writer) int {
	var a benchResumeArgs
	if code, ok := parseOptions("bench resume", &a, args, stdout, stderr); !ok {
		return code
	}
	seeds, err := parseSeeds(a.Seeds)
	if err != nil || bench.ExampleSheet(a.Deployment) == "" {
		_, _ = fmt.Fprintln(stderr, "radishhollow bench resume: invalid --deployment or --seeds; run it with --help for their values")
		return ExitUsage
	}
	ctx, stop := signalContext()
	defer stop()
	for _, fault := range strings.Split(a.Faults, ",") {
		for _, seed := range seeds {
			for _, variant := range strings.Split(a.Variants, ",") {
				r := bench.Resume{
					Deployment: a.Deployment, Preference: a.Preference, Variant: variant, Fault: fault, Load: a.Load,
					WarmUp: a.WarmUp, AfterFault: a.Tail,
				}
				result, err := r.Run(ctx, seed)
				if err == nil {
					err = printJSONLine(stdout, result)
				}
				if err != nil {
					_, _ = fmt.Fprintf(stderr, "radishhollow bench resume: %v\n", err)
					return ExitFailed
				}
			}
		}
	}
	return ExitOK
}

// parseSeeds parses a comma-separated list of seeds.
func parseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for _, part := range strings.Split(text, ",") {
		seed, err := strconv.ParseUint(part, 10, 64)
		if err != nil {
			return nil, err
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}
