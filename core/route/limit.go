package route

import (
	"time"

	"radishhollow/core/throttle"
)

// maxLimitWait bounds the time until the next request to a limited endpoint that a LimitedError states.
const maxLimitWait = 10 * time.Second

// LimitState states whether a response names a limit.
type LimitState int

// States of a limit. LimitUnknown is that of a response that says nothing about a limit of the endpoint.
const (
	LimitUnknown LimitState = iota
	LimitNone
	LimitNamed
)

// RecordLimit records whether a response to a request of a choice names a limit, and the limit in requests per second of all
// daemons together. It holds for the start of the endpoint that was chosen.
func (t *Table) RecordLimit(c Choice, state LimitState, rate float64) {
	if t.Limits == nil {
		return
	}
	endpoint := throttle.Endpoint{Address: c.address, Incarnation: c.incarnation, StartedAtMS: c.startedAtMS}
	switch state {
	case LimitNamed:
		t.Limits.RecordNamed(endpoint, rate)
	case LimitNone:
		t.Limits.RecordUnnamed(endpoint, c.pickedAt)
	case LimitUnknown:
	}
}

func (e *endpoint) limitKey() throttle.Endpoint {
	return throttle.Endpoint{Address: e.listing.Address, Incarnation: e.listing.Incarnation, StartedAtMS: e.listing.StartedAtMS}
}

// limitWait returns the time until this daemon may send a request to the endpoint.
func (t *Table) limitWait(e *endpoint) time.Duration {
	if t.Limits == nil {
		return 0
	}
	return t.Limits.Wait(e.limitKey())
}

// TakeLimited takes the place of a call of this daemon to the endpoint at an address. It reports false if the endpoint has
// named a limit that leaves none.
func (t *Table) TakeLimited(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[address]
	return e == nil || t.Limits == nil || !t.Limits.IsNamed(e.limitKey()) || t.Limits.Take(e.limitKey())
}

// IsLimited reports whether the endpoint at an address has named a limit that is in force. One that is only brittle takes
// calls that need no slot.
func (t *Table) IsLimited(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[address]
	if e == nil || t.Limits == nil {
		return false
	}
	return t.Limits.IsNamed(e.limitKey())
}

// HasLimits reports whether an endpoint has named a limit that is in force.
func (t *Table) HasLimits() bool { return t.Limits != nil && t.Limits.Count() > 0 }

// takeLimit takes the place of a reservation, which is returned on its release unless the request has been sent.
func (t *Table) takeLimit(e *endpoint, r *reservation) {
	if t.Limits != nil {
		r.limited = t.Limits.Take(e.limitKey())
	}
}

func (t *Table) returnLimit(e *endpoint, r *reservation) {
	if r.limited && !r.sent {
		t.Limits.Return(e.limitKey())
	}
	r.limited = false
}

// shortestLimitWait returns the time until one of the limited endpoints of a name takes another request of this daemon. Where
// other daemons send to it, that is the time until it takes one of theirs.
func (t *Table) shortestLimitWait(criteria Criteria) time.Duration {
	shortest := maxLimitWait
	for _, e := range t.endpoints {
		if e.listing.Kind != criteria.Kind || e.listing.Name != criteria.Name {
			continue
		}
		rate, limited := t.Limits.Rate(e.limitKey())
		if !limited {
			continue
		}
		wait := t.Limits.Wait(e.limitKey())
		if wait == throttle.NotSender {
			wait = time.Duration(float64(time.Second) / rate)
		}
		shortest = min(shortest, wait)
	}
	return shortest
}

// observeLimited calls ObserveLimited if a limit keeps a request from an endpoint of a name.
func (t *Table) observeLimited(criteria Criteria, rejected bool) {
	if t.ObserveLimited == nil || !t.HasLimits() {
		return
	}
	for _, e := range t.endpoints {
		if e.listing.Kind == criteria.Kind && e.listing.Name == criteria.Name && t.limitWait(e) > 0 {
			t.ObserveLimited(rejected)
			return
		}
	}
}

// dropOldLimits forgets the limits of starts of endpoints that are no longer listed.
func (t *Table) dropOldLimits() {
	if t.Limits == nil || t.Limits.Count() == 0 {
		return
	}
	t.Limits.Keep(func(endpoint throttle.Endpoint) bool {
		e := t.endpoints[endpoint.Address]
		return e != nil && e.limitKey() == endpoint
	})
}
