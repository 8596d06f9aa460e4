package bench

import (
	"context"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/fx"

	"radishhollow/io/caller"
	"radishhollow/io/peer"
	"radishhollow/standin/engine"
)

// Cases of the share experiment, which measures how capacity is divided between workspaces.
const (
	// CaseFair overloads the deployment: one workspace requests a multiple of its share, all others slightly more than
	// theirs.
	CaseFair = "fair"
	// CaseStale blocks the exchange between the daemons and stops one of them, under the load of CaseFair.
	CaseStale = "stale"
	// CaseLimits sends one workspace's requests at a multiple of its limit in the sheet.
	CaseLimits = "limits"
	// CaseLimitsStale is CaseLimits with the exchange blocked and one daemon stopped.
	CaseLimitsStale = "limits-stale"
	// CaseGoodput offers a multiple of the capacity, divided between the workspaces by share.
	CaseGoodput = "goodput"
	// CaseLoss kills the engines of one place at the start of the measurement, under the load of CaseGoodput.
	CaseLoss = "loss"
)

const (
	// shareSlots is the number of slots of each engine. A low number keeps the streams and the CPU time of a full
	// load low.
	shareSlots           = 8
	shareMeasureDuration = 7 * time.Second
	shareIdleDuration    = 1500 * time.Millisecond
	// overloadFactor is the demand of the overloading workspace as a multiple of its share of the capacity.
	overloadFactor = 4.0
	// otherDemandFactor is the demand of each other workspace as a multiple of its share of the capacity.
	otherDemandFactor = 1.3
	// serviceCallsPerSecond is the rate of the plain-service calls that run concurrently with the generations.
	serviceCallsPerSecond = 40
)

// Share measures how the capacity is divided between workspaces. Exported fields must be set before Run.
type Share struct {
	// Deployment is the name of an example sheet, and Case one of the Case constants.
	Deployment string
	Case       string
	// Offered is the offered load of CaseGoodput and CaseLoss as a multiple of the capacity.
	Offered float64
	// WarmUp is the time under load before the measurement.
	WarmUp time.Duration

	seed            uint64
	fleet           *Fleet
	load            *UnevenLoad
	exchangeBlocked atomic.Bool
	retriesGranted  atomic.Int64
	retriesDenied   atomic.Int64
}

// blockableClient fails the calls between daemons while Share.exchangeBlocked is set.
type blockableClient struct {
	share *Share
	next  interface {
		Do(req *http.Request) (*http.Response, error)
	}
}

// Do sends the request, or returns a StatusError without sending it while the exchange is blocked.
func (c blockableClient) Do(req *http.Request) (*http.Response, error) {
	if c.share.exchangeBlocked.Load() {
		return nil, StatusError{URL: req.URL.String()}
	}
	return c.next.Do(req)
}

// Run executes the experiment with one seed.
func (s *Share) Run(ctx context.Context, seed uint64) (ShareResult, error) {
	run := &Share{Deployment: s.Deployment, Case: s.Case, Offered: s.Offered, WarmUp: s.WarmUp, seed: seed}
	start := time.Now()
	result, err := run.measure(ctx)
	if run.fleet != nil {
		if closeErr := run.fleet.Close(); err == nil {
			err = closeErr
		}
	}
	result.Seconds = time.Since(start).Seconds()
	return result, errors.Trace(err)
}

// keepsLimits reports whether the case runs with the limits of the workspaces in the sheet.
func (s *Share) keepsLimits() bool { return s.Case == CaseLimits || s.Case == CaseLimitsStale }

func (s *Share) measure(ctx context.Context) (ShareResult, error) {
	sheet, err := EditSheet(ExampleSheet(s.Deployment), func(row map[string]string) {
		if !s.keepsLimits() {
			removeLimits(row)
		}
	})
	if err != nil {
		return ShareResult{}, err
	}
	s.fleet = &Fleet{
		Sheet: sheet, Engines: 20, Services: 4, Daemons: 5, Options: s.options(),
		Engine: func(i int, e *engine.Server) {
			e.Seed, e.MaxNaturalLength, e.Slots = s.seed*1000+uint64(i), 0, shareSlots
		},
	}
	if err := s.fleet.Start(ctx); err != nil {
		return ShareResult{}, err
	}
	idleLatency := s.measureServiceLatency(ctx, shareIdleDuration)
	s.load = &UnevenLoad{
		Fleet: s.fleet, Seed: s.seed, RequestsPerSecond: s.arrivalRates(), ReversedWorkspace: s.largestWorkspace(),
		PromptTokens: 64, MinOutputTokens: 20, MaxOutputTokens: 60,
	}
	loadCtx, stop := context.WithCancel(ctx)
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		s.load.Run(loadCtx)
	}()
	loadedLatency, err := s.warmUpAndMeasure(ctx)
	stop()
	<-loadDone
	return s.result(idleLatency, loadedLatency), err
}

