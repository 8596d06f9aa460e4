package route

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Pick chooses the endpoint of one attempt and reserves its load until Choice.Release.
func (t *Table) Pick(ctx context.Context, need Criteria) (Choice, error) {
	if err := ctx.Err(); err != nil {
		return Choice{}, errors.Trace(err)
	}
	var blocks []uint64
	if t.policy.PrefixAware {
		blocks = Blocks(need.Prompt)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	pool, reason := t.pool(need, now)
	if len(pool) == 0 {
		return Choice{}, errors.Trace(NoEndpointError{need.Kind, need.Name, need.Spec, reason})
	}
	depth := t.prefix.match(blocks, now)
	e := t.choose(pool, need, depth)
	// The chain's start is added last, so that the index evicts a chain from its end.
	for _, block := range slices.Backward(blocks) {
		t.prefix.add(block, e.id, now)
	}
	b := &booking{prefill: missing(need, depth[e.id]), resume: need.Resume}
	if e.breaker.open {
		b.probe, e.breaker.probing = true, true
	}
	load, prefill := e.observed(t.policy)
	e.reserve(b, now)
	t.busy[e] = true
	choice := t.chosen(e, b)
	choice.load, choice.prefill, choice.candidates = load, prefill, len(pool)
	return choice, nil
}

// chosen returns the Choice of an endpoint with the work that it reserves.
func (t *Table) chosen(e *endpoint, b *booking) Choice {
	choice := NewChoice(e.listing.Address, e.listing.Incarnation, e.listing.Place, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		e.release(b, time.Now())
		if e.inFlight == 0 {
			delete(t.busy, e)
		}
	})
	choice.begun = func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		e.begun(b)
	}
	return choice
}

// pool returns the eligible endpoints of the subset, or of the whole list where the subset has none.
func (t *Table) pool(need Criteria, now time.Time) ([]*endpoint, Reason) {
	best, pool := 0, []*endpoint(nil)
	collect := func(list []*endpoint) {
		for _, e := range list {
			stage := t.stage(e, need, now)
			best = max(best, stage)
			if stage == eligible {
				pool = append(pool, e)
			}
		}
	}
	if m := t.groups[group{need.Kind, need.Name}]; m != nil {
		if collect(m.subset); len(pool) == 0 {
			collect(m.all)
		}
	}
	if len(pool) == 0 {
		// An engine may have been ordered to load a model other than its listed one.
		for key, m := range t.groups {
			if key.kind == need.Kind && key.name != need.Name {
				collect(m.all)
			}
		}
	}
	pool = t.preferWanted(preferRoles(preferReported(pool), need), need)
	return preferPlaces(pool, need), stageReasons[best]
}

// stageReasons are the reasons by the number of filters that the best endpoint passed.
var stageReasons = []Reason{
	ReasonUnlisted, ReasonExcluded, ReasonMarked, ReasonNotReady, ReasonSpec, ReasonCircuit, ReasonHeadroom, ReasonNone,
}

const eligible = 7

// stage returns the number of filters that the endpoint passes; eligible if it passes all.
func (t *Table) stage(e *endpoint, need Criteria, now time.Time) int {
	if e.listing.Kind != need.Kind || (e.listing.Name != need.Name && !e.serves(need)) {
		return 0
	}
	leaving, dead := t.marked(e, now)
	switch {
	case need.Exclude[e.listing.Address]:
		return 1
	case leaving || dead:
		return 2
	case e.cutOff(now, t.policy) || (e.reported && e.report.State != StateReady):
		return 3
	case !e.serves(need):
		return 4
	case !e.breaker.allows(now):
		return 5
	case t.reserved(e, need):
		return 6
	default:
		return eligible
	}
}

// reserved tells whether only resumed generations may use the endpoint's remaining slots.
func (t *Table) reserved(e *endpoint, need Criteria) bool {
	if need.MaxInFlight > 0 && e.inFlight >= need.MaxInFlight {
		return true
	}
	if need.Resume || need.Kind != KindModel || t.policy.Headroom <= 0 || e.slotCount() == 0 {
		return false
	}
	return float64(e.load()) >= e.newWorkSlots(t.policy.Headroom)
}

// preferPlaces leaves out endpoints other than the preferred one where that may be used, and those of the place to avoid
// where others exist.
func preferPlaces(pool []*endpoint, need Criteria) []*endpoint {
	if need.PreferredAddress != "" {
		pool = prefer(pool, func(e *endpoint) bool { return e.listing.Address == need.PreferredAddress })
	}
	if len(need.CandidateAddresses) > 0 {
		pool = prefer(pool, func(e *endpoint) bool { return slices.Contains(need.CandidateAddresses, e.listing.Address) })
	}
	if need.AvoidPlace == "" {
		return pool
	}
	return prefer(pool, func(e *endpoint) bool { return e.listing.Place != need.AvoidPlace })
}

// preferReported leaves out endpoints without a report where others have one.
func preferReported(pool []*endpoint) []*endpoint {
	return prefer(pool, func(e *endpoint) bool { return e.reported })
}

// preferWanted leaves out endpoints without the wanted spec where others have it and a free slot.
func (t *Table) preferWanted(pool []*endpoint, need Criteria) []*endpoint {
	if need.Spec != "" || need.PreferredSpec == "" {
		return pool
	}
	return prefer(pool, func(e *endpoint) bool {
		free := float64(e.load()) < e.newWorkSlots(t.policy.Headroom)
		return free && slices.Contains(e.report.Specs, need.PreferredSpec)
	})
}

// preferRoles leaves out decode-only engines for new prompts where others exist.
func preferRoles(pool []*endpoint, need Criteria) []*endpoint {
	if need.Resume || need.Kind != KindModel {
		return pool
	}
	return prefer(pool, func(e *endpoint) bool { return e.report.Role != "decode" })
}

func prefer(pool []*endpoint, keep func(*endpoint) bool) []*endpoint {
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
