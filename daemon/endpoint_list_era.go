package daemon

import (
	"time"

	"radishhollow/core/kv"
	"radishhollow/core/route"
)

// eraSettleTime is the time after which a new era has settled: the store removes the entries of silent endpoints after
// three heartbeats of about 1.2 s, and the rest is a margin for slower heartbeats and for the removal to reach this daemon.
// An entry that is still there belongs to an endpoint that is alive, although its heartbeats change nothing in it.
const eraSettleTime = 8 * time.Second

// beginEra reports whether a list belongs to a later era than the current one, and records that.
func (l *endpointList) beginEra(revision kv.Revision, now time.Time) bool {
	if revision.Era() <= l.revision.Era() {
		return false
	}
	l.eraSettlesAt, l.withheld, l.departed.firstList = now.Add(eraSettleTime), nil, revision
	if l.revision.Era() == 0 {
		return false
	}
	l.eraBeganAt, l.report, l.heldBack = now, &eraReport{before: l.revision}, nil
	return true
}

// recordUnsettled is called with the time of a failed call. While the store does not answer, it does not remove silent
// endpoints either, so the time until the era has settled starts anew.
func (l *endpointList) recordUnsettled(at time.Time) {
	if at.Before(l.eraSettlesAt) {
		l.eraSettlesAt = at.Add(eraSettleTime)
	}
}

// isDeparted reports whether the endpoint of a registration from a list of the given era left before that era.
func (l *endpointList) isDeparted(key string, registration route.Listing, era uint64) bool {
	return time.Now().Before(l.eraSettlesAt) && l.departed.covers(key, registration, era)
}

// withhold keeps a registration unused until the era has settled.
func (l *endpointList) withhold(key string, registration route.Listing) {
	if l.withheld == nil {
		l.withheld = map[string]route.Listing{}
	}
	l.withheld[key] = registration
	l.holdBack(registration.Incarnation)
}

// release uses the registrations that are no longer to be withheld, and reports whether there are any. While the store
// does not answer, this daemon can't know whether the store has removed them.
func (l *endpointList) release() bool {
	if l.lastFailure.After(l.lastResponse) {
		return false
	}
	released := false
	era := l.revision.Era()
	for key, registration := range l.withheld {
		if !l.isDeparted(key, registration, era) {
			delete(l.withheld, key)
			l.merge(key, registration, era)
			released = true
		}
	}
	return released
}
