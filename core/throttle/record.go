package throttle

import (
	"math"
	"time"
)

const (
	// minRate is the lowest limit in requests a second that is kept. Some requests must go to the endpoint, or no daemon
	// learns that its limit is over.
	minRate = 0.5
	maxRate = 1e6
	// rampDoubling is the shortest time in which the rate doubles after the end of a limit. It takes at least as long as
	// rampResponses responses at the last limit, up to maxRampDoubling: a low limit has few that show whether it is over.
	rampDoubling    = time.Second
	rampResponses   = 2
	maxRampDoubling = 4 * time.Second
	// rampDoublings is the number of doublings after which the rate is no longer limited.
	rampDoublings = 8
	// relapseTime is the time from the end of a limit in which a new one is a relapse. Each relapse makes the ramp after the
	// next end half as steep, so that a limit that only some of the responses name is not exceeded again and again.
	relapseTime = time.Minute
	maxRelapses = 1
	maxRampTime = rampDoublings * (maxRampDoubling << maxRelapses)
)

// record is what is known of the limit of an endpoint.
type record struct {
	endpoint Endpoint
	hash     uint64
	// version rises with each change of limited or rate that a daemon sees in a response.
	version uint64
	limited bool
	// rate is the last limit in requests a second.
	rate float64
	// derived is set if the endpoint is brittle and has not named the limit.
	derived bool
	// wasCut is set once a derived limit was reduced after a rejection.
	wasCut bool
	// namedAt is when this daemon last got the limit, from the endpoint or a peer. A response to a request that was begun
	// before ends nothing.
	namedAt time.Time
	// begunAt and endedAt are when the last limit began and ended.
	begunAt  time.Time
	endedAt  time.Time
	relapses int
	// binds is true if the endpoint is limited, or its rate still ramps back.
	binds     bool
	senders   senders
	bucket    bucket
	announced announced
	// heardAt is the last time at which a response or a new report was about the limit.
	heardAt time.Time
	// urgentAt is when the record changed, or a peer was found not to know it.
	urgentAt time.Time
	// unlistedAt is when the endpoint was first missing in the list, or zero.
	unlistedAt time.Time
}

func clampRate(rate float64) float64 {
	if math.IsNaN(rate) {
		return minRate
	}
	return min(max(rate, minRate), maxRate)
}

// set makes a state known, which changes at once. The saved token is kept.
func (r *record) set(version uint64, limited bool, rate float64, now time.Time) {
	switch {
	case r.limited && !limited:
		r.endedAt = now
		if now.Sub(r.begunAt) >= relapseTime {
			r.relapses = 0
		}
	case !r.limited && limited:
		r.begunAt = now
		if !r.endedAt.IsZero() && now.Sub(r.endedAt) < relapseTime {
			r.relapses = min(r.relapses+1, maxRelapses)
		}
	}
	r.version, r.limited, r.rate = version, limited, rate
	if limited {
		r.namedAt = now
	}
	r.heardAt, r.urgentAt = now, now
}

// currentRate returns the rate that holds at a time, and 0 if there is none.
func (r *record) currentRate(now time.Time) float64 {
	if r.limited && r.derived {
		return r.grownRate(now)
	}
	if r.limited {
		return r.rate
	}
	doublings := now.Sub(r.endedAt).Seconds() / r.doubling().Seconds()
	if doublings >= rampDoublings {
		return 0
	}
	return min(r.rate*math.Exp2(doublings), maxRate)
}

// doubling returns the time in which the rate doubles after the end of the limit.
func (r *record) doubling() time.Duration {
	responses := time.Duration(rampResponses / r.rate * float64(time.Second))
	return min(max(rampDoubling, responses), maxRampDoubling) << r.relapses
}

// update brings the senders and the bucket up to a time. It returns the rate of this daemon, which is 0 if it is not among
// the senders or the endpoint has no limit.
func (r *record) update(v *view, self string, now time.Time) (perSecond float64) {
	rate := r.currentRate(now)
	r.binds = rate > 0
	if !r.binds {
		r.senders = senders{}
		return 0
	}
	before := r.senders.isSender
	r.senders.choose(v, r.hash, self, rate)
	if !r.senders.isSender {
		return 0
	}
	if !before {
		r.bucket.reset(now)
	}
	perSecond = rate / float64(r.senders.count)
	r.bucket.earn(now, perSecond)
	return perSecond
}

// isUnlisted reports whether the endpoint has not been listed for unlistedGrace.
func (r *record) isUnlisted(listed bool, now time.Time) bool {
	switch {
	case listed:
		r.unlistedAt = time.Time{}
	case r.unlistedAt.IsZero():
		r.unlistedAt = now
	}
	return !listed && now.Sub(r.unlistedAt) >= unlistedGrace
}
