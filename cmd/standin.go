package cmd

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"

	"radishhollow/standin"
	"radishhollow/standin/engine"
	"radishhollow/standin/platform"
	"radishhollow/standin/service"
)

// standinCommon are the arguments of every stand-in.
type standinCommon struct {
	Listen   string `arg:"--listen" default:"127.0.0.1:0" placeholder:"IP:PORT" help:"address; port 0 takes a free one"`
	Place    string `arg:"--place" help:"place in the instance list and the load report"`
	Platform string `arg:"--platform" placeholder:"IP:PORT" help:"platform to register at and to fetch weights from"`
	Name     string `arg:"--name" help:"name in the instance list"`
}

type standinEngineArgs struct {
	standinCommon
	Models       []string      `arg:"--model,separate" placeholder:"MODEL@VERSION[+ADAPTER@VERSION...]" help:"loaded model"`
	Seed         uint64        `arg:"--seed" help:"seed of the first token of each generation"`
	Role         string        `arg:"--role" default:"mixed" help:"mixed, prefill or decode"`
	PrefillRate  float64       `arg:"--prefill-rate" default:"8000" help:"tokens per second"`
	Gap          time.Duration `arg:"--gap" default:"20ms" help:"time between the tokens of a lone stream"`
	GapPerStream time.Duration `arg:"--gap-per-stream" default:"1300us" help:"added for each further stream"`
	Slots        int           `arg:"--slots" default:"16"`
	CacheBlocks  int           `arg:"--cache-blocks" default:"2048"`
	ReportLag    time.Duration `arg:"--report-lag" default:"200ms"`
	EventLag     time.Duration `arg:"--event-lag" default:"200ms"`
	EventLoss    float64       `arg:"--event-loss" default:"0.02" help:"fraction of cache events never published"`
	DetachHold   time.Duration `arg:"--detach-hold" default:"10s"`
	LoadTime     time.Duration `arg:"--load-time" default:"500ms"`
	CheckFence   bool          `arg:"--check-fence" help:"refuse orders with an old fencing token"`
	StopShortest int           `arg:"--stop-shortest" default:"16"`
	StopLongest  int           `arg:"--stop-longest" default:"4096" help:"0 turns natural stops off"`
}

type standinServiceArgs struct {
	standinCommon
	RunTime time.Duration `arg:"--run-time" default:"5ms"`
	Slots   int           `arg:"--slots" default:"64"`
}

type standinPlatformArgs struct {
	standinCommon
	InstanceLag          time.Duration `arg:"--instance-lag" default:"1s"`
	WeightLoadsPerMinute float64       `arg:"--weight-loads-per-minute" default:"60"`
	ReadsPerSecond       float64       `arg:"--reads-per-second" default:"2000"`
	WritesPerSecond      float64       `arg:"--writes-per-second" default:"500"`
}

type standinArgs struct {
	Engine   *standinEngineArgs   `arg:"subcommand:engine" help:"model engine"`
	Service  *standinServiceArgs  `arg:"subcommand:service" help:"plain service runner"`
	Platform *standinPlatformArgs `arg:"subcommand:platform" help:"platform"`
}

// RunStandin executes a stand-in of an outside system until SIGTERM or SIGINT and returns the exit code.
func RunStandin(args []string, stdout, stderr io.Writer) int {
	var parsed standinArgs
	parser, err := arg.NewParser(arg.Config{Program: "radishhollow standin"}, &parsed)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(stdout)
		return ExitOK
	}
	if err == nil && parser.Subcommand() == nil {
		err = missingSubcommandError{}
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := parsed.run(ctx, stdout); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return ExitOK
}

func (a standinArgs) run(ctx context.Context, stdout io.Writer) error {
	switch {
	case a.Engine != nil:
		return a.Engine.run(ctx, stdout)
	case a.Service != nil:
		return a.Service.run(ctx, stdout)
	default:
		return a.Platform.run(ctx, stdout)
	}
}

func (a standinEngineArgs) run(ctx context.Context, stdout io.Writer) error {
	models, err := parseModels(a.Models)
	if err != nil {
		return err
	}
	s := engine.New()
	s.Listen, s.Place, s.Platform, s.Models = a.Listen, a.Place, a.Platform, models
	s.Seed, s.Role, s.PrefillRate = a.Seed, a.Role, a.PrefillRate
	s.TokenGap, s.TokenGapPerStream, s.Slots, s.CacheBlocks = a.Gap, a.GapPerStream, a.Slots, a.CacheBlocks
	s.ReportLag, s.EventLag, s.EventLoss = a.ReportLag, a.EventLag, a.EventLoss
	s.DetachHold, s.LoadTime, s.CheckFencingToken = a.DetachHold, a.LoadTime, a.CheckFence
	s.MinNaturalLength, s.MaxNaturalLength = a.StopShortest, a.StopLongest
	return a.serve(ctx, stdout, "model", s.Incarnation(), &s.Ready, s.Run)
}

func (a standinServiceArgs) run(ctx context.Context, stdout io.Writer) error {
	s := service.New()
	s.Listen, s.Place, s.RunTime, s.Slots = a.Listen, a.Place, a.RunTime, a.Slots
	return a.serve(ctx, stdout, "service", s.Incarnation(), &s.Ready, s.Run)
}

func (a standinPlatformArgs) run(ctx context.Context, stdout io.Writer) error {
	s := platform.New()
	s.Listen, s.InstanceLag, s.WeightLoadsPerMinute = a.Listen, a.InstanceLag, a.WeightLoadsPerMinute
	s.ReadsPerSecond, s.WritesPerSecond = a.ReadsPerSecond, a.WritesPerSecond
	// A platform is not an instance of its own list.
	a.Platform = ""
	return a.serve(ctx, stdout, "", "", &s.Ready, s.Run)
}

// serve registers the instance once it listens, prints the readiness line and runs until ctx ends.
func (a standinCommon) serve(ctx context.Context, stdout io.Writer, kind, incarnation string,
	ready *func(string), run func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var refused error
	*ready = func(address string) {
		if a.Platform != "" {
			refused = standin.Register(ctx, a.Platform, standin.Instance{
				Address: address, Incarnation: incarnation, Place: a.Place, Kind: kind, Name: a.Name, State: "live",
			})
		}
		if refused != nil {
			cancel()
			return
		}
		_, _ = fmt.Fprintf(stdout, "listening %s\n", address)
	}
	if err := run(ctx); err != nil {
		return err
	}
	return refused
}

// parseModels reads MODEL@VERSION with any number of +ADAPTER@VERSION.
func parseModels(texts []string) ([]engine.Model, error) {
	var models []engine.Model
	for _, text := range texts {
		parts := strings.Split(text, "+")
		name, version, ok := strings.Cut(parts[0], "@")
		if !ok || name == "" || version == "" {
			return nil, modelArgumentError{Text: text}
		}
		model := engine.Model{Name: name, Version: version}
		for _, part := range parts[1:] {
			adapter, adapterVersion, ok := strings.Cut(part, "@")
			if !ok || adapter == "" || adapterVersion == "" {
				return nil, modelArgumentError{Text: text}
			}
			model.Adapters = append(model.Adapters, engine.Adapter{Name: adapter, Version: adapterVersion})
		}
		models = append(models, model)
	}
	return models, nil
}
