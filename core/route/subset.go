package route

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// group is the set of endpoints listed under one kind and name.
type group struct {
	kind Kind
	name string
}

// members are a group's endpoints, ordered by their rendezvous hash with the daemon's id.
type members struct {
	all    []*endpoint
	subset []*endpoint
}

func (m *members) replace(old, fresh *endpoint) {
	fresh.inSubset = fresh.inSubset || slices.Contains(m.subset, old)
	for _, list := range [][]*endpoint{m.all, m.subset} {
		if i := slices.Index(list, old); i >= 0 {
			list[i] = fresh
		}
	}
}

// PollTarget is an endpoint whose reports this daemon needs.
type PollTarget struct {
	address     string
	incarnation string
	kind        Kind
	busy        bool
}

// Address returns the endpoint's IP address and port.
func (t PollTarget) Address() string { return t.address }

// Incarnation returns the endpoint's incarnation.
func (t PollTarget) Incarnation() string { return t.incarnation }

// Kind returns the endpoint's kind.
func (t PollTarget) Kind() Kind { return t.kind }

// Busy tells whether this daemon has work there.
func (t PollTarget) Busy() bool { return t.busy }

// PollTargets returns the subset's endpoints and those with work of this daemon.
func (t *Table) PollTargets() []PollTarget {
	t.mu.Lock()
	defer t.mu.Unlock()
	var targets []PollTarget
	for _, m := range t.groups {
		for _, e := range m.subset {
			targets = append(targets, e.target())
		}
	}
	for e := range t.busy {
		if !e.inSubset && t.endpoints[e.listing.Address] == e {
			targets = append(targets, e.target())
		}
	}
	return targets
}

func (e *endpoint) target() PollTarget {
	return PollTarget{
		address:     e.listing.Address,
		incarnation: e.listing.Incarnation,
		kind:        e.listing.Kind,
		busy:        e.inFlight > 0,
	}
}

func (t *Table) regroup() {
	t.groups = make(map[group]*members)
	for _, e := range t.endpoints {
		key := group{e.listing.Kind, e.listing.Name}
		if t.groups[key] == nil {
			t.groups[key] = &members{}
		}
		t.groups[key].all = append(t.groups[key].all, e)
		e.inSubset = false
	}
	for _, m := range t.groups {
		t.rank(m.all)
		m.subset = coverPlaces(m.all, t.policy.SubsetSize)
		for _, e := range m.subset {
			e.inSubset = true
		}
	}
}

func (t *Table) rank(list []*endpoint) {
	weight := make(map[*endpoint]uint64, len(list))
	for _, e := range list {
		weight[e] = xxhash.Sum64String(t.daemon + "\x00" + e.listing.Address)
	}
	slices.SortFunc(list, func(a, b *endpoint) int {
		switch {
		case weight[a] > weight[b]:
			return -1
		case weight[a] < weight[b]:
			return 1
		default:
			return strings.Compare(a.listing.Address, b.listing.Address)
		}
	})
}

// coverPlaces takes size endpoints in turn from each place, and at least one from each.
func coverPlaces(ranked []*endpoint, size int) []*endpoint {
	rounds := make(map[string]int)
	type turn struct {
		e     *endpoint
		round int
	}
	turns := make([]turn, 0, len(ranked))
	for _, e := range ranked {
		turns = append(turns, turn{e, rounds[e.listing.Place]})
		rounds[e.listing.Place]++
	}
	slices.SortStableFunc(turns, func(a, b turn) int { return a.round - b.round })
	if size <= 0 {
		size = len(turns)
	}
	subset := make([]*endpoint, 0, size)
	for _, t := range turns[:min(len(turns), max(size, len(rounds)))] {
		subset = append(subset, t.e)
	}
	return subset
}