// warmUpAndMeasure runs the warm-up and the measurement and injects the faults of the case. It returns the latency of
// the plain-service calls during the measurement.
func (s *Share) warmUpAndMeasure(ctx context.Context) (Quantiles, error) {
	if s.Case == CaseStale || s.Case == CaseLimitsStale {
		time.Sleep(s.WarmUp / 2)
		s.exchangeBlocked.Store(true)
		go func() { _ = s.fleet.DaemonNodes()[4].Stop() }()
		time.Sleep(s.WarmUp / 2)
	} else {
		time.Sleep(s.WarmUp)
	}
	s.load.measuring.Store(true)
	defer s.load.measuring.Store(false)
	if s.Case == CaseLoss {
		if err := s.killPlace(ctx); err != nil {
			return Quantiles{}, err
		}
	}
	return s.measureServiceLatency(ctx, shareMeasureDuration), nil
}

func (s *Share) killPlace(ctx context.Context) error {
	nodes := s.fleet.EngineNodes()
	for _, n := range nodes {
		if n.Place() == nodes[int(s.seed)%len(nodes)].Place() {
			if err := InjectFault(ctx, n.Address(), engine.Faults{Die: true}); err != nil {
				return err
			}
		}
	}
	return nil
}

// largestWorkspace returns the workspace with the highest share, which overloads the deployment.
func (s *Share) largestWorkspace() string {
	largest, name := 0.0, ""
	for _, w := range s.fleet.Fields().Workspaces {
		if w.Share > largest {
			largest, name = w.Share, w.Name
		}
	}
	return name
}

// capacity returns the tokens per second that all engines generate together with full batches.
func (s *Share) capacity() float64 {
	e := engine.New()
	gap := e.TokenGap + (shareSlots-1)*e.TokenGapPerStream
	return float64(s.fleet.Engines*shareSlots) / gap.Seconds()
}

// arrivalRates returns the requests per second by workspace.
func (s *Share) arrivalRates() map[string]float64 {
	const meanTokens = 40 // mean output length of the load
	rates, total := map[string]float64{}, 0.0
	for _, w := range s.fleet.Fields().Workspaces {
		total += w.Share
	}
	for _, w := range s.fleet.Fields().Workspaces {
		fairRate := s.capacity() * w.Share / total / meanTokens
		switch {
		case s.keepsLimits() && w.Name == s.largestWorkspace():
			rates[w.Name] = 3 * w.RequestsPerSecond
		case s.keepsLimits():
			rates[w.Name] = 0.5 * w.RequestsPerSecond
		case s.Case == CaseGoodput || s.Case == CaseLoss:
			rates[w.Name] = s.Offered * fairRate
		case w.Name == s.largestWorkspace():
			rates[w.Name] = overloadFactor * fairRate
		default:
			rates[w.Name] = otherDemandFactor * fairRate
		}
	}
	return rates
}

func (s *Share) options() []fx.Option {
	return []fx.Option{
		fx.Decorate(func(x *peer.Exchanger) *peer.Exchanger {
			x.HTTP = blockableClient{share: s, next: x.HTTP}
			return x
		}),
		fx.Decorate(func(c *caller.Server) *caller.Server {
			next := c.TakeRetry
			c.TakeRetry = func(workspace string) bool {
				granted := next(workspace)
				if granted {
					s.retriesGranted.Add(1)
				} else {
					s.retriesDenied.Add(1)
				}
				return granted
			}
			return c
		}),
	}
}

// measureServiceLatency sends plain-service reads for the duration d and returns their latency. It sends none to the
// fifth daemon, which CaseStale and CaseLimitsStale stop.
func (s *Share) measureServiceLatency(ctx context.Context, d time.Duration) Quantiles {
	h, client := newHistogram(), NewHTTPClient()
	defer client.CloseIdleConnections()
	fields := s.fleet.Fields()
	service := fields.Services[0]
	path := "/registry/1"
	if service.Name == "booking" {
		path = "/queues/1"
	}
	nodes := s.fleet.DaemonNodes()
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		w := fields.Workspaces[i%3]
		c := Caller{Key: exampleKey(w.Name), HTTP: client}
		start := time.Now()
		response, err := c.CallService(ctx, nodes[i%4].Address(), service.Name, http.MethodGet, path, "", nil)
		elapsed := time.Since(start)
		if err == nil && response.Status < http.StatusMultipleChoices {
			recordDuration(h, elapsed)
		}
		time.Sleep(max(time.Second/serviceCallsPerSecond-elapsed, 0))
	}
	return quantiles(h)
}

// fairAllocation divides the capacity by share (weighted max-min fairness): no workspace gets more than its demand.
func fairAllocation(capacity float64, shares, demand map[string]float64) map[string]float64 {
	allocation := map[string]float64{}
	for len(allocation) < len(shares) {
		remainingShare := 0.0
		for name, share := range shares {
			if _, done := allocation[name]; !done {
				remainingShare += share
			}
		}
		level, lowest := math.Inf(1), ""
		for name, share := range shares {
			if _, done := allocation[name]; !done && demand[name]/share < level {
				level, lowest = demand[name]/share, name
			}
		}
		// If the rest of the capacity is too small for this level, it is divided by share. Otherwise the workspace with
		// the least demand per share gets its whole demand.
		if level*remainingShare >= capacity {
			for name, share := range shares {
				if _, done := allocation[name]; !done {
					allocation[name] = capacity * share / remainingShare
				}
			}
			return allocation
		}
		allocation[lowest] = demand[lowest]
		capacity -= demand[lowest]
	}
	return allocation
}
