package route

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Pick chooses the endpoint of one attempt and reserves the attempt's load on it until Choice.Release. It does not
// wait: it returns a NoEndpointError if no endpoint is eligible, a RestingError if those that could serve rest or a
// LimitedError if their limits leave no place, and the error of ctx if ctx has ended.
func (t *Table) Pick(ctx context.Context, criteria Criteria) (Choice, error) {
	if err := ctx.Err(); err != nil {
		return Choice{}, errors.Trace(err)
	}
	if t.Rollouts != nil {
		return t.pickByRollout(criteria)
	}
	return t.pick(criteria)
}

// pick chooses the endpoint of one attempt among those that the rule of the criteria allows.
func (t *Table) pick(criteria Criteria) (Choice, error) {
	var blocks []uint64
	if t.policy.PrefixAware {
		blocks = BlockHashes(criteria.Prompt)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	criteria.mayTry = !criteria.Resume && criteria.PreferredAddress == ""
	pool, reason := t.eligiblePool(criteria, now)
	if len(pool) == 0 {
		return Choice{}, errors.Trace(t.explainEmptyPool(criteria, reason, now))
	}
	t.observeLimited(criteria, false)
	cachedBlocks := t.prefix.match(blocks, now)
	e := t.selectEndpoint(pool, criteria, cachedBlocks)
	// Add the first block of the chain last: the LRU index then evicts a chain from its end.
	for _, block := range slices.Backward(blocks) {
		t.prefix.add(block, e.id, now)
	}
	r := &reservation{prefill: uncachedTokens(criteria, cachedBlocks[e.id]), resume: criteria.Resume, rule: criteria.rule, at: now}
	if e.breaker.open {
		r.trial, e.breaker.trialActive = true, true
	}
	load, prefill := e.observedLoad(t.policy)
	e.reserve(r, now)
	t.takeLimit(e, r)
	t.busy[e] = true
	choice := t.choiceFor(e, r)
	choice.service, choice.route = criteria.Name, criteria.Route
	choice.load, choice.prefillTokens, choice.eligibleCount = load, prefill, len(pool)
	return choice, nil
}

// explainEmptyPool returns the error of a pick that no endpoint is eligible for.
func (t *Table) explainEmptyPool(criteria Criteria, reason Reason, now time.Time) error {
	switch reason {
	case ReasonResting:
		return RestingError{criteria.Kind, criteria.Name, t.shortestRest(criteria, now)}
	case ReasonLimited:
		if !criteria.mayFallBack {
			t.observeLimited(criteria, true)
		}
		return LimitedError{criteria.Kind, criteria.Name, t.shortestLimitWait(criteria)}
	default:
		return NoEndpointError{criteria.Kind, criteria.Name, criteria.Spec, reason}
	}
}

// choiceFor returns a Choice of the endpoint whose Release frees the reservation.
func (t *Table) choiceFor(e *endpoint, r *reservation) Choice {
	choice := e.choice(func() { t.release(e, r) })
	choice.prefillDone = func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		e.finishPrefill(r)
	}
	choice.sent = func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		r.sent = true
	}
	choice.rejected = func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		r.rejected = true
	}
	return choice
}

// eligiblePool returns the preferred eligible endpoints of the subset, or of the whole list if none of the subset is
// eligible. If there is none, it returns those that are only silent, unless the criteria exclude them, because they may be
// sound and go on. If there is none of these either, the Reason says why.
func (t *Table) eligiblePool(criteria Criteria, now time.Time) ([]*endpoint, Reason) {
	mostPassed, pool := 0, []*endpoint(nil)
	silentToo := false
	collect := func(list []*endpoint) {
		for _, e := range list {
			passed := t.passedFilters(e, criteria, now, silentToo)
			mostPassed = max(mostPassed, passed)
			if passed == allFilters {
				pool = append(pool, e)
			}
		}
	}
	g := t.groups[groupKey{criteria.Kind, criteria.Name}]
	if g != nil {
		if collect(g.subset); len(pool) == 0 {
			collect(g.all)
		}
	}
	if len(pool) == 0 {
		// An order may have made an engine load a model other than its listed one.
		for key, g := range t.groups {
			if key.kind == criteria.Kind && key.name != criteria.Name {
				collect(g.all)
			}
		}
	}
	if len(pool) == 0 && g != nil && !criteria.ExcludeSilent {
		silentToo = true
		collect(g.all)
	}
	pool = t.preferSound(pool, criteria)
	pool = t.preferSpec(preferRoles(preferReported(pool), criteria), criteria)
	if criteria.KVCopyHolder {
		pool = t.preferCopyTarget(pool, criteria)
	}
	return preferAddressesAndPlaces(pool, criteria), filterReasons[mostPassed]
}

