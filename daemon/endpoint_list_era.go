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

// merge applies a registration from a list of the given era, and reports whether its endpoint is present. Such a list
// may contain what the endpoint had written before the copy was made from which the store came back, and what this
// daemon knows to be out of date. A change that a watch returns was written in the new era.
func (l *endpointList) merge(key string, registration route.Listing, era uint64) bool {
	known, found := l.registrations[key]
	if found && known.Revision.Era() < era && startedBefore(registration, known) {
		// Without a departure, the earlier start would be taken once the later one has been dropped.
		l.departed.record(key, registration, known.Revision.Era())
		l.withhold(key, registration)
		return false
	}
	if l.isDeparted(key, registration, era) {
		l.withhold(key, registration)
		return false
	}
	// A peer passes on what it keeps from an earlier era without a revision.
	earlier := known.Revision.Era() < era || known.Revision.IsZero()
	older := found && earlier && known.StartedAtMS == registration.StartedAtMS &&
		(registration.Sequence < known.Sequence || registration.Sequence == known.Sequence && known.Leaving)
	if older && !registration.Leaving {
		if known.Leaving {
			l.holdBack(registration.Incarnation)
		}
		delete(l.missing, key)
		return true
	}
	l.set(key, registration)
	return true
}

// startedBefore reports whether a registration is that of an earlier start of the endpoint than another one. Both times
// were taken from the clock of the endpoint's machine; 0 is not known.
func startedBefore(registration, other route.Listing) bool {
	return registration.StartedAtMS != 0 && registration.StartedAtMS < other.StartedAtMS
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
