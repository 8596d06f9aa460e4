package route

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Table chooses endpoints from the instance list, load reports and marks. It is safe for concurrent use.
type Table struct {
	daemon string
	policy Policy

	mu     sync.Mutex
	random *rand.Rand
	// synced tells that there was an instance list, which may have been empty.
	synced    bool
	endpoints map[string]*endpoint
	groups    map[group]*members
	// busy holds the endpoints with work of this daemon.
	busy   map[*endpoint]bool
	marks  map[markKey]markState
	prefix *prefixIndex
	nextID uint64
}

// New returns an empty Table. The daemon's id decides its subset.
func New(daemon string, policy Policy) *Table {
	return &Table{
		daemon:    daemon,
		policy:    policy,
		random:    rand.New(rand.NewPCG(policy.Seed, 0)),
		endpoints: make(map[string]*endpoint),
		groups:    make(map[group]*members),
		busy:      make(map[*endpoint]bool),
		marks:     make(map[markKey]markState),
		prefix:    newPrefixIndex(policy.PrefixBlocks, policy.PrefixTTL),
	}
}

// Sync replaces the instance list. The list lags, so an incarnation already superseded is not restored.
func (t *Table) Sync(list []Listing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.synced = true
	changed := false
	seen := make(map[string]bool, len(list))
	for _, l := range list {
		seen[l.Address] = true
		changed = t.syncOne(l) || changed
	}
	for address := range t.endpoints {
		if !seen[address] {
			delete(t.endpoints, address)
			changed = true
		}
	}
	if changed {
		t.regroup()
	}
}

// Update takes a load report. Reports of unlisted endpoints and of superseded incarnations are ignored.
func (t *Table) Update(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[r.Address]
	if e == nil || e.superseded(r.Incarnation) {
		return
	}
	now := time.Now()
	if e.listing.Incarnation != r.Incarnation {
		e = t.replace(e, r.Incarnation)
	}
	if !e.update(r, now, t.policy.ReportLag) {
		return
	}
	key := markKey{r.Address, r.Incarnation}
	switch mark, marked := t.marks[key]; {
	case r.State == StateLeaving:
		t.mark(key, false, now)
	case marked && mark.dead && now.Sub(mark.at) >= t.policy.ReportLag:
		// A report taken after the mark shows that the endpoint was only paused or partitioned.
		delete(t.marks, key)
		if mark.leaving {
			t.mark(key, false, mark.at)
		}
	}
}

// HasIncarnation tells whether the instance list or a report shows the address with this incarnation.
func (t *Table) HasIncarnation(address, incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[address]
	return e != nil && e.listing.Incarnation == incarnation
}

// Usable tells whether work may go to this incarnation: it is listed, reachable, and neither leaving nor dead.
func (t *Table) Usable(address, incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[address]
	if e == nil || e.listing.Incarnation != incarnation {
		return false
	}
	now := time.Now()
	leaving, dead := t.marked(e, now)
	return !leaving && !dead && !e.cutOff(now, t.policy)
}

// Alive tells whether a listed endpoint has reported recently and isn't marked dead.
func (t *Table) Alive(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[address]
	if e == nil || e.unreachable || !e.reported {
		return false
	}
	now := time.Now()
	_, dead := t.marked(e, now)
	return !dead && now.Sub(e.reportedAt) <= t.policy.AliveFor
}

// SetUnreachable stops work for an endpoint that this daemon can't reach, until its next report. It sets no mark,
// because a partition seen from one daemon says nothing to the others.
func (t *Table) SetUnreachable(address, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[address]; e != nil && e.listing.Incarnation == incarnation {
		e.unreachable, e.unreachableAt = true, time.Now()
	}
}

// SetAddressUnreachable is Unreachable for whatever incarnation is listed under the address.
func (t *Table) SetAddressUnreachable(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[address]; e != nil {
		e.unreachable, e.unreachableAt = true, time.Now()
	}
}

// ApplyCacheEvents feeds the prefix index. Events of other incarnations are ignored.
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

// syncOne takes one row and tells whether the groups must be built anew.
func (t *Table) syncOne(l Listing) bool {
	e := t.endpoints[l.Address]
	created := e == nil
	switch {
	case created:
		e = t.create(l)
	case e.superseded(l.Incarnation) && !t.policy.ListIsCurrent:
		return false
	case e.listing.Incarnation != l.Incarnation:
		e = t.replace(e, l.Incarnation)
	case e.listing.StartedAtMS != l.StartedAtMS:
		// The endpoint has started again under its id and knows nothing of before.
		e = t.replace(e, l.Incarnation)
		e.past = e.past[1:]
	}
	old := e.listing
	e.listing = l
	if l.Leaving {
		t.mark(markKey{l.Address, l.Incarnation}, false, time.Now())
	}
	return created || old.Kind != l.Kind || old.Name != l.Name || old.Place != l.Place
}

func (t *Table) create(l Listing) *endpoint {
	t.nextID++
	e := &endpoint{id: t.nextID, listing: l, slowUntil: time.Now().Add(l.WarmUp)}
	t.endpoints[l.Address] = e
	return e
}

// replace installs a clean endpoint for a new incarnation. Choices of the old one keep the old state.
func (t *Table) replace(old *endpoint, incarnation string) *endpoint {
	l := old.listing
	past := append([]string{old.listing.Incarnation}, old.past...)
	l.Incarnation, l.Leaving = incarnation, false
	e := t.create(l)
	e.past = past[:min(len(past), maxPast)]
	for _, m := range t.groups {
		m.replace(old, e)
	}
	return e
}
