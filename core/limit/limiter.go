// Package limit applies the workspaces' limits, divided between daemons by demand.
package limit

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/config"
)

// DefaultHold covers the delay of the peer exchange with its period of one second.
const DefaultHold = 3 * time.Second

// negligible is the demand per second below which a workspace is not published.
const negligible = 0.01

// Limiter admits requests within this daemon's part of each limit. Set the fields before the first call. It is safe
// for concurrent use.
type Limiter struct {
	// Address is this daemon's address, by which remainders are divided.
	Address string
	// Hold is the delay within which all peers hear of a change; DefaultHold if zero. A part grows only after it.
	Hold time.Duration

	mu         sync.Mutex
	started    time.Time
	workspaces map[string]*workspace
	peers      map[string]*peer
	sums       map[string]Demand
	evenUntil  time.Time
	stale      bool
}

// Apply replaces the workspaces and their limits. Work in progress stays counted.
func (l *Limiter) Apply(list []config.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	old := l.workspaces
	l.workspaces = make(map[string]*workspace, len(list))
	for _, c := range list {
		w := old[c.Name]
		if w == nil {
			w = newWorkspace(c.Name)
			// The peers have heard of no demand yet.
			w.floors.add(epochOf(l.started, now, l.hold()), Demand{})
		}
		w.limits = c
		l.workspaces[c.Name] = w
	}
	l.divide(now)
}

// PublishDemand returns and publishes this daemon's demand by workspace. The caller sends it to the peers.
func (l *Limiter) PublishDemand() map[string]Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	out := make(map[string]Demand)
	epoch := epochOf(l.started, now, l.hold())
	for name, w := range l.workspaces {
		d := w.meter.demand(now, w.inUse)
		if d.RequestsPerSecond < negligible && d.TokensPerSecond < negligible && d.Concurrency == 0 {
			d = Demand{}
		} else {
			out[name] = d
		}
		w.floors.add(epoch, d)
	}
	l.divide(now)
	return out
}

// CurrentDemand returns this daemon's demand by workspace without publishing it.
func (l *Limiter) CurrentDemand() map[string]Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	out := make(map[string]Demand, len(l.workspaces))
	for name, w := range l.workspaces {
		out[name] = w.meter.demand(now, w.inUse)
	}
	return out
}

// ObservePeers replaces the peers and takes their last known demand. A peer without fresh data makes this daemon
// fall back to the even part.
func (l *Limiter) ObservePeers(list []PeerDemand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	epoch := epochOf(l.started, now, l.hold())
	old := l.peers
	l.peers = make(map[string]*peer, len(list))
	l.stale = false
	for _, observed := range list {
		if observed.Address == l.Address {
			continue
		}
		p := old[observed.Address]
		if p == nil {
			p = &peer{}
		}
		p.listedAt = now
		p.add(epoch, observed.PerWorkspace)
		l.peers[observed.Address] = p
		l.stale = l.stale || !observed.Fresh
	}
	for address, p := range old {
		// A peer that left the list may still work with its part.
		if l.peers[address] == nil && now.Sub(p.listedAt) < l.hold() {
			l.peers[address] = p
		}
	}
	if l.stale {
		l.evenUntil = now.Add(l.hold())
	}
	l.sums = make(map[string]Demand)
	for _, p := range l.peers {
		p.addHighest(epoch, l.sums)
	}
	l.divide(now)
}

// Admit charges a request of an estimated number of tokens. The release must be called with the tokens used.
func (l *Limiter) Admit(name string, tokens int) (release func(usedTokens int), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.workspaces[name]
	if w == nil {
		return nil, errors.Trace(LimitedError{name, "unknown-workspace", maxRetryAfter})
	}
	if err := w.admit(l.now(), tokens); err != nil {
		return nil, errors.Trace(err)
	}
	var once sync.Once
	return func(used int) {
		once.Do(func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			w.settle(l.now(), tokens, used)
		})
	}, nil
}

// Part returns this daemon's part of a workspace's limits in force; a figure of 0 means no limit.
func (l *Limiter) Part(name string) (part Demand, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.workspaces[name]
	if w == nil {
		return Demand{}, false
	}
	if w.limits.RequestsPerSecond > 0 {
		part.RequestsPerSecond = float64(w.requests.Limit())
	}
	if w.limits.TokensPerSecond > 0 {
		part.TokensPerSecond = float64(w.tokens.Limit())
	}
	if w.limits.Concurrency > 0 {
		part.Concurrency = w.slots
	}
	return part, true
}

func (l *Limiter) divide(now time.Time) {
	v := view{
		count: len(l.peers) + 1,
		rank:  rankOf(l.Address, l.peers),
		even:  now.Before(l.evenUntil),
		stale: l.stale,
	}
	epoch := epochOf(l.started, now, l.hold())
	for name, w := range l.workspaces {
		w.divide(now, w.floors.lowest(epoch), l.sums[name], v)
	}
}

func (l *Limiter) hold() time.Duration {
	if l.Hold <= 0 {
		return DefaultHold
	}
	return l.Hold
}

// now returns the time and starts the windows at the first call.
func (l *Limiter) now() time.Time {
	now := time.Now()
	if l.started.IsZero() {
		l.started = now
	}
	return now
}
