package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"radishhollow/core/evidence"
	"radishhollow/core/rollout"
	"radishhollow/core/throttle"
)

// Table picks endpoints by the instance list, load reports and marks. It is safe for concurrent use.
type Table struct {
	// Limits holds the limits that endpoints have named. It may be nil and must be set before the first call.
	Limits *throttle.Limits
	// ObserveLimited is called when the limit of an endpoint keeps a request from it, with true if no other endpoint takes the
	// request. It may be nil and must be set before the first call.
	ObserveLimited func(rejected bool)

	// Rollouts restricts each choice to the versions that may get it. It may be nil and must be set before the first call.
	Rollouts *rollout.Controller
	// Evidence sets aside endpoints that are clearly worse than the others of their service. It may be nil and must be set
	// before the first call.
	Evidence *evidence.Register

	daemonID string
	policy   Policy

	// mu guards the fields below and those of policy that SetResumePreference changes.
	mu     sync.Mutex
	random *rand.Rand
	// synced is set once an instance list has been received, even an empty one.
	synced    bool
	endpoints map[string]*endpoint
	groups    map[groupKey]*endpointGroup
	// busy holds the endpoints with work of this daemon.
	busy map[*endpoint]bool
	// marks holds the marks that were set by this daemon or merged from peers.
	marks  map[markKey]markState
	prefix *prefixIndex
	// statedAt holds the time of the last four figures of each kind and name.
	statedAt map[groupKey]time.Time
	// durations holds the typical time that a request takes, of each kind and name.
	durations map[groupKey]typicalDuration
	lastID    uint64 // endpoint.id of the endpoint added last
}

// New returns an empty Table. The daemon's id determines its subset.
func New(daemonID string, policy Policy) *Table {
	return &Table{
		daemonID:  daemonID,
		policy:    policy,
		random:    rand.New(rand.NewPCG(policy.Seed, 0)),
		endpoints: make(map[string]*endpoint),
		groups:    make(map[groupKey]*endpointGroup),
		busy:      make(map[*endpoint]bool),
		marks:     make(map[markKey]markState),
		prefix:    newPrefixIndex(policy.MaxPrefixBlocks, policy.PrefixTTL),
		statedAt:  make(map[groupKey]time.Time),

		durations: make(map[groupKey]typicalDuration),
	}
}

// Sync replaces the instance list. Unless Policy.ListIsCurrent is set, the list lags, so a superseded incarnation is
// not restored.
func (t *Table) Sync(list []Listing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.synced = true
	changed := false
	seen := make(map[string]bool, len(list))
	for _, l := range list {
		seen[l.Address] = true
		changed = t.applyListing(l) || changed
	}
	for address := range t.endpoints {
		if !seen[address] {
			delete(t.endpoints, address)
			changed = true
		}
	}
	if changed {
		t.rebuildGroups()
	}
	t.dropOldLimits()
	t.dropOldStatements()
}

// Update applies a load report. Reports of unlisted endpoints and of superseded incarnations are ignored.
func (t *Table) Update(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[r.Address]
	if e == nil || e.isSuperseded(r.Incarnation) {
		return
	}
	now := time.Now()
	if e.listing.Incarnation != r.Incarnation {
		e = t.replaceEndpoint(e, r.Incarnation)
	}
	if !e.applyReport(r, now, t.policy.ReportLag) {
		return
	}
	key := markKey{r.Address, r.Incarnation}
	switch mark, marked := t.marks[key]; {
	case r.State == StateLeaving:
		t.setMark(key, false, now)
	case marked && mark.dead && now.Sub(mark.at) >= t.policy.ReportLag:
		// A report made after the mark shows that the endpoint was only paused or partitioned.
		if mark.dead = false; mark.leaving || mark.isResting(now) {
			t.marks[key] = mark
		} else {
			delete(t.marks, key)
		}
	}
}

// HasIncarnation reports whether the incarnation is the current one of the address, by the instance list or a report.
func (t *Table) HasIncarnation(address, incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[address]
	return e != nil && e.listing.Incarnation == incarnation
}

