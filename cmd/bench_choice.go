package cmd

import (
	"fmt"
	"io"
	"strings"
	"time"

	"radishhollow/bench"
)

type benchChoiceArgs struct {
	Deployment string        `arg:"--deployment" default:"association" help:"association or kjaergaard"`
	Variants   string        `arg:"--variants" default:"random,least-reported,best-of-2,best-of-2+balance,best-of-2+prefix,best-of-2+prefix+balance" help:"ways to choose"`
	Load       float64       `arg:"--load" default:"0.6" help:"running generations as a share of the slots"`
	Seeds      string        `arg:"--seeds" default:"1,2,3,4,5"`
	WarmUp     time.Duration `arg:"--warm-up" default:"5s"`
	MeasureFor time.Duration `arg:"--for" default:"7s" help:"measured time"`
}

// runBenchChoice compares the policies for endpoint selection.
func runBenchChoice(args []string, stdout, stderr io.Writer) int {
	var a benchChoiceArgs
	if code, ok := parseOptions("bench choice", &a, args, stdout, stderr); !ok {
		return code
	}
	seeds, err := parseSeeds(a.Seeds)
	if err != nil || bench.ExampleSheet(a.Deployment) == "" {
		_, _ = fmt.Fprintln(stderr, "radishhollow bench choice: invalid --deployment or --seeds; run it with --help for their values")
		return ExitUsage
	}
	ctx, stop := signalContext()
	defer stop()
	for _, seed := range seeds {
		for _, variant := range strings.Split(a.Variants, ",") {
			c := bench.Choice{Deployment: a.Deployment, Variant: variant, Load: a.Load, WarmUp: a.WarmUp, Duration: a.MeasureFor}
			if !c.IsKnownVariant() {
				_, _ = fmt.Fprintf(stderr, "radishhollow bench choice: unknown variant %q in --variants; run it with --help for the known ones\n", variant)
				return ExitUsage
			}
			result, err := c.Run(ctx, seed)
			if err == nil {
				err = printJSONLine(stdout, result)
			}
			if err != nil {
				_, _ = fmt.Fprintf(stderr, "radishhollow bench choice: %v\n", err)
				return ExitFailed
			}
		}
	}
	return ExitOK
}
