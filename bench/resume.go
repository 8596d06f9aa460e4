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

// Variants of the resume experiment; all but VariantProduct are baselines.
const (
	VariantProduct   = "product"
	VariantStartOver = "start-over"
	VariantFixed     = "fixed-random"
	VariantNone      = "no-resume"
)

const (
	// fixedDeadline is the silence deadline of VariantFixed.
	fixedDeadline = 2 * time.Second
	// runLimit bounds one run with the end of its answers.
	runLimit = 30 * time.Second
)

// Resume measures the loss of engines under load. Exported fields are set before Run.
type Resume struct {
	Deployment string
	Preference string
	Variant    string
	Fault      string
	Load       float64
	WarmUp, AfterFault time.Duration

	seed     uint64
	fleet    *Fleet
	load     *Load
	struck   time.Time
	gone     []engine.Stats
	faulty   faultySet
	spurious atomic.Int64
	silences atomic.Int64
}

// faultySet holds the endpoints that have stopped.
type faultySet struct {
	mu      sync.Mutex
	stopped map[string]bool
}

func (f *faultySet) set(addresses []string, stopped bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = map[string]bool{}
	for _, a := range addresses {
		f.stopped[a] = stopped
	}
}

func (f *faultySet) has(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopped[address]
}

// Run measures one seed.
func (r *Resume) Run(ctx context.Context, seed uint64) (ResumeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	began := time.Now()
	run := &Resume{
		Deployment: r.Deployment, Preference: r.Preference, Variant: r.Variant, Fault: r.Fault, Load: r.Load,
		WarmUp: r.WarmUp, AfterFault: r.AfterFault, seed: seed,
	}
	if err := run.measure(ctx); err != nil {
		return ResumeResult{}, errors.Trace(err)
	}
	result, err := run.result(ctx)
	result.Seconds = time.Since(began).Seconds()
	if closeErr := run.fleet.Close(); err == nil {
		err = closeErr
	}
	return result, errors.Trace(err)
}

func (r *Resume) measure(ctx context.Context) error {
	sheet, err := EditSheet(ExampleSheet(r.Deployment), func(row map[string]string) {
		unlimited(row)
		prefer(row, r.Preference)
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
		Fleet: r.fleet, Seed: r.seed, Share: r.Load, PromptTokens: 128, Shortest: 40, Longest: 160,
		For: r.WarmUp + r.AfterFault, StartOver: r.Variant == VariantStartOver,
	}
	struck := make(chan error, 1)
	go r.runFault(ctx, struck)
	r.load.Run(ctx)
	return <-struck
}

func (r *Resume) runFault(ctx context.Context, struck chan<- error) {
	time.Sleep(r.WarmUp)
	struck <- r.strike(ctx)
}

// options sets a baseline up and counts the silences at endpoints that run.
func (r *Resume) options() []fx.Option {
	count := func(s *caller.Server) *caller.Server {
		next := s.ObserveAttempt
		s.ObserveAttempt = func(choice route.Choice, err error) {
			if _, silent := errors.AsType[generation.SilenceError](err); silent {
				r.silences.Add(1)
				if !r.faulty.has(choice.Address()) {
					r.spurious.Add(1)
				}
			}
			next(choice, err)
		}
		switch r.Variant {
		case VariantFixed:
			s.Timeouts = generation.Timeouts{Floor: fixedDeadline, Ceiling: fixedDeadline, First: fixedDeadline}
			s.Alive, s.Stalled = func(string) (bool, float64) { return false, 1 }, nil
		case VariantStartOver, VariantNone:
			s.MayRetry, s.ExemptResumes = func(string) bool { return false }, -1
			s.Alive, s.Stalled = func(string) (bool, float64) { return false, 1 }, nil
		}
		return s
	}
	options := []fx.Option{fx.Decorate(count)}
	if r.Variant == VariantFixed {
		options = append(options, fx.Decorate(func(p route.Policy) route.Policy {
			p.ResumeCandidates, p.PrefixAware = 1, false
			return p
		}))
	}
	return options
}