// filterReasons maps the highest number of filters that an endpoint passed to the Reason.
var filterReasons = []Reason{
	ReasonUnlisted, ReasonExcluded, ReasonVersion, ReasonMarked, ReasonResting, ReasonLimited, ReasonNotReady, ReasonSpecNotLoaded,
	ReasonCircuitOpen, ReasonHeadroom, ReasonNone,
}

// allFilters is the result of passedFilters for an eligible endpoint.
const allFilters = 10

// passedFilters returns the number of filters that the endpoint passes; allFilters means that it is eligible.
func (t *Table) passedFilters(e *endpoint, criteria Criteria, now time.Time, silentToo bool) int {
	if e.listing.Kind != criteria.Kind || (e.listing.Name != criteria.Name && !e.serves(criteria)) {
		return 0
	}
	leaving, dead := t.markStatus(e, now)
	switch {
	case criteria.Exclude[e.listing.Address]:
		return 1
	case !criteria.allowsVersionOf(e):
		return 2
	case leaving || dead:
		return 3
	case t.restLeft(e, now) > 0:
		return 4
	case t.limitWait(e) > 0:
		return 5
	case e.isUnavailable(now, t.policy, silentToo):
		return 6
	case !e.serves(criteria):
		return 7
	case e.isBlocked(now, silentToo):
		return 8
	case t.atCapacity(e, criteria):
		return 9
	default:
		return allFilters
	}
}

// atCapacity reports whether the endpoint has no slot left for the request: this daemon has reached MaxInFlight, or
// only resumed generations may use the remaining slots.
func (t *Table) atCapacity(e *endpoint, criteria Criteria) bool {
	if criteria.MaxInFlight > 0 && e.inFlight >= criteria.MaxInFlight {
		return true
	}
	if criteria.Resume || criteria.Kind != KindModel || t.policy.Headroom <= 0 || e.slotCount() == 0 {
		return false
	}
	return float64(e.load()) >= e.newWorkSlots(t.policy.Headroom)
}

// preferAddressesAndPlaces narrows the pool to PreferredAddress, to QueriedAddresses and to places other than
// AvoidPlace. It skips each step that would leave no endpoint.
func preferAddressesAndPlaces(pool []*endpoint, criteria Criteria) []*endpoint {
	if criteria.PreferredAddress != "" {
		pool = filterOrAll(pool, func(e *endpoint) bool { return e.listing.Address == criteria.PreferredAddress })
	}
	if len(criteria.QueriedAddresses) > 0 {
		pool = filterOrAll(pool, func(e *endpoint) bool {
			return slices.Contains(criteria.QueriedAddresses, e.listing.Address)
		})
	}
	if criteria.AvoidPlace == "" {
		return pool
	}
	return filterOrAll(pool, func(e *endpoint) bool { return e.listing.Place != criteria.AvoidPlace })
}

// preferReported drops endpoints without a report if others have one.
func preferReported(pool []*endpoint) []*endpoint {
	return filterOrAll(pool, func(e *endpoint) bool { return e.reported })
}

// preferSpec drops endpoints without PreferredSpec or a free slot if others have both.
func (t *Table) preferSpec(pool []*endpoint, criteria Criteria) []*endpoint {
	if criteria.Spec != "" || criteria.PreferredSpec == "" {
		return pool
	}
	return filterOrAll(pool, func(e *endpoint) bool {
		free := float64(e.load()) < e.newWorkSlots(t.policy.Headroom)
		return free && slices.Contains(e.report.Specs, criteria.PreferredSpec)
	})
}

// preferRoles drops decode-only engines for new prompts if there are others.
func preferRoles(pool []*endpoint, criteria Criteria) []*endpoint {
	if criteria.Resume || criteria.Kind != KindModel {
		return pool
	}
	return filterOrAll(pool, func(e *endpoint) bool { return e.report.Role != "decode" })
}

// filterOrAll returns the endpoints that keep accepts, or the whole pool if it accepts none.
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