// Usable reports whether work may go to the incarnation: it is listed, reachable, and neither leaving, dead nor resting.
func (t *Table) Usable(address, incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[address]
	if e == nil || e.listing.Incarnation != incarnation {
		return false
	}
	now := time.Now()
	leaving, dead := t.markStatus(e, now)
	return !leaving && !dead && t.restLeft(e, now) == 0 && (e.silent || !e.recentlyUnreachable(now, t.policy))
}

// Alive reports whether a listed endpoint has sent a recent report, has not been set unreachable since, and isn't
// marked dead.
func (t *Table) Alive(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[address]
	if e == nil || e.unreachable || !e.reported {
		return false
	}
	now := time.Now()
	_, dead := t.markStatus(e, now)
	return !dead && now.Sub(e.reportedAt) <= t.policy.AliveReportAge
}

// SetUnreachable stops work on an endpoint that this daemon can't reach, until its next report or for
// Policy.UnreachableTTL. It sets no mark, because a partition of one daemon says nothing about the endpoint.
func (t *Table) SetUnreachable(address, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[address]; e != nil && e.listing.Incarnation == incarnation {
		e.unreachable, e.silent, e.unreachableAt = true, false, time.Now()
	}
}

// SetSilent notes that an endpoint has not responded in time, although it may be sound. It then counts as unreachable, but
// is still chosen if there is no other endpoint, and stays usable.
func (t *Table) SetSilent(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, now := t.endpoints[address], time.Now()
	if e == nil || (!e.silent && e.recentlyUnreachable(now, t.policy)) {
		return
	}
	e.unreachable, e.silent, e.unreachableAt = true, true, now
}

// SetAddressUnreachable is SetUnreachable for the address's current incarnation.
func (t *Table) SetAddressUnreachable(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[address]; e != nil {
		e.unreachable, e.silent, e.unreachableAt = true, false, time.Now()
	}
}

// ApplyCacheEvents updates the prefix index. Events of incarnations other than the current one are ignored.
func (t *Table) ApplyCacheEvents(address, incarnation string, events []CacheEvent) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[address]
	if e == nil || e.listing.Incarnation != incarnation {
		return
	}
	for _, event := range events {
		if event.Kind == CacheEvicted {
			t.prefix.remove(event.Block, e.id)
		} else {
			t.prefix.add(event.Block, e.id, now)
		}
	}
}

// applyListing applies one row of the list and reports whether the groups must be rebuilt.
func (t *Table) applyListing(l Listing) bool {
	e := t.endpoints[l.Address]
	created := e == nil
	switch {
	case created:
		e = t.addEndpoint(l)
	case e.isSuperseded(l.Incarnation) && !t.policy.ListIsCurrent:
		return false
	case e.listing.Incarnation != l.Incarnation:
		e = t.replaceEndpoint(e, l.Incarnation)
	case e.listing.StartedAtMS != l.StartedAtMS:
		// The endpoint was restarted under the same incarnation and has lost its state. The incarnation stays current.
		e = t.replaceEndpoint(e, l.Incarnation)
		e.pastIncarnations = e.pastIncarnations[1:]
	}
	old := e.listing
	e.listing = l
	t.dropMarkOfEarlierStart(l)
	// A later row of the same start that is not leaving does not remove the mark.
	if l.Leaving {
		t.setMark(markKey{l.Address, l.Incarnation}, false, time.Now())
	}
	return created || old.Kind != l.Kind || old.Name != l.Name || old.Place != l.Place
}

// addEndpoint adds an endpoint. Its warm-up counts from now, when this daemon first sees the row or report.
func (t *Table) addEndpoint(l Listing) *endpoint {
	t.lastID++
	e := &endpoint{id: t.lastID, listing: l, warmUpUntil: time.Now().Add(l.WarmUp)}
	t.endpoints[l.Address] = e
	return e
}

// replaceEndpoint installs a new endpoint for a new incarnation or start. Choices of the old one keep the old state.
// The new endpoint warms up from now for the WarmUp of the old listing.
func (t *Table) replaceEndpoint(old *endpoint, incarnation string) *endpoint {
	l := old.listing
	past := append([]string{old.listing.Incarnation}, old.pastIncarnations...)
	l.Incarnation, l.Leaving = incarnation, false
	e := t.addEndpoint(l)
	e.pastIncarnations = past[:min(len(past), maxPastIncarnations)]
	for _, g := range t.groups {
		g.replaceEndpoint(old, e)
	}
	return e
}
