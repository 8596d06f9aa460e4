package bench

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/fx"

	"radishhollow/core/route"
	"radishhollow/standin/engine"
)

// choiceVariants change the route policy of every daemon.
var choiceVariants = map[string]func(p *route.Policy){
	"random":                   func(p *route.Policy) { p.Method, p.PrefixAware = route.MethodRandom, false },
	"least-reported":           func(p *route.Policy) { p.Method, p.PrefixAware = route.MethodLeastReported, false },
	"best-of-2":                func(p *route.Policy) { p.Candidates, p.PrefixAware = 2, false },
	"best-of-2+balance":        func(p *route.Policy) { p.Candidates, p.PrefixAware, p.BalanceResources = 2, false, true },
	"best-of-2+prefix":         func(p *route.Policy) { p.Candidates, p.PrefixAware = 2, true },
	"best-of-2+prefix+balance": func(p *route.Policy) { p.Candidates, p.PrefixAware, p.BalanceResources = 2, true, true },
}

// Choice compares the ways to choose an endpoint. Exported fields are set before Run.
type Choice struct {
	Deployment string
	// Variant is a key of the variants; Known tells whether it is one.
	Variant string
	Load    float64
	WarmUp    time.Duration
	Duration     time.Duration
}

// ChoiceResult is one run of Choice as a JSON line.
type ChoiceResult struct {
	Experiment string         `json:"experiment"`
	Deployment string         `json:"deployment"`
	Variant    string         `json:"variant"`
	Seed       uint64         `json:"seed"`
	Load       float64        `json:"load"`
	Mean       float64        `json:"first-token-mean-ms"`
	First      Quantiles      `json:"first-token-ms"`
	Prefill    float64        `json:"prefill-share"`
	Checked    int            `json:"answers-checked"`
	Wrong      int            `json:"answers-wrong"`
	Errors     map[string]int `json:"errors"`
	Seconds    float64        `json:"seconds"`
}

// IsKnownVariant tells whether the variant exists.
func (c Choice) IsKnownVariant() bool { return choiceVariants[c.Variant] != nil }

// Run measures one seed.
func (c Choice) Run(ctx context.Context, seed uint64) (ChoiceResult, error) {
	began := time.Now()
	sheet, err := EditSheet(ExampleSheet(c.Deployment), unlimited)
	if err != nil {
		return ChoiceResult{}, err
	}
	decorate := func(p route.Policy) route.Policy {
		choiceVariants[c.Variant](&p)
		return p
	}
	f := &Fleet{
		Sheet: sheet, Engines: 20, Services: 4, Daemons: 5, Options: []fx.Option{fx.Decorate(decorate)},
		// The rates are those of TestChoiceModel.
		Engine: func(i int, e *engine.Server) {
			e.Seed, e.MaxNaturalLength, e.PrefillRate, e.CacheBlocks = seed*1000+uint64(i), 0, 3000, 1500
		},
	}
	if err := f.Start(ctx); err != nil {
		return ChoiceResult{}, errors.Trace(err)
	}
	load := &Load{
		Fleet: f, Seed: seed, Share: c.Load, PromptTokens: 128, Prefixes: 40, PrefixTokens: 1024, Shortest: 100,
		Longest: 300, For: c.WarmUp + c.Duration, Cut: true,
	}
	start := time.Now()
	load.Run(ctx)
	result, err := c.result(ctx, f, load, start.Add(c.WarmUp))
	result.Seed, result.Seconds = seed, time.Since(began).Seconds()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return result, errors.Trace(err)
}

// result counts the answers that arrived after the warm-up.
func (c Choice) result(ctx context.Context, f *Fleet, load *Load, from time.Time) (ChoiceResult, error) {
	out := ChoiceResult{
		Experiment: "choice", Deployment: c.Deployment, Variant: c.Variant, Load: c.Load, Errors: map[string]int{},
	}
	first := newHistogram()
	for _, a := range load.answers {
		if a.last.Code != "" {
			out.Errors[a.last.Code]++
		}
		if a.last.Done {
			out.Checked++
			if a.last.Check(a.maxTokens) != nil {
				out.Wrong++
			}
		}
		if a.arrived.After(from) && len(a.progress) > 0 {
			record(first, a.progress[0].Sub(a.arrived))
		}
	}
	out.First, out.Mean = quantiles(first), first.Mean()/1000
	prefilled, cached := 0, 0
	for _, n := range f.EngineNodes() {
		stats, err := EngineStats(ctx, n.Address())
		if err != nil {
			return out, err
		}
		prefilled += stats.PrefilledTokens
		cached += stats.CachedPrefillTokens
	}
	out.Prefill = float64(prefilled) / float64(max(prefilled+cached, 1))
	return out, nil
}
