package evidence

import (
	"math"
	"time"
)

const (
	// slowFactor times the median duration of a route is slow. Endpoints of 0.55 times the usual speed, and prompts of about
	// twice the usual length, stay below it.
	slowFactor = 3
	// minSlowExcess is the least excess over the median that is slow. Below it, delays of the network and of this daemon count
	// for more than the endpoint.
	minSlowExcess = 20 * time.Millisecond
	// usualHalfLife is the time after which a duration has half of its weight in the median.
	usualHalfLife = 10 * time.Second
	// minUsualWeight is the weight of durations below which nothing is slow, since the median is not known well.
	minUsualWeight = 20
)

// routeKey is a route to a service.
type routeKey struct{ service, route string }

// usualDuration is a histogram of the durations of a route over all endpoints, except those of a target version, in which older
// ones count less.
type usualDuration struct {
	weights [BucketCount]float64
	at      time.Time
}

func (u *usualDuration) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(u.at).Seconds() / usualHalfLife.Seconds())
	for i := range u.weights {
		u.weights[i] *= factor
	}
	u.at = now
}

// median returns the middle of the bucket that holds the median, and false if too few durations are known.
func (u *usualDuration) median() (time.Duration, bool) {
	total := 0.0
	for _, w := range u.weights {
		total += w
	}
	if total < minUsualWeight {
		return 0, false
	}
	sum, bound := 0.0, float64(time.Millisecond)
	for _, w := range u.weights {
		if sum += w; sum >= total/2 {
			break
		}
		bound *= bucketGrowth
	}
	return time.Duration(bound / math.Sqrt(bucketGrowth)), true
}

func (r *Register) recordUsual(key Key, d time.Duration) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	route := routeKey{key.Service, key.Route}
	u := r.usual[route]
	if u == nil {
		if len(r.usual) >= maxOwnTallies {
			return
		}
		u = &usualDuration{at: now}
		r.usual[route] = u
	}
	u.decay(now)
	u.weights[Bucket(d)]++
}

// IsSlow reports whether an answer took several times as long as is usual on the route of the key: more than slowFactor times
// the median of what this daemon has seen of the route in the last seconds, without the target version of a roll-out.
func (r *Register) IsSlow(key Key, d time.Duration) bool {
	if !r.InForce(key.Service) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.usual[routeKey{key.Service, key.Route}]
	if u == nil {
		return false
	}
	median, known := u.median()
	return known && d > slowFactor*median && d-median >= minSlowExcess
}
