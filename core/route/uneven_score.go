package route

import (
	"cmp"
	"time"
)

// UnevenPolicy holds the parameters of the choice among endpoints that state four figures.
type UnevenPolicy struct {
	// LoadAge is the time constant with which stated figures of running and waiting requests lose weight.
	LoadAge time.Duration
	// InFlightWeight is the number of usual durations that each request in flight from this daemon adds to the estimate. A
	// daemon with few requests learns soonest from them that an endpoint has become slow.
	InFlightWeight float64
	// Jitter is the highest random share by which each estimate for a plain service is raised.
	Jitter float64
}

// defaultUnevenPolicy returns the parameters for plain services with few slots.
func defaultUnevenPolicy() UnevenPolicy {
	return UnevenPolicy{LoadAge: 200 * time.Millisecond, InFlightWeight: 2, Jitter: 0.3}
}

// statedDelay returns the estimated time until a plain service has done a request, in usual durations of its work.
func (t *Table) statedDelay(e *endpoint, now time.Time) float64 {
	slots := float64(cmp.Or(e.stated.last.Slots, max(e.slotCount(), 1)))
	load := e.stated.load(e.inFlight, now, t.policy.Uneven)
	queue := max(load+1-slots, 0) / slots
	return e.stated.slowdown(now)*(1+queue) + t.policy.Uneven.InFlightWeight*float64(e.inFlight)
}

// jitteredScore returns the score for endpoints that state four figures. That of plain services has a random part, as
// daemons with the same figures would otherwise all choose the same one.
func (t *Table) jitteredScore(pool []*endpoint, kind Kind, score func(*endpoint) float64) func(*endpoint) float64 {
	if kind != KindService {
		return score
	}
	jitter := make(map[*endpoint]float64, len(pool))
	for _, e := range pool {
		jitter[e] = 1 + t.policy.Uneven.Jitter*t.random.Float64()
	}
	return func(e *endpoint) float64 { return score(e) * jitter[e] }
}
