package cmd

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"radishhollow/bench"
)

type benchShareArgs struct {
	Deployment string        `arg:"--deployment" default:"association" help:"association or kjaergaard"`
	Cases      string        `arg:"--cases" default:"fair,stale,limits,limits-stale,goodput,loss" help:"what to measure"`
	Offered    string        `arg:"--offered" default:"1,1.5,2" help:"load of goodput as multiples of the capacity"`
	Seeds      string        `arg:"--seeds" default:"1,2,3,4,5"`
	WarmUp     time.Duration `arg:"--warm-up" default:"5s"`
}

// runBenchShare measures how capacity is shared between workspaces.
func runBenchShare(args []string, stdout, stderr io.Writer) int {
	var a benchShareArgs
	if code, ok := parseOptions("bench share", &a, args, stdout, stderr); !ok {
		return code
	}
	runs, err := a.runs()
	seeds, seedErr := parseSeeds(a.Seeds)
	if err != nil || seedErr != nil || bench.ExampleSheet(a.Deployment) == "" {
		_, _ = fmt.Fprintln(stderr, "radishhollow bench share: invalid --deployment, --offered or --seeds; run it with --help for their values")
		return ExitUsage
	}
	ctx, stop := signalContext()
	defer stop()
	for i := range runs {
		for _, seed := range seeds {
			result, err := runs[i].Run(ctx, seed)
			if err == nil {
				err = printJSONLine(stdout, result)
			}
			if err != nil {
				_, _ = fmt.Fprintf(stderr, "radishhollow bench share: %v\n", err)
				return ExitFailed
			}
		}
	}
	return ExitOK
}

// runs returns one run per case. Only the goodput case is repeated for each offered load.
func (a benchShareArgs) runs() ([]*bench.Share, error) {
	var runs []*bench.Share
	for _, name := range strings.Split(a.Cases, ",") {
		offered := "1"
		if name == bench.CaseGoodput {
			offered = a.Offered
		}
		for _, text := range strings.Split(offered, ",") {
			load, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return nil, err
			}
			runs = append(runs, &bench.Share{Deployment: a.Deployment, Case: name, Offered: load, WarmUp: a.WarmUp})
		}
	}
	return runs, nil
}
