package route

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// groupKey identifies the endpoints listed under one kind and name.
type groupKey struct {
	kind Kind
	name string
}

// endpointGroup holds the endpoints of one kind and name, ordered by their rendezvous hash with the daemon's id.
// The subset is the part that this daemon polls and prefers.
type endpointGroup struct {
	all    []*endpoint
	subset []*endpoint
}

func (g *endpointGroup) replaceEndpoint(old, replacement *endpoint) {
	replacement.inSubset = replacement.inSubset || slices.Contains(g.subset, old)
	for _, list := range [][]*endpoint{g.all, g.subset} {
		if i := slices.Index(list, old); i >= 0 {
			list[i] = replacement
		}
	}
}

// PollTarget is an endpoint whose load reports this daemon polls.
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

// Busy reports whether this daemon has work on the endpoint.
func (t PollTarget) Busy() bool { return t.busy }

// PollTargets returns the endpoints of the subsets and those with work of this daemon.
func (t *Table) PollTargets() []PollTarget {
	t.mu.Lock()
	defer t.mu.Unlock()
	var targets []PollTarget
	for _, g := range t.groups {
		for _, e := range g.subset {
			targets = append(targets, e.pollTarget())
		}
	}
	for e := range t.busy {
		if !e.inSubset && t.endpoints[e.listing.Address] == e {
			targets = append(targets, e.pollTarget())
		}
	}
	return targets
}

func (e *endpoint) pollTarget() PollTarget {
	return PollTarget{
		address:     e.listing.Address,
		incarnation: e.listing.Incarnation,
		kind:        e.listing.Kind,
		busy:        e.inFlight > 0,
	}
}

func (t *Table) rebuildGroups() {
	t.groups = make(map[groupKey]*endpointGroup)
	for _, e := range t.endpoints {
		key := groupKey{e.listing.Kind, e.listing.Name}
		if t.groups[key] == nil {
			t.groups[key] = &endpointGroup{}
		}
		t.groups[key].all = append(t.groups[key].all, e)
		e.inSubset = false
	}
	for _, g := range t.groups {
		t.sortByRendezvous(g.all)
		g.subset = spreadOverPlaces(g.all, t.policy.SubsetSize)
		for _, e := range g.subset {
			e.inSubset = true
		}
	}
}

func (t *Table) sortByRendezvous(list []*endpoint) {
	weight := make(map[*endpoint]uint64, len(list))
	for _, e := range list {
		weight[e] = xxhash.Sum64String(t.daemonID + "\x00" + e.listing.Address)
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

// spreadOverPlaces takes endpoints from each place in turn, size in total but at least one from each place. It takes
// all if size is 0.
func spreadOverPlaces(ranked []*endpoint, size int) []*endpoint {
	rounds := make(map[string]int)
	type rankedEndpoint struct {
		e     *endpoint
		round int
	}
	byRound := make([]rankedEndpoint, 0, len(ranked))
	for _, e := range ranked {
		byRound = append(byRound, rankedEndpoint{e, rounds[e.listing.Place]})
		rounds[e.listing.Place]++
	}
	slices.SortStableFunc(byRound, func(a, b rankedEndpoint) int { return a.round - b.round })
	if size <= 0 {
		size = len(byRound)
	}
	subset := make([]*endpoint, 0, size)
	for _, t := range byRound[:min(len(byRound), max(size, len(rounds)))] {
		subset = append(subset, t.e)
	}
	return subset
}
