// Package throttle keeps the sum of the requests that all daemons send to an endpoint below the limit that it has named.
package throttle

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// NotSender is what Wait returns if this daemon is not among the senders. It is above all other results.
	NotSender = time.Hour
	// maxRecords is the maximum number of endpoints that are kept.
	maxRecords = 4096
	// unlistedGrace is the time for which an endpoint must be missing in the list before its record is dropped, because a
	// peer may have a newer list.
	unlistedGrace = 10 * time.Second
	// endedExpiry is the time after which a limit that has ended is forgotten. Until then a late report of it from a peer
	// does not bring it back.
	endedExpiry = 10 * time.Minute
)

// Limits holds the limits that endpoints have named. Few daemons send to a limited endpoint at a time, chosen the same way
// by all, and each of them uses its part of the limit. The exported fields must be set before use. It is safe for
// concurrent use.
type Limits struct {
	// Self is the daemon's own address.
	Self string
	// Members returns the addresses of all daemons that may send, with Self unless it stops; nil while they are unknown.
	// It must not call the Limits.
	Members func() []string
	// OnChange is called when a limit began, changed or ended, at most once in changeInterval for each endpoint. It may be
	// nil, and may call the Limits.
	OnChange func(change Change)
	// OnNews is called when a response brought something that peers should get soon. It may be nil, and may call the
	// Limits.
	OnNews func()

	// salt replaces rand.Uint64 in tests.
	salt func() uint64

	// binding is the number of records that bind.
	binding atomic.Int64
	members members

	mu      sync.Mutex
	records map[Endpoint]*record
}

// RecordNamed records that a response of the endpoint named a limit in requests a second.
func (l *Limits) RecordNamed(e Endpoint, rate float64) {
	rate = clampRate(rate)
	l.observe(e, true, func(r *record, now time.Time) bool {
		r.namedAt, r.heardAt = now, now
		if r.limited && r.rate == rate && !r.derived {
			return false
		}
		r.derived = false
		r.set(r.version+1, true, rate, now)
		return true
	})
}

// RecordUnnamed records that the response to a request that was begun at a time named no limit.
func (l *Limits) RecordUnnamed(e Endpoint, begunAt time.Time) {
	if l.binding.Load() == 0 {
		return
	}
	l.observe(e, false, func(r *record, now time.Time) bool {
		r.heardAt = now
		if !r.limited || !begunAt.After(r.namedAt) {
			return false
		}
		r.set(r.version+1, false, r.rate, now)
		return true
	})
}

// observe applies a response to the record of an endpoint. apply reports whether the record has changed.
func (l *Limits) observe(e Endpoint, create bool, apply func(r *record, now time.Time) bool) {
	v, now := l.members.view(l.Members), time.Now()
	l.mu.Lock()
	r := l.records[e]
	if r == nil && create {
		r = l.add(e, now)
	}
	if r == nil {
		l.mu.Unlock()
		return
	}
	l.update(r, v, now)
	news := apply(r, now)
	l.update(r, v, now)
	change, isChange := r.change(now, false)
	l.mu.Unlock()
	if isChange {
		l.notify(change)
	}
	if news && l.OnNews != nil {
		l.OnNews()
	}
}

// add adds an empty record. If there are too many, the one heard of longest ago goes, a limited one last.
func (l *Limits) add(e Endpoint, now time.Time) *record {
	if l.records == nil {
		l.records = map[Endpoint]*record{}
	}
	if len(l.records) >= maxRecords {
		l.evict()
	}
	r := &record{endpoint: e, hash: e.hash(), heardAt: now}
	l.records[e] = r
	return r
}

func (l *Limits) evict() {
	var last *record
	for _, r := range l.records {
		if last == nil || !r.limited && last.limited || r.limited == last.limited && r.heardAt.Before(last.heardAt) {
			last = r
		}
	}
	l.remove(last)
}

func (l *Limits) remove(r *record) {
	if r.binds {
		l.binding.Add(-1)
	}
	delete(l.records, r.endpoint)
}

// update brings a record up to a time and returns the rate of this daemon.
func (l *Limits) update(r *record, v *view, now time.Time) (perSecond float64) {
	before := r.binds
	perSecond = r.update(v, l.Self, now)
	if r.binds && !before {
		l.binding.Add(1)
	} else if before && !r.binds {
		l.binding.Add(-1)
	}
	return perSecond
}

// Wait returns the time until this daemon may send a request to the endpoint, and NotSender if it is not among the senders.
func (l *Limits) Wait(e Endpoint) time.Duration {
	var wait time.Duration
	l.use(e, func(r *record, perSecond float64, _ time.Time) {
		wait = NotSender
		if perSecond > 0 {
			wait = r.bucket.wait(perSecond)
		}
	})
	return wait
}

// Take takes the place of one request and reports whether there was one. There always is for an endpoint without a limit.
func (l *Limits) Take(e Endpoint) bool {
	taken := true
	l.use(e, func(r *record, perSecond float64, _ time.Time) {
		taken = perSecond > 0 && r.bucket.take()
	})
	return taken
}

// Return gives back the place of a request that was not sent.
func (l *Limits) Return(e Endpoint) {
	l.use(e, func(r *record, perSecond float64, _ time.Time) {
		if perSecond > 0 {
			r.bucket.giveBack()
		}
	})
}

// Rate returns the rate at which all daemons together may send at present, and whether it is limited.
func (l *Limits) Rate(e Endpoint) (rate float64, limited bool) {
	l.use(e, func(r *record, _ float64, now time.Time) {
		rate, limited = r.currentRate(now), true
	})
	return rate, limited
}

// IsNamed reports whether the endpoint itself has named a limit that is in force, which then holds for all calls.
func (l *Limits) IsNamed(e Endpoint) bool {
	named := false
	l.use(e, func(r *record, _ float64, _ time.Time) { named = !r.derived })
	return named
}

// use calls do for the endpoint's record if it binds, with the rate of this daemon.
func (l *Limits) use(e Endpoint, do func(r *record, perSecond float64, now time.Time)) {
	if l.binding.Load() == 0 {
		return
	}
	v, now := l.members.view(l.Members), time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[e]
	if r == nil {
		return
	}
	if perSecond := l.update(r, v, now); r.binds {
		do(r, perSecond, now)
	}
}

// Count returns the number of endpoints whose rate is limited.
func (l *Limits) Count() int {
	if l.binding.Load() == 0 {
		return 0
	}
	v, now := l.members.view(l.Members), time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.records {
		l.update(r, v, now)
	}
	return int(l.binding.Load())
}

// Keep drops the records of endpoints that have not been listed for unlistedGrace, and of limits that ended long ago. It
// should be called about every second. listed must not call the Limits.
func (l *Limits) Keep(listed func(e Endpoint) bool) {
	if l.isEmpty() {
		return
	}
	v, now := l.members.view(l.Members), time.Now()
	var changes []Change
	l.mu.Lock()
	for _, r := range l.records {
		l.update(r, v, now)
		if r.isUnlisted(listed(r.endpoint), now) || !r.limited && now.Sub(r.endedAt) >= endedExpiry {
			r.limited = false
			l.remove(r)
		}
		if change, isChange := r.change(now, false); isChange {
			changes = append(changes, change)
		}
	}
	l.mu.Unlock()
	l.notify(changes...)
}

func (l *Limits) isEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records) == 0
}

func (l *Limits) notify(changes ...Change) {
	if l.OnChange == nil {
		return
	}
	for _, change := range changes {
		l.OnChange(change)
	}
}
