// Package limit enforces the workspaces' limits, of which each daemon has a share in proportion to its demand.
package limit

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/config"
)

// DefaultPropagationDelay is assumed to cover the delay of the peer exchange, whose default period is one second.
const DefaultPropagationDelay = 3 * time.Second

// negligibleDemand is the number of requests or tokens per second below which a workspace's demand is not published.
const negligibleDemand = 0.01

// Limiter admits requests within this daemon's share of each limit. Its exported fields must be set before the first
// call. It is safe for concurrent use.
type Limiter struct {
	// Address is this daemon's address. The order of the addresses decides which daemons get the remainder of a division.
	Address string
	// PropagationDelay is the time within which all peers are assumed to receive each published change of demand. Demand
	// reaches a peer only in views that this daemon itself exchanges with it, and a view carries a limited number of
	// workspaces (package io/peer). A share grows only after this time. Zero means DefaultPropagationDelay.
	PropagationDelay time.Duration

	mu         sync.Mutex
	started    time.Time
	workspaces map[string]*workspace
	peers      map[string]*peer
	// peerDemand is the sum of the peers' highest recent demand, by workspace.
	peerDemand map[string]Demand
	// evenCapUntil is the end of the time in which shares are capped at an even division after a peer was stale.
	evenCapUntil time.Time
	// hasStalePeer is set if PeerDemand.Fresh was false for a peer in the last call of ObservePeers.
	hasStalePeer bool
}

// Apply replaces the workspaces and their limits. Requests in flight stay counted.
func (l *Limiter) Apply(workspaces []config.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	old := l.workspaces
	l.workspaces = make(map[string]*workspace, len(workspaces))
	for _, limits := range workspaces {
		w := old[limits.Name]
		if w == nil {
			w = newWorkspace(limits.Name)
			// The peers have received no demand for this workspace yet.
			w.minima.record(epochAt(l.started, now, l.propagationDelay()), Demand{})
		}
		w.limits = limits
		l.workspaces[limits.Name] = w
	}
	l.updateShares(now)
}

// PublishDemand returns this daemon's demand by workspace and records it as published. The caller must send it to the
// peers.
func (l *Limiter) PublishDemand() map[string]Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	out := make(map[string]Demand)
	epoch := epochAt(l.started, now, l.propagationDelay())
	for name, w := range l.workspaces {
		d := w.meter.demand(now, w.inFlight)
		if d.RequestsPerSecond < negligibleDemand && d.TokensPerSecond < negligibleDemand && d.Concurrency == 0 {
			d = Demand{}
		} else {
			out[name] = d
		}
		w.minima.record(epoch, d)
	}
	l.updateShares(now)
	return out
}

// CurrentDemand returns this daemon's demand by workspace without recording it as published.
func (l *Limiter) CurrentDemand() map[string]Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	out := make(map[string]Demand, len(l.workspaces))
	for name, w := range l.workspaces {
		out[name] = w.meter.demand(now, w.inFlight)
	}
	return out
}

// ObservePeers replaces the peers and records their last known demand. While any peer is stale, this daemon falls back
// to an even division.
func (l *Limiter) ObservePeers(list []PeerDemand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	epoch := epochAt(l.started, now, l.propagationDelay())
	old := l.peers
	l.peers = make(map[string]*peer, len(list))
	l.hasStalePeer = false
	for _, observed := range list {
		if observed.Address == l.Address {
			continue
		}
		p := old[observed.Address]
		if p == nil {
			p = &peer{}
		}
		p.observedAt = now
		p.record(epoch, observed.PerWorkspace)
		l.peers[observed.Address] = p
		l.hasStalePeer = l.hasStalePeer || !observed.Fresh
	}
	for address, p := range old {
		// A peer that left the list may still use its share.
		if l.peers[address] == nil && now.Sub(p.observedAt) < l.propagationDelay() {
			l.peers[address] = p
		}
	}
	if l.hasStalePeer {
		l.evenCapUntil = now.Add(l.propagationDelay())
	}
	l.peerDemand = make(map[string]Demand)
	for _, p := range l.peers {
		p.addMaximum(epoch, l.peerDemand)
	}
	l.updateShares(now)
}

// Admit charges a request with its estimated number of tokens. The caller must call release with the number of tokens
// used; further calls of release have no effect. A workspace of a new configuration is unknown until Apply has
// been called with it.
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

// Share returns this daemon's current share of a workspace's limits. A value of 0 means no limit.
func (l *Limiter) Share(name string) (share Demand, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.workspaces[name]
	if w == nil {
		return Demand{}, false
	}
	if w.limits.RequestsPerSecond > 0 {
		share.RequestsPerSecond = float64(w.requests.Limit())
	}
	if w.limits.TokensPerSecond > 0 {
		share.TokensPerSecond = float64(w.tokens.Limit())
	}
	if w.limits.Concurrency > 0 {
		share.Concurrency = w.maxInFlight
	}
	return share, true
}

func (l *Limiter) updateShares(now time.Time) {
	v := demandView{
		daemons:   len(l.peers) + 1,
		rank:      rankOf(l.Address, l.peers),
		capAtEven: now.Before(l.evenCapUntil),
		forceEven: l.hasStalePeer,
	}
	epoch := epochAt(l.started, now, l.propagationDelay())
	for name, w := range l.workspaces {
		w.updateShare(now, w.minima.minimum(epoch), l.peerDemand[name], v)
	}
}

func (l *Limiter) propagationDelay() time.Duration {
	if l.PropagationDelay <= 0 {
		return DefaultPropagationDelay
	}
	return l.PropagationDelay
}

// now returns the current time. The first call sets the start of the epochs.
func (l *Limiter) now() time.Time {
	now := time.Now()
	if l.started.IsZero() {
		l.started = now
	}
	return now
}
