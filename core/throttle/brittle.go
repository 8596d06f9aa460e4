package throttle

import (
	"math"
	"time"
)

// Factors of a derived limit, which keeps the rejections of a brittle endpoint rare without knowing how many requests it
// lets wait.
const (
	// firstShare is the part of its estimated capacity with which a brittle endpoint begins, if it may reject fewRejections
	// requests a second or more. At that load the requests that come at the same time seldom exceed its slots.
	firstShare    = 0.6
	fewRejections = 4
	// cutFactor reduces the rate after a rejection, at most once in cutInterval, in which the daemons learn of the last cut.
	cutFactor   = 0.7
	cutInterval = 300 * time.Millisecond
	// raiseFactor is the factor by which a new estimate of the capacity must exceed the rate to replace it.
	raiseFactor = 1.2
	// growth is the factor by which the rate grows each second without a rejection.
	growth = 1.05
)

// RecordBrittle records that a response of the endpoint said that it falls over if it has to reject more than so many requests
// in a second, and whether it has rejected this one for want of room. All daemons together then send at a derived limit, which begins at a
// part of the endpoint's estimated capacity in requests a second. A limit that the endpoint has named stays in force.
func (l *Limits) RecordBrittle(e Endpoint, capacity float64, maxRejections int, rejected bool) {
	first := clampRate(capacity * firstShare * min(1, float64(maxRejections+1)/(fewRejections+1)))
	l.observe(e, true, func(r *record, now time.Time) bool {
		r.heardAt = now
		switch {
		case r.limited && !r.derived:
			return false
		case !r.limited:
			r.derived, r.wasCut = true, false
			r.set(r.version+1, true, first, now)
		case !rejected && !r.wasCut && first > raiseFactor*r.currentRate(now):
			// The capacity is better known than at the first response.
			r.set(r.version+1, true, first, now)
		case rejected && now.Sub(r.namedAt) >= cutInterval:
			r.wasCut = true
			r.set(r.version+1, true, clampRate(r.currentRate(now)*cutFactor), now)
		default:
			return false
		}
		return true
	})
}

// grownRate returns the rate of a derived limit at a time.
func (r *record) grownRate(now time.Time) float64 {
	return min(r.rate*math.Pow(growth, now.Sub(r.namedAt).Seconds()), maxRate)
}
