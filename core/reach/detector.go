// Package reach tells whether this daemon has lost its way to all endpoints, while they may serve other daemons.
package reach

import (
	"context"
	"sync"
	"time"

	"radishhollow/core/guard"
)

const (
	// minFailures is the number of endpoints that must fail in a row for a probe. The failure of a single one is most likely
	// its own.
	minFailures = 2
	// failureMemory is the time for which a failure counts.
	failureMemory = 2 * time.Second
	// probeWidth is the number of endpoints that must all be unreachable for the daemon to count as stranded. It is not any more
	// once it reaches one: where few endpoints are left, its callers need these.
	probeWidth = 6
	// strandedProbeInterval is the time between probes of a stranded daemon.
	strandedProbeInterval = 250 * time.Millisecond
	// probePause limits the rate of probes that find endpoints reachable, such as after the loss of many endpoints.
	probePause = time.Second
)

// Detector observes the connections to endpoints. A daemon whose endpoints fail one after the other probes some more, and
// is stranded while it can open a connection to none of them. A connection that lives on is no proof of the way, because
// new ones may be refused. Its exported fields must be set before use. It is safe for concurrent use.
type Detector struct {
	// Probe reports whether an endpoint accepts a new connection. Calls are concurrent.
	Probe func(ctx context.Context, address string) bool
	// Targets returns the addresses of up to n endpoints to probe, of all services.
	Targets func(n int) []string
	// OnChange is called when the daemon becomes stranded, and when it is no longer. It may be nil.
	OnChange func(stranded bool)

	initOnce sync.Once
	wake     chan struct{}

	mu sync.Mutex
	// failed holds the endpoints that have failed since the last new connection, with the times.
	failed map[string]time.Time
	// contactAt is the time of the last response or new connection.
	contactAt time.Time
	stranded  bool
	// verdict is closed at the end of the current probe; nil if there is none.
	verdict chan struct{}
	// probeAfter is the earliest time of the next probe because of failures.
	probeAfter time.Time
	// episode ends when the daemon becomes stranded. It is created when it is first needed.
	episode context.Context //nolint:containedctx // It signals a state, as a closed channel does.
	strand  context.CancelFunc
}

func (d *Detector) init() {
	d.initOnce.Do(func() { d.wake = make(chan struct{}, 1) })
}

// RecordConnected records that a new connection to an endpoint was opened.
func (d *Detector) RecordConnected() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.contactAt = time.Now()
	clear(d.failed)
}

// RecordContact records that an endpoint has responded, perhaps on a connection that was open before.
func (d *Detector) RecordContact() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.contactAt = time.Now()
}

// RecordFailure records that an endpoint could not be connected to, broke a connection, or is late with a response. It
// starts a probe if several have failed in a row.
func (d *Detector) RecordFailure(address string) {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.failed == nil {
		d.failed = map[string]time.Time{}
	}
	d.failed[address] = now
	for other, at := range d.failed {
		if now.Sub(at) > failureMemory {
			delete(d.failed, other)
		}
	}
	if len(d.failed) >= minFailures && now.After(d.probeAfter) {
		d.requestProbe()
	}
}

// requestProbe starts a probe unless there is one, or the daemon is known to be stranded. The caller must hold mu.
func (d *Detector) requestProbe() {
	if d.stranded || d.verdict != nil {
		return
	}
	d.verdict = make(chan struct{})
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Verify is Stranded, but probes first. It is for failures that would count against their endpoint at other daemons, too.
func (d *Detector) Verify(ctx context.Context) bool {
	d.init()
	d.mu.Lock()
	d.requestProbe()
	d.mu.Unlock()
	return d.Stranded(ctx)
}

// Stranded reports whether this daemon reaches no endpoint. It waits for a probe that is under way.
func (d *Detector) Stranded(ctx context.Context) bool {
	d.mu.Lock()
	verdict := d.verdict
	d.mu.Unlock()
	if verdict != nil {
		select {
		case <-verdict:
		case <-ctx.Done():
		}
	}
	return d.IsStranded()
}

// IsStranded is Stranded without a wait.
func (d *Detector) IsStranded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stranded
}

// Contact returns the time since an endpoint last responded or accepted a connection, and false if none has, or the
// daemon is stranded.
func (d *Detector) Contact() (age time.Duration, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.contactAt), !d.stranded && !d.contactAt.IsZero()
}

// Episode returns a context that ends when the daemon next becomes stranded.
func (d *Detector) Episode() context.Context {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.episode == nil {
		d.episode, d.strand = context.WithCancel(context.Background())
	}
	return d.episode
}

// Run probes until ctx ends.
func (d *Detector) Run(ctx context.Context) error {
	d.init()
	return guard.Run(ctx, d.run)
}

func (d *Detector) run(ctx context.Context) {
	ticker := time.NewTicker(strandedProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.wake:
			targets := d.Targets(probeWidth)
			d.settle(len(targets) > 0 && d.probe(ctx, targets) == 0)
		case <-ticker.C:
			if d.IsStranded() && d.probe(ctx, d.Targets(probeWidth)) > 0 {
				d.settle(false)
			}
		case <-ctx.Done():
			return
		}
	}
}

// probe returns the number of endpoints that accept a new connection.
func (d *Detector) probe(ctx context.Context, addresses []string) int {
	var group sync.WaitGroup
	results := make([]bool, len(addresses))
	for i, address := range addresses {
		group.Go(func() {
			// A panic counts as an unreachable endpoint.
			_ = guard.Call(func() error { results[i] = d.Probe(ctx, address); return nil }, nil)
		})
	}
	group.Wait()
	reached := 0
	for _, result := range results {
		if result {
			reached++
		}
	}
	return reached
}

// settle ends a probe with its result.
func (d *Detector) settle(stranded bool) {
	d.mu.Lock()
	now := time.Now()
	changed := stranded != d.stranded
	d.stranded = stranded
	clear(d.failed)
	if !stranded {
		d.contactAt = now
		d.probeAfter = now.Add(probePause)
		if changed {
			// The way may be lost again at once.
			d.probeAfter = now
		}
	}
	if d.verdict != nil {
		close(d.verdict)
		d.verdict = nil
	}
	if changed && stranded && d.strand != nil {
		d.strand()
		d.episode, d.strand = nil, nil
	}
	d.mu.Unlock()
	if changed && d.OnChange != nil {
		d.OnChange(stranded)
	}
}
