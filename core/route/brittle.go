package route

import (
	"time"

	"radishhollow/core/throttle"
)

const (
	// defaultServiceDuration and defaultModelDuration are the times that a request takes while none has been observed.
	defaultServiceDuration, defaultModelDuration = 200 * time.Millisecond, 8 * time.Second
	// shorterWeight and longerWeight are those of a new duration in the typical one of its service, which is used from
	// minDurations on. Most of the longer ones include a wait for a slot, which says nothing about the capacity.
	shorterWeight, longerWeight = 0.1, 0.02
	minDurations                = 20
)

// RecordBrittle records that the response to a request of a choice said that its endpoint falls over if it has to reject more
// than so many requests in a second, and whether it has rejected this one. It holds for the start that was chosen.
func (t *Table) RecordBrittle(c Choice, maxRejections int, rejected bool) {
	if rejected && c.rejected != nil {
		c.rejected()
	}
	if t.Limits == nil {
		return
	}
	t.mu.Lock()
	e := t.endpoints[c.address]
	if e == nil || e.listing.Incarnation != c.incarnation || e.listing.StartedAtMS != c.startedAtMS {
		t.mu.Unlock()
		return
	}
	capacity := t.capacity(e)
	t.mu.Unlock()
	key := throttle.Endpoint{Address: c.address, Incarnation: c.incarnation, StartedAtMS: c.startedAtMS}
	t.Limits.RecordBrittle(key, capacity, maxRejections, rejected)
}

// capacity returns the estimated number of requests that the endpoint completes in a second when all of its slots are used.
func (t *Table) capacity(e *endpoint) float64 {
	observed := t.durations[groupKey{e.listing.Kind, e.listing.Name}]
	duration := observed.typical
	if observed.count < minDurations {
		duration = defaultServiceDuration
		if e.listing.Kind == KindModel {
			duration = defaultModelDuration
		}
	}
	return float64(max(e.slotCount(), 1)) / duration.Seconds()
}

// recordDuration adds the time for which a request that ran held its endpoint to the typical one of the service.
func (t *Table) recordDuration(e *endpoint, r *reservation, now time.Time) {
	if !r.sent || r.rejected {
		return
	}
	key, duration := groupKey{e.listing.Kind, e.listing.Name}, max(now.Sub(r.at), time.Millisecond)
	observed := t.durations[key]
	if observed.count == 0 {
		observed.typical = duration
	}
	observed.count++
	weight := longerWeight
	if duration < observed.typical {
		weight = shorterWeight
	}
	observed.typical += time.Duration(float64(duration-observed.typical) * weight)
	t.durations[key] = observed
}

// typicalDuration is the time that a request of a service takes when it need not wait.
type typicalDuration struct {
	typical time.Duration
	count   int
}
