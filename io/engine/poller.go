// Package engine is the client of model engines.
package engine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"radishhollow/core/ring"
	"radishhollow/core/route"
)

// Defaults of a Poller.
const (
	DefaultPollInterval = 250 * time.Millisecond
	// DefaultIdleInterval leaves two reports within route.Policy.AliveFor.
	DefaultIdleInterval = time.Second
	// DefaultIdleRate leaves the idle interval of up to 20 endpoints at 1 s. The 256 endpoints in the subsets of the
	// planned size would take 256 reports a second at that interval.
	DefaultIdleRate    = 20
	DefaultPollTimeout = time.Second
	DefaultPollWorkers = 16
	DefaultFailAfter   = 3
)

// pollJitter is the part by which an interval varies, so that daemons don't poll an endpoint in step.
const pollJitter = 0.2

// Poller feeds load reports and cache events of a table's targets into the table. Zero fields take their default.
type Poller struct {
	Table *route.Table
	// Kind restricts the poller to one kind of endpoint; empty means KindModel.
	Kind route.Kind
	// Load reads the load report of one endpoint.
	Load func(ctx context.Context, address string) (route.Report, error)
	// CacheEvents reads the cache events after a sequence number, and the number to ask from next. It may be nil.
	CacheEvents func(ctx context.Context, address string, after uint64) ([]route.CacheEvent, uint64, error)
	// BusyInterval is the time between two reports of an endpoint with work of this daemon.
	BusyInterval time.Duration
	// IdleInterval is that of all other endpoints and of unreachable ones, as far as IdleRate allows.
	IdleInterval time.Duration
	// IdleRate bounds the reports a second of the endpoints without work of this daemon. Their interval grows with
	// their number.
	IdleRate float64
	// Timeout bounds one call.
	Timeout time.Duration
	// Workers bounds the calls at a time.
	Workers int
	// FailAfter is the number of consecutive failures that makes an endpoint unreachable.
	FailAfter int

	mu      sync.Mutex
	cancel  context.CancelFunc
	closed  bool
	running sync.WaitGroup
	states  map[string]*pollState
	// idle is the number of targets without work of this daemon.
	idle int
}

// pollState is what the poller knows of one address.
type pollState struct {
	incarnation string
	due         time.Time
	polling     bool
	failures    int
	after       uint64
}

// Run polls until the context ends or Close is called.
func (p *Poller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !p.start(cancel) {
		return nil
	}
	defer p.running.Done()
	jobs := ring.New[route.PollTarget](2 * p.Workers)
	var workers sync.WaitGroup
	for range p.Workers {
		workers.Go(func() { p.runWorker(ctx, jobs) })
	}
	p.loop(ctx, jobs)
	jobs.Close()
	workers.Wait()
	return nil
}

// Close ends Run and waits for its goroutines.
func (p *Poller) Close() error {
	p.mu.Lock()
	p.closed = true
	if p.cancel != nil {
		p.cancel()
	}
	p.mu.Unlock()
	p.running.Wait()
	return nil
}

func (p *Poller) start(cancel context.CancelFunc) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	setDefault(&p.Kind, route.KindModel)
	setDefault(&p.BusyInterval, DefaultPollInterval)
	setDefault(&p.IdleInterval, DefaultIdleInterval)
	setDefault(&p.IdleRate, DefaultIdleRate)
	setDefault(&p.Timeout, DefaultPollTimeout)
	setDefault(&p.Workers, DefaultPollWorkers)
	setDefault(&p.FailAfter, DefaultFailAfter)
	p.states = make(map[string]*pollState)
	p.cancel = cancel
	p.running.Add(1)
	return true
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// loop hands due targets to the workers.
func (p *Poller) loop(ctx context.Context, jobs *ring.Queue[route.PollTarget]) {
	ticker := time.NewTicker(max(p.BusyInterval/4, time.Millisecond))
	defer ticker.Stop()
	for {
		p.schedule(time.Now(), jobs)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Poller) schedule(now time.Time, jobs *ring.Queue[route.PollTarget]) {
	targets := p.Table.PollTargets()
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(targets))
	var due []dueTarget
	p.idle = 0
	for _, target := range targets {
		if target.Kind() != p.Kind {
			continue
		}
		listed[target.Address()] = true
		if !target.Busy() {
			p.idle++
		}
		s := p.states[target.Address()]
		if s == nil {
			s = &pollState{due: now}
			p.states[target.Address()] = s
		}
		if target.Busy() && s.failures < p.FailAfter {
			// An endpoint that just got work doesn't wait for the end of its idle interval.
			s.due = earlier(s.due, now.Add(p.BusyInterval))
		}
		if !s.polling && !now.Before(s.due) {
			due = append(due, dueTarget{target: target, state: s})
		}
	}
	for address := range p.states {
		if !listed[address] {
			delete(p.states, address)
		}
	}
	p.push(due, jobs)
}

// dueTarget is an endpoint whose report is due.
type dueTarget struct {
	target route.PollTarget
	state  *pollState
}

// push hands out the targets that have waited longest first, so that endpoints that hang don't keep the workers from
// the others.
func (p *Poller) push(due []dueTarget, jobs *ring.Queue[route.PollTarget]) {
	slices.SortFunc(due, func(a, b dueTarget) int { return a.state.due.Compare(b.state.due) })
	for _, d := range due {
		if !jobs.TryPush(d.target) {
			return
		}
		d.state.polling = true
	}
}

func (p *Poller) runWorker(ctx context.Context, jobs *ring.Queue[route.PollTarget]) {
	for {
		target, err := jobs.Pop(ctx)
		if err != nil {
			return
		}
		p.poll(ctx, target)
	}
}

// poll reads one endpoint's report and events.
func (p *Poller) poll(ctx context.Context, target route.PollTarget) {
	call, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	report, err := p.Load(call, target.Address())
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		report.Address = target.Address()
		p.Table.Update(report)
		p.pollEvents(call, report)
	}
	if p.finish(target, err) {
		p.Table.SetUnreachable(target.Address(), target.Incarnation())
	}
}

// pollEvents reads the events since the last call. The sequence starts again with each incarnation.
func (p *Poller) pollEvents(ctx context.Context, report route.Report) {
	if p.CacheEvents == nil {
		return
	}
	p.mu.Lock()
	s := p.states[report.Address]
	if s == nil {
		p.mu.Unlock()
		return
	}
	if s.incarnation != report.Incarnation {
		s.incarnation, s.after = report.Incarnation, 0
	}
	after := s.after
	p.mu.Unlock()
	events, next, err := p.CacheEvents(ctx, report.Address, after)
	if err != nil {
		// The index tolerates missing events, and the next poll asks for the same ones.
		return
	}
	p.Table.ApplyCacheEvents(report.Address, report.Incarnation, events)
	p.mu.Lock()
	s.after = next
	p.mu.Unlock()
}

// finish sets the time of the next poll and tells whether the endpoint is unreachable.
func (p *Poller) finish(target route.PollTarget, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[target.Address()]
	if s == nil {
		return false
	}
	s.polling = false
	s.failures++
	if err == nil {
		s.failures = 0
	}
	interval := max(p.IdleInterval, time.Duration(float64(p.idle)/p.IdleRate*float64(time.Second)))
	if target.Busy() && s.failures < p.FailAfter {
		interval = p.BusyInterval
	}
	jitter := 1 + pollJitter*(2*rand.Float64()-1)
	s.due = time.Now().Add(time.Duration(float64(interval) * jitter))
	return s.failures >= p.FailAfter
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
