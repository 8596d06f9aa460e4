package bench

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/fx"

	"radishhollow/core/route"
	"radishhollow/standin/engine"
)

// choiceVariants maps each variant to a function that changes the route policy of every daemon.
var choiceVariants = map[string]func(p *route.Policy){
	"random":                   func(p *route.Policy) { p.Method, p.PrefixAware = route.MethodRandom, false },
	"least-reported":           func(p *route.Policy) { p.Method, p.PrefixAware = route.MethodLeastReported, false },
	"best-of-2":                func(p *route.Policy) { p.SampleSize, p.PrefixAware = 2, false },
	"best-of-2+balance":        func(p *route.Policy) { p.SampleSize, p.PrefixAware, p.BalanceResources = 2, false, true },
	"best-of-2+prefix":         func(p *route.Policy) { p.SampleSize, p.PrefixAware = 2, true },
	"best-of-2+prefix+balance": func(p *route.Policy) { p.SampleSize, p.PrefixAware, p.BalanceResources = 2, true, true },
}

// Choice measures one method of choosing an endpoint. Exported fields must be set before Run.
type Choice struct {
	// Deployment is the name of an example sheet.
	Deployment string
	// Variant is a key of choiceVariants.
	Variant string
	// Load is the target number of running generations as a fraction of the engines' slots.
	Load float64
	// Requests arrive during WarmUp and then Duration. The waits for the first token are those of the requests that
	// arrive during Duration.
	WarmUp   time.Duration
	Duration time.Duration
}

// ChoiceResult is the result of one run of Choice, printed as a JSON line. PrefillShare is the fraction of the prompt
// tokens that the engines prefilled instead of finding them in their KV caches. Checked is the number of complete
// responses, and Wrong the number of those with incorrect tokens.
type ChoiceResult struct {
	Experiment       string         `json:"experiment"`
	Deployment       string         `json:"deployment"`
	Variant          string         `json:"variant"`
	Seed             uint64         `json:"seed"`
	Load             float64        `json:"load"`
	FirstTokenMeanMS float64        `json:"first-token-mean-ms"`
	FirstToken       Quantiles      `json:"first-token-ms"`
	PrefillShare     float64        `json:"prefill-share"`
	Checked          int            `json:"answers-checked"`
	Wrong            int            `json:"answers-wrong"`
	Errors           map[string]int `json:"errors"`
	Seconds          float64        `json:"seconds"`
}

// IsKnownVariant reports whether Variant is a key of choiceVariants.
func (c Choice) IsKnownVariant() bool { return choiceVariants[c.Variant] != nil }

// Run executes the experiment with one seed.
func (c Choice) Run(ctx context.Context, seed uint64) (ChoiceResult, error) {
	start := time.Now()
	sheet, err := EditSheet(ExampleSheet(c.Deployment), removeLimits)
	if err != nil {
		return ChoiceResult{}, err
	}
	decorate := func(p route.Policy) route.Policy {
		choiceVariants[c.Variant](&p)
		return p
	}
	f := &Fleet{
		Sheet: sheet, Engines: 20, Services: 4, Daemons: 5, Options: []fx.Option{fx.Decorate(decorate)},
		// The prefill rate and the cache size are those of TestChoiceModel in core/route.
		Engine: func(i int, e *engine.Server) {
			e.Seed, e.MaxNaturalLength, e.PrefillRate, e.CacheBlocks = seed*1000+uint64(i), 0, 3000, 1500
		},
	}
	if err := f.Start(ctx); err != nil {
		return ChoiceResult{}, errors.Trace(err)
	}
	load := &Load{
		Fleet: f, Seed: seed, Occupancy: c.Load, PromptTokens: 128, Prefixes: 40, PrefixTokens: 1024, MinOutputTokens: 100,
		MaxOutputTokens: 300, Duration: c.WarmUp + c.Duration, CancelAtEnd: true,
	}
	loadStart := time.Now()
	load.Run(ctx)
	result, err := c.result(ctx, f, load, loadStart.Add(c.WarmUp))
	result.Seed, result.Seconds = seed, time.Since(start).Seconds()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return result, errors.Trace(err)
}

// result returns the figures of the finished run. The wait for the first token counts only requests that arrived after
// from, the end of the warm-up.
func (c Choice) result(ctx context.Context, f *Fleet, load *Load, from time.Time) (ChoiceResult, error) {
	out := ChoiceResult{
		Experiment: "choice", Deployment: c.Deployment, Variant: c.Variant, Load: c.Load, Errors: map[string]int{},
	}
	first := newHistogram()
	for _, req := range load.requests {
		if req.last.Code != "" {
			out.Errors[req.last.Code]++
		}
		if req.last.Done {
			out.Checked++
			if req.last.Check(req.maxTokens) != nil {
				out.Wrong++
			}
		}
		if req.arrived.After(from) && len(req.progress) > 0 {
			recordDuration(first, req.progress[0].Sub(req.arrived))
		}
	}
	out.FirstToken, out.FirstTokenMeanMS = quantiles(first), first.Mean()/1000
	prefilled, cached := 0, 0
	for _, n := range f.EngineNodes() {
		stats, err := EngineStats(ctx, n.Address())
		if err != nil {
			return out, err
		}
		prefilled += stats.PrefilledTokens
		cached += stats.CachedPrefillTokens
	}
	out.PrefillShare = float64(prefilled) / float64(max(prefilled+cached, 1))
	return out, nil
}
