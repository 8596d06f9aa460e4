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

// Cases of the share experiment.
const (
	// CaseFair overloads the deployment by one workspace while all others ask for a little more than their share.
	CaseFair = "fair"
	// CaseStale cuts the exchange between the daemons and stops one of them, under the load of CaseFair.
	CaseStale = "stale"
	// CaseLimits offers a multiple of the sheet's limits for one workspace.
	CaseLimits = "limits"
	// CaseLimitsStale is CaseLimits with the exchange cut and one daemon stopped.
	CaseLimitsStale = "limits-stale"
	// CaseGoodput offers a multiple of the capacity, divided by share.
	CaseGoodput = "goodput"
	// CaseLoss loses the engines of one place at full load.
	CaseLoss = "loss"
)

const (
	// shareSlots keeps the number of streams and the processor time of a full load low.
	shareSlots = 8
	shareFor   = 7 * time.Second
	shareIdle  = 1500 * time.Millisecond
	// overload is the demand of the workspace that overloads, as a multiple of its part of the capacity.
	overload = 4.0
	// overAsk is the demand of all others.
	overAsk = 1.3
	// bookingsPerSecond is the rate of the plain-service calls beside the generations.
	bookingsPerSecond = 40
)

// Share measures the division of capacity between workspaces. Exported fields are set before Run.
type Share struct {
	Deployment string
	Case       string
	// Offered is the offered load of CaseGoodput and CaseLoss as a multiple of the capacity.
	Offered float64
	// WarmUp is the time before the measurement.
	WarmUp time.Duration

	seed    uint64
	fleet   *Fleet
	flood   *Flood
	cut     atomic.Bool
	granted atomic.Int64
	denied  atomic.Int64
}

// cutExchange fails calls between daemons while the experiment has cut the exchange.
type cutExchange struct {
	share *Share
	next  interface {
		Do(req *http.Request) (*http.Response, error)
	}
}

// Do implements the client that the peers' protocol needs.
func (c cutExchange) Do(req *http.Request) (*http.Response, error) {
	if c.share.cut.Load() {
		return nil, StatusError{URL: req.URL.String()}
	}
	return c.next.Do(req)
}

// Run measures one seed.
func (s *Share) Run(ctx context.Context, seed uint64) (ShareResult, error) {
	run := &Share{Deployment: s.Deployment, Case: s.Case, Offered: s.Offered, WarmUp: s.WarmUp, seed: seed}
	began := time.Now()
	result, err := run.measure(ctx)
	if run.fleet != nil {
		if closeErr := run.fleet.Close(); err == nil {
			err = closeErr
		}
	}
	result.Seconds = time.Since(began).Seconds()
	return result, errors.Trace(err)
}

func (s *Share) limited() bool { return s.Case == CaseLimits || s.Case == CaseLimitsStale }

