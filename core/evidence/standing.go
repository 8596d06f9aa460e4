package evidence

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minTrialDelay and maxTrialDelay bound the time between two trial requests, which doubles with each that fails. At first
	// it is also trialIntervals times the usual time between two requests, since an endpoint with few requests would
	// otherwise get more of them than before.
	minTrialDelay  = 500 * time.Millisecond
	maxTrialDelay  = 4 * time.Second
	trialIntervals = 4
	// settleSpan is the time after which results that peers report are those of trials. Before, results of requests that were
	// sent earlier arrive.
	settleSpan = 1500 * time.Millisecond
	// neededTrials is the number of good trials in a row after which an endpoint returns. It doubles, up to
	// maxNeededTrials, for an endpoint that is set aside again within relapseSpan.
	neededTrials    = 2
	maxNeededTrials = 8
	relapseSpan     = 30 * time.Second
	// returnSpan is the time in which the requests to an endpoint that has returned rise from firstShare of its usual part.
	returnSpan = 2 * time.Second
	firstShare = 0.1
	// otherRouteSpan is the time without a trial on the route of the bad results after which other routes count, and
	// staleSpan that after which the endpoint returns, since nothing is known of it any more.
	otherRouteSpan = 8 * time.Second
	staleSpan      = 20 * time.Second
)

type endpointKey struct{ service, endpoint string }

// standing is the state of an endpoint that is or was set aside.
type standing struct {
	route, kind string
	aside       bool
	since       time.Time // when it was set aside
	returnedAt  time.Time
	relapses    int
	// delay is the time between two trials, and firstDelay that of the first two.
	delay, firstDelay time.Duration
	good, need        int
	// failedAt is the time of the last failed trial, and triedAt that of the last trial on the route.
	failedAt, triedAt time.Time
	// slot is the last slot for which the daemon of the trial was determined, named whether it is this one, and taken whether
	// this daemon has taken the trial.
	slot         int64
	named, taken bool
}

func (st *standing) isReturning(now time.Time) bool {
	return !st.aside && now.Sub(st.returnedAt) < returnSpan
}

// setAside begins the trials. An endpoint that was set aside a short time ago needs more of them.
func (st *standing) setAside(route, kind string, usualInterval time.Duration, now time.Time) {
	if !st.returnedAt.IsZero() && now.Sub(st.returnedAt) < relapseSpan {
		st.relapses++
	} else {
		st.relapses = 0
	}
	st.route, st.kind, st.aside, st.since, st.triedAt = route, kind, true, now, now
	st.firstDelay = min(max(minTrialDelay<<min(st.relapses, 8), trialIntervals*usualInterval), maxTrialDelay)
	st.delay = st.firstDelay
	st.good, st.need = 0, min(neededTrials<<min(st.relapses, 8), maxNeededTrials)
	st.failedAt, st.slot = time.Time{}, 0
}

// observe counts results that this daemon or a peer has seen of the endpoint while it is set aside.
func (st *standing) observe(route string, added figures, own bool, now time.Time) {
	age := now.Sub(st.since)
	if !st.aside || age < minTrialDelay || (!own && age < settleSpan) {
		return
	}
	if added.bad() > 0 {
		if st.failedAt.IsZero() || now.Sub(st.failedAt) >= st.delay {
			st.failedAt = now
			st.delay = min(2*st.delay, maxTrialDelay)
		}
		st.good, st.triedAt = 0, now
		return
	}
	if !st.mayTry(route, now) {
		return
	}
	if route == st.route {
		st.triedAt = now
	}
	st.good += added.requests
	// The second trial follows soon.
	st.delay = st.firstDelay
}

// mayReturn reports whether the trials were good, or nothing has been known of the endpoint for a while.
func (st *standing) mayReturn(now time.Time) bool {
	return st.good >= st.need || now.Sub(st.triedAt) >= staleSpan
}

// mayTry reports whether a request on a route shows if the endpoint is sound again.
func (st *standing) mayTry(route string, now time.Time) bool {
	return route == st.route || now.Sub(st.triedAt) >= otherRouteSpan
}

// HasSetAside reports whether any endpoint is set aside or has just returned.
func (r *Register) HasSetAside() bool { return r.affected.Load() > 0 }

// CountSetAside returns the number of endpoints that are set aside.
func (r *Register) CountSetAside() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, st := range r.standings {
		if st.aside {
			count++
		}
	}
	return count
}

// IsSetAside reports whether a request should go to another endpoint of the service. For an endpoint that has just returned, that
// is so for a part of the requests.
func (r *Register) IsSetAside(service, endpoint string) bool {
	if !r.HasSetAside() {
		return false
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.standings[endpointKey{service, endpoint}]
	switch {
	case st == nil:
		return false
	case st.isReturning(now):
		return rand.Float64() > firstShare+(1-firstShare)*float64(now.Sub(st.returnedAt))/float64(returnSpan)
	default:
		return st.aside
	}
}

// TakeTrial reports whether this daemon is to send the next request on a route to an endpoint that is set aside, and takes that
// trial. In each slot of the length of the trial delay, the hash of endpoint and slot names one daemon. Slots are those of the
// wall clock: where the clocks of daemons differ, there is still one trial in a slot on average, since each daemon is named in
// the same part of its slots.
func (r *Register) TakeTrial(service, route, endpoint string) bool {
	if !r.HasSetAside() {
		return false
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.standings[endpointKey{service, endpoint}]
	if st == nil || !st.aside || now.Sub(st.since) < minTrialDelay || !st.mayTry(route, now) {
		return false
	}
	if slot := now.UnixNano() / int64(st.delay); slot != st.slot {
		st.slot, st.taken, st.named = slot, false, r.isNamed(endpoint, slot)
	}
	if st.taken || !st.named {
		return false
	}
	st.taken = true
	return true
}

// isNamed reports whether this daemon is the first of the members by the rendezvous hash of an endpoint and a slot.
func (r *Register) isNamed(endpoint string, slot int64) bool {
	best, bestWeight := r.Self, uint64(0)
	for _, member := range r.members {
		weight := xxhash.Sum64String(endpoint + "\x00" + time.Duration(slot).String() + "\x00" + member)
		if weight > bestWeight {
			best, bestWeight = member, weight
		}
	}
	return best == r.Self
}
