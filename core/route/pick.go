package route

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Pick chooses the endpoint of one attempt and reserves its load until Choice.Release.
func (t *Table) Pick(ctx context.Context, criteria Criteria) (Choice, error) {
	if err := ctx.Err(); err != nil {
		return Choice{}, errors.Trace(err)
	}
	var blocks []uint64
	if t.policy.PrefixAware {
		blocks = BlockHashes(criteria.Prompt)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	pool, reason := t.eligiblePool(criteria, now)
	if len(pool) == 0 {
		return Choice{}, errors.Trace(NoEndpointError{criteria.Kind, criteria.Name, criteria.Spec, reason})
	}
	depth := t.prefix.match(blocks, now)
	e := t.selectEndpoint(pool, criteria, depth)
	// The chain's start is added last, so that the index evicts a chain from its end.
	for _, block := range slices.Backward(blocks) {
		t.prefix.add(block, e.id, now)
	}
	r := &reservation{prefill: uncachedTokens(criteria, depth[e.id]), resume: criteria.Resume}
	if e.breaker.open {
		r.trial, e.breaker.trialActive = true, true
	}
	load, prefill := e.observedLoad(t.policy)
	e.reserve(r, now)
	t.busy[e] = true
	choice := t.choiceFor(e, r)
	choice.load, choice.prefillTokens, choice.candidates = load, prefill, len(pool)
	return choice, nil
}

// choiceFor returns the Choice of an endpoint with the work that it reserves.
func (t *Table) choiceFor(e *endpoint, r *reservation) Choice {
	choice := NewChoice(e.listing.Address, e.listing.Incarnation, e.listing.Place, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		e.release(r, time.Now())
		if e.inFlight == 0 {
			delete(t.busy, e)
		}
	})
	choice.prefillDone = func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		e.finishPrefill(r)
	}
	return choice
}

// eligiblePool returns the eligible endpoints of the subset, or of the whole list where the subset has none.
func (t *Table) eligiblePool(criteria Criteria, now time.Time) ([]*endpoint, Reason) {
	best, pool := 0, []*endpoint(nil)
	collect := func(list []*endpoint) {
		for _, e := range list {
			passed := t.passedFilters(e, criteria, now)
			best = max(best, passed)
			if passed == allFilters {
				pool = append(pool, e)
			}
		}
	}
	if m := t.groups[groupKey{criteria.Kind, criteria.Name}]; m != nil {
		if collect(m.subset); len(pool) == 0 {
			collect(m.all)
		}
	}
	if len(pool) == 0 {
		// An engine may have been ordered to load a model other than its listed one.
		for key, m := range t.groups {
			if key.kind == criteria.Kind && key.name != criteria.Name {
				collect(m.all)
			}
		}
	}
	pool = t.preferSpec(preferRoles(preferReported(pool), criteria), criteria)
	return preferAddressesAndPlaces(pool, criteria), filterReasons[best]
}

// filterReasons are the reasons by the number of filters that the best endpoint passed.
var filterReasons = []Reason{
	ReasonUnlisted, ReasonExcluded, ReasonMarked, ReasonNotReady, ReasonSpecNotLoaded, ReasonCircuitOpen, ReasonHeadroom, ReasonNone,
}

const allFilters = 7

// passedFilters returns the number of filters that the endpoint passes; eligible if it passes all.
func (t *Table) passedFilters(e *endpoint, criteria Criteria, now time.Time) int {
	if e.listing.Kind != criteria.Kind || (e.listing.Name != criteria.Name && !e.serves(criteria)) {
		return 0
	}
	leaving, dead := t.markStatus(e, now)
	switch {
	case criteria.Exclude[e.listing.Address]:
		return 1
	case leaving || dead:
		return 2
	case e.recentlyUnreachable(now, t.policy) || (e.reported && e.report.State != StateReady):
		return 3
	case !e.serves(criteria):
		return 4
	case !e.breaker.allows(now):
		return 5
	case t.atCapacity(e, criteria):
		return 6
	default:
		return allFilters
	}
}

// atCapacity tells whether only resumed generations may use the endpoint's remaining slots.
func (t *Table) atCapacity(e *endpoint, criteria Criteria) bool {
	if criteria.MaxInFlight > 0 && e.inFlight >= criteria.MaxInFlight {
		return true
	}
	if criteria.Resume || criteria.Kind != KindModel || t.policy.Headroom <= 0 || e.slotCount() == 0 {
		return false
	}
	return float64(e.load()) >= e.newWorkSlots(t.policy.Headroom)
}

// preferAddressesAndPlaces leaves out endpoints other than the preferred one where that may be used, and those of the place to avoid
// where others exist.
func preferAddressesAndPlaces(pool []*endpoint, criteria Criteria) []*endpoint {
	if criteria.PreferredAddress != "" {
		pool = filterOrAll(pool, func(e *endpoint) bool { return e.listing.Address == criteria.PreferredAddress })
	}
	if len(criteria.CandidateAddresses) > 0 {
		pool = filterOrAll(pool, func(e *endpoint) bool { return slices.Contains(criteria.CandidateAddresses, e.listing.Address) })
	}
	if criteria.AvoidPlace == "" {
		return pool
	}
	return filterOrAll(pool, func(e *endpoint) bool { return e.listing.Place != criteria.AvoidPlace })
}

// preferReported leaves out endpoints without a report where others have one.
func preferReported(pool []*endpoint) []*endpoint {
	return filterOrAll(pool, func(e *endpoint) bool { return e.reported })
}

// preferSpec leaves out endpoints without the wanted spec where others have it and a free slot.
func (t *Table) preferSpec(pool []*endpoint, criteria Criteria) []*endpoint {
	if criteria.Spec != "" || criteria.PreferredSpec == "" {
		return pool
	}
	return filterOrAll(pool, func(e *endpoint) bool {
		free := float64(e.load()) < e.newWorkSlots(t.policy.Headroom)
		return free && slices.Contains(e.report.Specs, criteria.PreferredSpec)
	})
}

// preferRoles leaves out decode-only engines for new prompts where others exist.
func preferRoles(pool []*endpoint, criteria Criteria) []*endpoint {
	if criteria.Resume || criteria.Kind != KindModel {
		return pool
	}
	return filterOrAll(pool, func(e *endpoint) bool { return e.report.Role != "decode" })
}

func filterOrAll(pool []*endpoint, keep func(*endpoint) bool) []*endpoint {
	var kept []*endpoint
	for _, e := range pool {
		if keep(e) {
			kept = append(kept, e)
		}
	}
	if len(kept) == 0 {
		return pool
	}
	return kept
}
