package bench

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/fx"

	"radishhollow/core/generation"
	"radishhollow/core/route"
	"radishhollow/io/caller"
	"radishhollow/standin/engine"
)

// Variants of the resume experiment. All but VariantProduct are baselines: VariantStartOver repeats a failed request
// from the start, VariantFixedTimeout uses a fixed silence timeout and a random endpoint, and VariantNoResume
// returns the error of a lost stream.
const (
	VariantProduct      = "product"
	VariantStartOver    = "start-over"
	VariantFixedTimeout = "fixed-random"
	VariantNoResume     = "no-resume"
)

const (
	// fixedSilenceTimeout is the silence timeout of VariantFixedTimeout.
	fixedSilenceTimeout = 2 * time.Second
	// runTimeout bounds one run, including the end of its requests.
	runTimeout = 30 * time.Second
)

// Resume measures the effect of failing engines on generations under load. Exported fields must be set before Run.
type Resume struct {
	// Deployment is the name of an example sheet. Variant is one of the Variant constants and Fault one of the Fault
	// constants.
	Deployment string
	// Preference replaces the resume preference of the sheet unless it is empty.
	Preference string
	Variant    string
	Fault      string
	// Load is the target number of running generations as a fraction of the engines' slots.
	Load float64
	// WarmUp and AfterFault are the times before and after the fault during which requests arrive.
	WarmUp, AfterFault time.Duration

	seed             uint64
	fleet            *Fleet
	load             *Load
	faultedAt        time.Time
	killedStats      []engine.Stats // counters of the killed engines right before the fault
	stopped          stoppedEndpoints
	spuriousSilences atomic.Int64
	silences         atomic.Int64
}

// stoppedEndpoints is the set of endpoints that an injected fault has stopped. A slow endpoint is not stopped.
type stoppedEndpoints struct {
	mu      sync.Mutex
	stopped map[string]bool
}

func (s *stoppedEndpoints) set(addresses []string, stopped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = map[string]bool{}
	for _, a := range addresses {
		s.stopped[a] = stopped
	}
}

func (s *stoppedEndpoints) has(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped[address]
}

// Run executes the experiment with one seed.
func (r *Resume) Run(ctx context.Context, seed uint64) (ResumeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	start := time.Now()
	run := &Resume{
		Deployment: r.Deployment, Preference: r.Preference, Variant: r.Variant, Fault: r.Fault, Load: r.Load,
		WarmUp: r.WarmUp, AfterFault: r.AfterFault, seed: seed,
	}
	if err := run.measure(ctx); err != nil {
		return ResumeResult{}, errors.Trace(err)
	}
	result, err := run.result(ctx)
	result.Seconds = time.Since(start).Seconds()
	if closeErr := run.fleet.Close(); err == nil {
		err = closeErr
	}
	return result, errors.Trace(err)
}

func (r *Resume) measure(ctx context.Context) error {
	sheet, err := EditSheet(ExampleSheet(r.Deployment), func(row map[string]string) {
		removeLimits(row)
		setResumePreference(row, r.Preference)
	})
	if err != nil {
		return err
	}
	r.fleet = &Fleet{
		Sheet: sheet, Engines: 20, Services: 4, Daemons: 5, Options: r.options(),
		Engine: func(i int, s *engine.Server) {
			s.Seed, s.MaxNaturalLength = r.seed*1000+uint64(i), 0
		},
	}
	if err := r.fleet.Start(ctx); err != nil {
		return err
	}
	r.load = &Load{
		Fleet: r.fleet, Seed: r.seed, Occupancy: r.Load, PromptTokens: 128, MinOutputTokens: 40, MaxOutputTokens: 160,
		Duration: r.WarmUp + r.AfterFault, StartOver: r.Variant == VariantStartOver,
	}
	faultErr := make(chan error, 1)
	go r.runFault(ctx, faultErr)
	r.load.Run(ctx)
	return <-faultErr
}

func (r *Resume) runFault(ctx context.Context, faultErr chan<- error) {
	time.Sleep(r.WarmUp)
	faultErr <- r.injectFault(ctx)
}

// options returns the daemon options that configure the variant and count silences. A silence of an endpoint that has
// not stopped counts as spurious. The baselines do not use load reports to judge whether an engine is lost. In
// VariantStartOver and VariantNoResume, the retry budget grants no retries and no resume is exempt from it.
func (r *Resume) options() []fx.Option {
	countSilences := func(s *caller.Server) *caller.Server {
		next := s.ObserveAttempt
		s.ObserveAttempt = func(choice route.Choice, err error) {
			if _, silent := errors.AsType[generation.SilenceError](err); silent {
				r.silences.Add(1)
				if !r.stopped.has(choice.Address()) {
					r.spuriousSilences.Add(1)
				}
			}
			next(choice, err)
		}
		switch r.Variant {
		case VariantFixedTimeout:
			s.Timeouts = generation.Timeouts{Floor: fixedSilenceTimeout, Ceiling: fixedSilenceTimeout, First: fixedSilenceTimeout}
			s.Health, s.Stalled = func(string) (bool, float64) { return false, 1 }, nil
		case VariantStartOver, VariantNoResume:
			s.TakeRetry, s.ExemptResumes = func(string) bool { return false }, -1
			s.Health, s.Stalled = func(string) (bool, float64) { return false, 1 }, nil
		}
		return s
	}
	options := []fx.Option{fx.Decorate(countSilences)}
	if r.Variant == VariantFixedTimeout {
		options = append(options, fx.Decorate(func(p route.Policy) route.Policy {
			p.ResumeSampleSize, p.PrefixAware = 1, false
			return p
		}))
	}
	return options
}