func (s *Share) measure(ctx context.Context) (ShareResult, error) {
	sheet, err := EditSheet(ExampleSheet(s.Deployment), func(row map[string]string) {
		if !s.limited() {
			unlimited(row)
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
	idle := s.book(ctx, shareIdle)
	s.flood = &Flood{
		Fleet: s.fleet, Seed: s.seed, PerSecond: s.rates(), Reversed: s.first(),
		PromptTokens: 64, Shortest: 20, Longest: 60,
	}
	floodCtx, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.flood.Run(floodCtx)
	}()
	busy, err := s.phases(ctx)
	stop()
	<-ended
	return s.result(idle, busy), err
}

// phases warms up, strikes and measures.
func (s *Share) phases(ctx context.Context) (Quantiles, error) {
	if s.Case == CaseStale || s.Case == CaseLimitsStale {
		time.Sleep(s.WarmUp / 2)
		s.cut.Store(true)
		go func() { _ = s.fleet.DaemonNodes()[4].Stop() }()
		time.Sleep(s.WarmUp / 2)
	} else {
		time.Sleep(s.WarmUp)
	}
	s.flood.counting.Store(true)
	defer s.flood.counting.Store(false)
	if s.Case == CaseLoss {
		if err := s.losePlace(ctx); err != nil {
			return Quantiles{}, err
		}
	}
	return s.book(ctx, shareFor), nil
}

func (s *Share) losePlace(ctx context.Context) error {
	nodes := s.fleet.EngineNodes()
	for _, n := range nodes {
		if n.Place() == nodes[int(s.seed)%len(nodes)].Place() {
			if err := Fault(ctx, n.Address(), engine.Faults{Die: true}); err != nil {
				return err
			}
		}
	}
	return nil
}

// first returns the workspace that overloads, which is the one of the highest share.
func (s *Share) first() string {
	best, name := 0.0, ""
	for _, w := range s.fleet.Fields().Workspaces {
		if w.Share > best {
			best, name = w.Share, w.Name
		}
	}
	return name
}

// capacity returns the tokens per second of all engines with full batches.
func (s *Share) capacity() float64 {
	e := engine.New()
	gap := e.TokenGap + (shareSlots-1)*e.TokenGapPerStream
	return float64(s.fleet.Engines*shareSlots) / gap.Seconds()
}

// rates returns the arrivals per second by workspace.
func (s *Share) rates() map[string]float64 {
	const meanTokens = 40
	rates, total := map[string]float64{}, 0.0
	for _, w := range s.fleet.Fields().Workspaces {
		total += w.Share
	}
	for _, w := range s.fleet.Fields().Workspaces {
		even := s.capacity() * w.Share / total / meanTokens
		switch {
		case s.limited() && w.Name == s.first():
			rates[w.Name] = 3 * w.RequestsPerSecond
		case s.limited():
			rates[w.Name] = 0.5 * w.RequestsPerSecond
		case s.Case == CaseGoodput || s.Case == CaseLoss:
			rates[w.Name] = s.Offered * even
		case w.Name == s.first():
			rates[w.Name] = overload * even
		default:
			rates[w.Name] = overAsk * even
		}
	}
	return rates
}

func (s *Share) options() []fx.Option {
	return []fx.Option{
		fx.Decorate(func(x *peer.Exchanger) *peer.Exchanger {
			x.HTTP = cutExchange{share: s, next: x.HTTP}
			return x
		}),
		fx.Decorate(func(c *caller.Server) *caller.Server {
			next := c.MayRetry
			c.MayRetry = func(workspace string) bool {
				granted := next(workspace)
				if granted {
					s.granted.Add(1)
				} else {
					s.denied.Add(1)
				}
				return granted
			}
			return c
		}),
	}
}

// book sends plain-service reads for a time and returns their latency.
func (s *Share) book(ctx context.Context, d time.Duration) Quantiles {
	h, client := newHistogram(), NewHTTP()
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
		began := time.Now()
		answer, err := c.Book(ctx, nodes[i%4].Address(), service.Name, http.MethodGet, path, "", nil)
		took := time.Since(began)
		if err == nil && answer.Status < http.StatusMultipleChoices {
			record(h, took)
		}
		time.Sleep(max(time.Second/bookingsPerSecond-took, 0))
	}
	return quantiles(h)
}

// fairParts divides a total by share, where no workspace gets more than it asks for.
func fairParts(total float64, shares, asked map[string]float64) map[string]float64 {
	parts := map[string]float64{}
	for len(parts) < len(shares) {
		weight := 0.0
		for name, share := range shares {
			if _, done := parts[name]; !done {
				weight += share
			}
		}
		level, lowest := math.Inf(1), ""
		for name, share := range shares {
			if _, done := parts[name]; !done && asked[name]/share < level {
				level, lowest = asked[name]/share, name
			}
		}
		if level*weight >= total {
			for name, share := range shares {
				if _, done := parts[name]; !done {
					parts[name] = total * share / weight
				}
			}
			return parts
		}
		parts[lowest] = asked[lowest]
		total -= asked[lowest]
	}
	return parts
}
