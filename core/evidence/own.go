package evidence

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// maxOwnTallies bounds the memory for the tallies of this daemon, of about 1 KB each.
	maxOwnTallies = 4096
	// maxReportTallies bounds the tallies in a report.
	maxReportTallies = 256
	// unusedSpan is the time after which a tally that is neither counted nor reported is dropped.
	unusedSpan = time.Minute
	// restartSpan is the time without a report after which the reported part of a tally begins anew. It is longer than
	// reportExpiry, so that no peer that is in touch remembers the earlier counts.
	restartSpan = 15 * time.Second
	// historySpan is the least time before the first bad result for which a report includes the results. Without it each report
	// on an endpoint would begin with a failure, and all rates would look too high. Twice as much, which is the most, must not
	// exceed the shortest window of Judge, since all of it counts as growth of the moment of the report.
	historySpan = time.Second
)

// ownTally is a tally of this daemon. Its reported part is total without base.
type ownTally struct {
	total, base Tally
	// next is the total at nextAt, which becomes the base of a tally that is not reported.
	next               Tally
	nextAt             time.Time
	usedAt, reportedAt time.Time
}

// ownTally returns the tally of a key for a new result, or nil if there is no room for it.
func (r *Register) ownTally(key Key, now time.Time) *ownTally {
	t := r.own[key]
	if t == nil {
		if len(r.own) >= maxOwnTallies {
			return nil
		}
		t = &ownTally{total: Tally{Key: key}, nextAt: now}
		r.own[key] = t
	}
	t.usedAt = now
	t.advanceBase(now)
	return t
}

// advanceBase lets the reported part of a tally that has not been reported for a while begin up to two times historySpan ago.
func (t *ownTally) advanceBase(now time.Time) {
	if !t.reportedAt.IsZero() && now.Sub(t.reportedAt) < restartSpan {
		return
	}
	switch age := now.Sub(t.nextAt); {
	case age >= 2*historySpan:
		t.base, t.next, t.nextAt = t.total, t.total, now
	case age >= historySpan:
		t.base, t.next, t.nextAt = t.next, t.total, now
	}
}

// reported returns the part of the tally that peers get. The durations are needed only for roll-outs.
func (t *ownTally) reported(withDurations bool) Tally {
	part := Tally{
		Key: t.total.Key, Requests: t.total.Requests - t.base.Requests, Failures: t.total.Failures - t.base.Failures,
		Slow: t.total.Slow - t.base.Slow,
	}
	// A stream that breaks after its first event adds a failure to a request that may have been counted before the base.
	part.Requests = max(part.Requests, part.Failures, part.Slow)
	for i := range t.total.Durations {
		if withDurations {
			part.Durations[i] = t.total.Durations[i] - t.base.Durations[i]
		}
	}
	return part
}

// Own returns the report of this daemon. A report without tallies and requests in flight need not be sent.
func (r *Register) Own() Report {
	var inFlight []InFlight
	if r.InFlight != nil {
		inFlight = r.InFlight()
	}
	targets := r.targets(r.ownServices())
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init(now)
	r.sequence++
	return Report{
		Daemon: r.Self, Incarnation: r.Incarnation, Sequence: r.sequence, Tallies: r.ownTallies(targets, now), InFlight: inFlight,
	}
}

// ownServices returns the services with tallies of this daemon.
func (r *Register) ownServices() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	services := make(map[string]bool)
	for key := range r.own {
		services[key.Service] = true
	}
	return services
}

// Ranks of tallies in a report, whose number is bounded.
const (
	rankSum = iota
	rankBad
	rankTarget
	rankNone
)

// ownTallies returns the tallies to report: the sums of routes with a bad endpoint, these endpoints, those that are or were set
// aside, whose trials the other daemons need to know, and all sums and target endpoints of roll-outs. Where there are too many, all daemons leave out the same endpoints, so that no rate is distorted.
func (r *Register) ownTallies(targets map[string]string, now time.Time) []Tally {
	badRoutes := make(map[routeKey]bool)
	for key := range r.badAt {
		if r.isBad(key, now) {
			badRoutes[routeKey{key.Service, key.Route}] = true
		}
	}
	for key, st := range r.standings {
		badRoutes[routeKey{key.service, st.route}] = true
	}
	if len(badRoutes)+len(targets) == 0 {
		return nil
	}
	var keys []Key
	for key := range r.own {
		if r.rank(key, targets, badRoutes, now) != rankNone {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(
			cmp.Compare(r.rank(a, targets, badRoutes, now), r.rank(b, targets, badRoutes, now)),
			cmp.Compare(r.fleetBad[b], r.fleetBad[a]), compareKeys(a, b),
		)
	})
	var tallies []Tally
	for _, key := range keys[:min(len(keys), maxReportTallies)] {
		t := r.own[key]
		t.advanceBase(now)
		t.reportedAt = now
		tallies = append(tallies, t.reported(targets[key.Service] != ""))
	}
	return tallies
}

func (r *Register) rank(key Key, targets map[string]string, badRoutes map[routeKey]bool, now time.Time) int {
	target := targets[key.Service]
	switch {
	case key.Endpoint == "" && (target != "" || badRoutes[routeKey{key.Service, key.Route}]):
		return rankSum
	case key.Endpoint != "" && (r.isBad(key, now) || r.standings[endpointKey{key.Service, key.Endpoint}] != nil):
		return rankBad
	case key.Endpoint != "" && target != "" && key.Version == target:
		return rankTarget
	}
	return rankNone
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		strings.Compare(a.Service, b.Service), strings.Compare(a.Route, b.Route), strings.Compare(a.Version, b.Version),
		strings.Compare(a.Endpoint, b.Endpoint),
	)
}

// dropUnused drops what is neither counted nor reported any more.
func (r *Register) dropUnused(now time.Time) {
	for key, t := range r.own {
		if now.Sub(t.usedAt) >= unusedSpan && now.Sub(t.reportedAt) >= unusedSpan {
			delete(r.own, key)
		}
	}
	for key, u := range r.usual {
		if now.Sub(u.at) >= unusedSpan {
			delete(r.usual, key)
		}
	}
	for key, at := range r.badAt {
		if now.Sub(at) >= badSpan {
			delete(r.badAt, key)
			delete(r.badSince, key)
		}
	}
	for key, k := range r.known {
		if now.Sub(k.last) >= reportExpiry {
			delete(r.known, key)
		}
	}
}
