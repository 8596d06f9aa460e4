package route

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/rollout"
)

// pickByRollout picks by the rules of a roll-out. Rules are taken and returned without mu, which an evaluation of the
// roll-outs needs for the list of endpoints.
func (t *Table) pickByRollout(criteria Criteria) (Choice, error) {
	switch {
	case criteria.KVCopyHolder:
		return t.pickByRule(criteria, t.Rollouts.HolderRule(criteria.Name))
	case criteria.PreferredAddress != "":
		holder := criteria
		holder.preferredOnly, holder.mayFallBack, holder.ExcludeSilent = true, true, true
		holder.rule = t.Rollouts.HolderRule(criteria.Name)
		if choice, err := t.pick(holder); err == nil {
			return choice, nil
		}
	}
	return t.pickByRule(criteria, t.Rollouts.Rule(criteria.Name))
}

// pickByRule picks by a rule, and by its fallback if no endpoint that the rule allows is eligible.
func (t *Table) pickByRule(criteria Criteria, rule rollout.Rule) (Choice, error) {
	first := criteria
	fallback, exists := rule.Fallback()
	first.rule, first.mayFallBack = rule, exists
	// An endpoint of another version is a better choice than a silent one, except where all requests are to go to the target.
	allToTarget := rule.ToTarget() && fallback.Allows(rule.Target(), "")
	first.ExcludeSilent = criteria.ExcludeSilent || exists && !allToTarget
	choice, err := t.pick(first)
	if err == nil {
		return choice, nil
	}
	t.Rollouts.Return(rule)
	if !exists {
		return Choice{}, err
	}
	criteria.rule = fallback
	choice, err = t.pick(criteria)
	return choice, errors.Trace(err)
}

// allowsVersionOf reports whether the rule of the criteria allows an endpoint.
func (c Criteria) allowsVersionOf(e *endpoint) bool {
	if c.preferredOnly && e.listing.Address != c.PreferredAddress {
		return false
	}
	if c.HasVersion && e.listing.Version != c.Version {
		return false
	}
	return c.rule.Allows(e.listing.Version, e.listing.Incarnation)
}

// preferCopyTarget drops endpoints of other versions than the one that copies of KV caches should go to, if others have it.
func (t *Table) preferCopyTarget(pool []*endpoint, criteria Criteria) []*endpoint {
	if t.Rollouts == nil {
		return pool
	}
	version, exists := t.Rollouts.CopyTarget(criteria.Name)
	if !exists {
		return pool
	}
	return filterOrAll(pool, func(e *endpoint) bool { return e.listing.Version == version })
}

// release frees a reservation, and returns what a request that was not sent has used up.
func (t *Table) release(e *endpoint, r *reservation) {
	t.mu.Lock()
	now := time.Now()
	if !r.released {
		t.recordDuration(e, r, now)
	}
	e.release(r, now)
	t.returnLimit(e, r)
	if e.inFlight == 0 {
		delete(t.busy, e)
	}
	rule, unsent := r.rule, !r.sent
	r.rule = rollout.Rule{}
	t.mu.Unlock()
	if t.Rollouts != nil && unsent {
		t.Rollouts.Return(rule)
	}
}

// VersionCounts returns the number of listed endpoints of a name by version.
func (t *Table) VersionCounts(name string) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[string]int{}
	for key, g := range t.groups {
		if key.name != name {
			continue
		}
		for _, e := range g.all {
			counts[e.listing.Version]++
		}
	}
	return counts
}

// ListsVersion reports whether an endpoint of a name that does not leave has a version.
func (t *Table) ListsVersion(name, version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	serves := func(e *endpoint) bool {
		leaving, _ := t.markStatus(e, now)
		return !leaving && e.listing.Version == version
	}
	for key, g := range t.groups {
		if key.name == name && slices.ContainsFunc(g.all, serves) {
			return true
		}
	}
	return false
}

// VersionIsListed reports whether the version of a choice is still the listed one. An endpoint may have started again under the
// same incarnation with another version. One that is not listed any more has not.
func (t *Table) VersionIsListed(choice Choice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[choice.address]
	return e == nil || e.listing.Incarnation != choice.incarnation || e.listing.Version == choice.version
}

// VersionedEndpoints returns the listed endpoints of a name, for the decisions about roll-outs.
func (t *Table) VersionedEndpoints(name string) []rollout.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []rollout.Endpoint
	now := time.Now()
	for key, g := range t.groups {
		if key.name != name {
			continue
		}
		for _, e := range g.all {
			leaving, dead := t.markStatus(e, now)
			list = append(list, rollout.Endpoint{
				Incarnation: e.listing.Incarnation, Version: e.listing.Version, Registered: e.listing.Revision,
				Ready: !leaving && !dead && t.restLeft(e, now) == 0 && !e.isUnavailable(now, t.policy, true),
			})
		}
	}
	return list
}

// InFlightOutside returns the number of unreleased choices of a name on endpoints of other versions, also on those that are no
// longer listed.
func (t *Table) InFlightOutside(name, version string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	for e := range t.busy {
		if e.listing.Name == name && e.listing.Version != version {
			total += e.inFlight
		}
	}
	return total
}
