package daemon

import (
	"time"

	"radishhollow/core/kv"
	"radishhollow/core/route"
)

const (
	// departureTTL is the time for which a departure is remembered. It covers a copy of the store that is 30 s old, the
	// outage before its return, and the three heartbeats after which the store removes the entry of an endpoint that is
	// silent. An endpoint that is alive, but whose heartbeats change nothing in its restored entry, is ignored until the
	// era has settled, and for no longer than this even if calls to the store keep failing.
	departureTTL = time.Minute
	// maxDepartures bounds the memory for departures. It is above the planned number of endpoints.
	maxDepartures = 16384
)

// startKey identifies one start of an endpoint by the key of its registration and by Listing.StartedAtMS.
type startKey struct {
	key         string
	startedAtMS int64
}

// departure is the last registration of an endpoint that left. Its sequence is 0 if it is not known, because the
// registration came from a peer.
type departure struct {
	sequence uint64
	era      uint64
	at       time.Time
}

// departures remembers the endpoints that left or were started anew. A store that comes back from an older copy lists
// them once more as they were before. The zero value is ready to use.
type departures struct {
	byStart map[startKey]departure
	// order holds the starts in the order in which they were recorded.
	order []startKey
	// firstList is the revision of the first list of the current era.
	firstList kv.Revision
}

// record remembers that an endpoint left. era is that of the list that shows it.
func (d *departures) record(key string, registration route.Listing, era uint64) {
	if d.byStart == nil {
		d.byStart = map[startKey]departure{}
	}
	start := startKey{key, registration.StartedAtMS}
	d.byStart[start] = departure{sequence: registration.Sequence, era: era, at: time.Now()}
	d.order = append(d.order, start)
	for len(d.order) > maxDepartures || time.Since(d.byStart[d.order[0]].at) >= departureTTL {
		// A start that was recorded again later is forgotten early, which only happens above the limit.
		delete(d.byStart, d.order[0])
		d.order = d.order[1:]
	}
}

// forget is called when the endpoint has registered again.
func (d *departures) forget(key string, registration route.Listing) {
	delete(d.byStart, startKey{key, registration.StartedAtMS})
}

// covers reports whether a registration in a list of the given era is not newer than a departure of an earlier era. If a
// sequence is not known, a registration that was written after the era's first list is newer.
func (d *departures) covers(key string, registration route.Listing, era uint64) bool {
	left, known := d.byStart[startKey{key, registration.StartedAtMS}]
	if !known || left.era >= era || time.Since(left.at) >= departureTTL {
		return false
	}
	if left.sequence == 0 || registration.Sequence == 0 {
		return !registration.Revision.SameEra(d.firstList) || !registration.Revision.After(d.firstList)
	}
	return registration.Sequence <= left.sequence
}
