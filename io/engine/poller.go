package engine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/guard"
	"radishhollow/core/ring"
	"radishhollow/core/route"
)

// Defaults of Poller.
const (
	DefaultBusyInterval = 250 * time.Millisecond
	// DefaultIdleInterval is short enough for two reports within route.Policy.AliveReportAge.
	DefaultIdleInterval = time.Second
	// DefaultMaxIdleRate is in reports per second. It keeps the idle interval at 1 s for up to 20 endpoints. At the
	// planned size, the subsets hold 256 endpoints, which would send 256 reports per second at that interval.
	DefaultMaxIdleRate      = 20
	DefaultPollTimeout      = time.Second
	DefaultPollWorkers      = 16
	DefaultFailureThreshold = 3
)

// pollJitter is the fraction by which each interval is varied in both directions, so that daemons do not poll an
// endpoint at the same time.
const pollJitter = 0.2

// Poller polls the load reports and cache events of the table's poll targets and applies them to the table. Zero fields
// stand for the defaults.
type Poller struct {
	Table *route.Table
	// Kind is the kind of the endpoints to poll. Empty means KindModel.
	Kind route.Kind
	// Load returns the load report of an endpoint.
	Load func(ctx context.Context, address string) (route.Report, error)
	// CacheEvents returns the cache events after a sequence number, and the sequence number to pass to the next call. It
	// may be nil.
	CacheEvents func(ctx context.Context, address string, after uint64) ([]route.CacheEvent, uint64, error)
	// BusyInterval is the time between two polls of a busy endpoint, which is one that has work from this daemon.
	BusyInterval time.Duration
	// IdleInterval is the time between two polls of an endpoint that is not busy or that counts as unreachable.
	// MaxIdleRate can make it longer.
	IdleInterval time.Duration
	// MaxIdleRate bounds the total number of polls per second of the endpoints that are not busy. Their interval grows
	// with their number.
	MaxIdleRate float64
	// Timeout bounds one poll, which consists of a Load and a CacheEvents call.
	Timeout time.Duration
	// Workers bounds the number of concurrent polls.
	Workers int
	// FailureThreshold is the number of consecutive failures after which an endpoint counts as unreachable.
	FailureThreshold int
	// OnPanic receives a panic of a poll as a guard.PanicError. It may be nil.
	OnPanic func(err error)

	mu      sync.Mutex
	cancel  context.CancelFunc
	closed  bool
	running sync.WaitGroup
	states  map[string]*pollState
	// idleTargets is the number of poll targets that are not busy.
	idleTargets int
}

// pollState is the state of polling one address.
type pollState struct {
	incarnation         string
	dueAt               time.Time
	polling             bool
	consecutiveFailures int
	// afterSequence is the sequence number to pass to the next CacheEvents call.
	afterSequence uint64
}

// Run polls until the context ends or Close is called. It returns at once if Close was called before.
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
	p.scheduleLoop(ctx, jobs)
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
	setDefault(&p.BusyInterval, DefaultBusyInterval)
	setDefault(&p.IdleInterval, DefaultIdleInterval)
	setDefault(&p.MaxIdleRate, DefaultMaxIdleRate)
	setDefault(&p.Timeout, DefaultPollTimeout)
	setDefault(&p.Workers, DefaultPollWorkers)
	setDefault(&p.FailureThreshold, DefaultFailureThreshold)
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

// scheduleLoop queues due targets for the workers until the context ends.
func (p *Poller) scheduleLoop(ctx context.Context, jobs *ring.Queue[route.PollTarget]) {
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

// schedule adds and removes poll states according to the table's poll targets, and queues the targets that are due.
func (p *Poller) schedule(now time.Time, jobs *ring.Queue[route.PollTarget]) {
	targets := p.Table.PollTargets()
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(targets))
	var due []dueTarget
	p.idleTargets = 0
	for _, target := range targets {
		if target.Kind() != p.Kind {
			continue
		}
		listed[target.Address()] = true
		if !target.Busy() {
			p.idleTargets++
		}
		s := p.states[target.Address()]
		if s == nil {
			s = &pollState{dueAt: now}
			p.states[target.Address()] = s
		}
		if target.Busy() && s.consecutiveFailures < p.FailureThreshold {
			// An endpoint that has just received work must not wait for the end of its idle interval.
			s.dueAt = earlier(s.dueAt, now.Add(p.BusyInterval))
		}
		if !s.polling && !now.Before(s.dueAt) {
			due = append(due, dueTarget{target: target, state: s})
		}
	}
	for address := range p.states {
		if !listed[address] {
			delete(p.states, address)
		}
	}
	p.dispatch(due, jobs)
}

// dueTarget is an endpoint that is due for a poll.
type dueTarget struct {
	target route.PollTarget
	state  *pollState
}

// dispatch queues the targets that have been due the longest first, so that unresponsive endpoints cannot starve the
// others of workers. Targets that do not fit into the queue stay due.
func (p *Poller) dispatch(due []dueTarget, jobs *ring.Queue[route.PollTarget]) {
	slices.SortFunc(due, func(a, b dueTarget) int { return a.state.dueAt.Compare(b.state.dueAt) })
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

// poll polls one endpoint. A panic counts as a failed poll.
func (p *Poller) poll(ctx context.Context, target route.PollTarget) {
	err := guard.Call(func() error { return p.apply(ctx, target) }, nil)
	if _, panicked := errors.AsType[guard.PanicError](err); panicked && p.OnPanic != nil {
		p.OnPanic(err)
	}
	if ctx.Err() != nil {
		return
	}
	if p.finishPoll(target, err) {
		p.Table.SetUnreachable(target.Address(), target.Incarnation())
	}
}

// apply applies one endpoint's load report and cache events to the table.
func (p *Poller) apply(ctx context.Context, target route.PollTarget) error {
	callCtx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	report, err := p.Load(callCtx, target.Address())
	if err != nil || ctx.Err() != nil {
		return err
	}
	report.Address = target.Address()
	p.Table.Update(report)
	p.pollEvents(callCtx, report)
	return nil
}

// pollEvents applies the cache events since the last poll. Sequence numbers restart with each incarnation.
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
		s.incarnation, s.afterSequence = report.Incarnation, 0
	}
	afterSequence := s.afterSequence
	p.mu.Unlock()
	events, next, err := p.CacheEvents(ctx, report.Address, afterSequence)
	if err != nil {
		// The index tolerates missing events, and the next poll requests them again.
		return
	}
	p.Table.ApplyCacheEvents(report.Address, report.Incarnation, events)
	p.mu.Lock()
	s.afterSequence = next
	p.mu.Unlock()
}

// finishPoll schedules the next poll and reports whether the endpoint counts as unreachable.
func (p *Poller) finishPoll(target route.PollTarget, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[target.Address()]
	if s == nil {
		return false
	}
	s.polling = false
	s.consecutiveFailures++
	if err == nil {
		s.consecutiveFailures = 0
	}
	interval := max(p.IdleInterval, time.Duration(float64(p.idleTargets)/p.MaxIdleRate*float64(time.Second)))
	if target.Busy() && s.consecutiveFailures < p.FailureThreshold {
		interval = p.BusyInterval
	}
	jitter := 1 + pollJitter*(2*rand.Float64()-1)
	s.dueAt = time.Now().Add(time.Duration(float64(interval) * jitter))
	return s.consecutiveFailures >= p.FailureThreshold
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
