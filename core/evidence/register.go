package evidence

import (
	"sync"
	"sync/atomic"
	"time"
)

// Register keeps what this daemon and its peers have seen of the endpoints, and judges endpoints by it. Its exported fields
// must be set before the first call. It is safe for concurrent use; its function fields are called without its lock.
type Register struct {
	// Self is the daemon's own peer address, and Incarnation tells its starts apart.
	Self, Incarnation string
	// InForce reports whether endpoints of a service are judged. Nothing is recorded, exchanged or judged of other services.
	InForce func(service string) bool
	// Target returns the target version of a service's roll-out, or an empty text if there is none. All tallies of a service
	// with a roll-out are exchanged: those of the target by endpoint, those of the other versions as one sum with an empty
	// Key.Endpoint. It may be nil.
	Target func(service string) string
	// InFlight returns Report.InFlight of the own report. It may be nil.
	InFlight func() []InFlight
	// Members returns the peer addresses of the daemons that may send requests, including this one, in any order. It may be
	// nil; then this daemon alone sends trial requests.
	Members func() []string
	// InTouch reports whether this daemon has heard from a peer in the last seconds, or knows none. A daemon that is cut off
	// sets no endpoint aside. It may be nil.
	InTouch func() bool
	// Endpoints returns the endpoints of a service that are listed and not leaving.
	Endpoints func(service string) []Endpoint
	// OnNews is called when a report to the peers should not wait for the next view. It may be nil.
	OnNews func()
	// OnChange is called when an endpoint is set aside or returns. It may be nil.
	OnChange func(Change)

	// affected is the number of endpoints that are set aside or have just returned, so that Pick needs no lock while there is
	// none.
	affected atomic.Int32

	mu        sync.Mutex
	startedAt time.Time
	newsAt    time.Time
	sequence  uint64
	own       map[Key]*ownTally
	usual     map[routeKey]*usualDuration
	peers     map[source]*peerState
	// badAt is the time at which a key was last seen with a new failure or slow answer, here or at a peer, badSince the first
	// time with no longer pause than badSpan since, and fleetBad the number of these at all daemons in the last seconds.
	badAt    map[Key]time.Time
	badSince map[Key]time.Time
	// known holds how long the endpoints have been reported by any daemon.
	known     map[Key]knownSpan
	fleetBad  map[Key]int
	standings map[endpointKey]*standing
	members   []string
	// inTouchSince is the time since which InTouch has been true, or zero.
	inTouchSince time.Time
}

// knownSpan is the time of the first and of the last report on an endpoint without a pause of reportExpiry.
type knownSpan struct{ first, last time.Time }

// Endpoint is an endpoint of a service, as far as Judge needs to know it.
type Endpoint struct {
	Incarnation string
	// Slots and Running are the requests that it runs at once and those that it runs, or 0 if they are not known.
	Slots, Running int
}

// Change tells that an endpoint is set aside or returns, with the figures that decided it.
type Change struct {
	Service, Route, Endpoint string
	SetAside                 bool
	// Kind is failing or slow, also for an endpoint that returns.
	Kind string
	// Requests and Bad count the endpoint's requests and those of Kind in the last seconds, OtherRequests and OtherBad those
	// of the other endpoints, and Daemons the daemons that have seen Kind.
	Requests, Bad, OtherRequests, OtherBad, Daemons int
	// Trials counts the successful trial requests of an endpoint that returns, and After is the time that it was set aside.
	Trials int
	After  time.Duration
}

const (
	// badSpan is the time for which an endpoint with a failure or a slow answer is reported.
	badSpan = 3 * time.Second
	// newsInterval limits how often news triggers a report before the next view.
	newsInterval = 200 * time.Millisecond
	// reportExpiry is the age up to which the report of a daemon counts.
	reportExpiry = 10 * time.Second
)

// Record counts the result of a request. The duration is that until the whole response, or until the first event of a stream;
// it counts only if the request did not fail. Slow is what IsSlow returns for the duration.
func (r *Register) Record(key Key, failed, slow bool, d time.Duration) {
	if !r.InForce(key.Service) {
		return
	}
	isTarget := r.target(key.Service) == key.Version && key.Version != ""
	r.count(key, failed || slow, func(t *Tally) {
		t.Requests++
		switch {
		case failed:
			t.Failures++
			return
		case slow:
			t.Slow++
		}
		t.Durations[Bucket(d)]++
	})
	if !failed && !isTarget {
		r.recordUsual(key, d)
	}
}

// RecordBroken counts the failure of a stream whose first event has been recorded as an answer.
func (r *Register) RecordBroken(key Key) {
	if r.InForce(key.Service) {
		r.count(key, true, func(t *Tally) { t.Failures++ })
	}
}

// count applies a change to the tally of the endpoint and to the sum of its version. The first bad result of an endpoint after
// badSpan is news.
func (r *Register) count(key Key, bad bool, change func(t *Tally)) {
	now := time.Now()
	r.mu.Lock()
	r.init(now)
	sum := key
	sum.Endpoint = ""
	for _, k := range []Key{key, sum} {
		if t := r.ownTally(k, now); t != nil {
			change(&t.total)
		}
	}
	news := false
	if bad {
		news = !r.isBad(key, now) && now.Sub(r.newsAt) >= newsInterval
		r.setBad(key, now)
	}
	if news {
		r.newsAt = now
	}
	r.mu.Unlock()
	if news && r.OnNews != nil {
		r.OnNews()
	}
}

// init prepares the maps on the first call.
func (r *Register) init(now time.Time) {
	if r.own != nil {
		return
	}
	r.startedAt = now
	r.own, r.usual = make(map[Key]*ownTally), make(map[routeKey]*usualDuration)
	r.peers, r.badAt = make(map[source]*peerState), make(map[Key]time.Time)
	r.badSince, r.known = make(map[Key]time.Time), make(map[Key]knownSpan)
	r.standings = make(map[endpointKey]*standing)
}

func (r *Register) isBad(key Key, now time.Time) bool {
	at, found := r.badAt[key]
	return found && now.Sub(at) < badSpan
}

// setBad notes that a key is of interest to all daemons.
func (r *Register) setBad(key Key, at time.Time) {
	if at.Sub(r.badAt[key]) >= badSpan {
		r.badSince[key] = at
	}
	if at.After(r.badAt[key]) {
		r.badAt[key] = at
	}
}

func (r *Register) target(service string) string {
	if r.Target == nil {
		return ""
	}
	return r.Target(service)
}

// targets returns the target versions of the services.
func (r *Register) targets(services map[string]bool) map[string]string {
	targets := make(map[string]string, len(services))
	for service := range services {
		if target := r.target(service); target != "" {
			targets[service] = target
		}
	}
	return targets
}
