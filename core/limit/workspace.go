package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"radishhollow/core/config"
)

const (
	// burstWindow sets the burst of a rate limit: the amount that the rate allows in this time.
	burstWindow = time.Second
	// concurrencyRetryAfter is the retry delay for requests above the concurrency limit. The actual delay is unknown,
	// because a slot becomes free only when another request ends.
	concurrencyRetryAfter = time.Second
	// maxRetryAfter is the longest retry delay that a refused caller gets. An unknown workspace always gets it.
	maxRetryAfter = 30 * time.Second
)

// workspace is the state of one workspace at this daemon.
type workspace struct {
	name        string
	limits      config.Workspace
	meter       meter
	minima      demandMinima
	inFlight    int
	maxInFlight int
	requests    *rate.Limiter
	tokens      *rate.Limiter
	// credit is the number of tokens that were charged at admission but not used. Later requests use it first, because a
	// rate.Limiter cannot take tokens back.
	credit float64
}

func newWorkspace(name string) *workspace {
	return &workspace{name: name, requests: rate.NewLimiter(rate.Inf, 1), tokens: rate.NewLimiter(rate.Inf, 1)}
}

// updateShare sets this daemon's share of each limit. It replaces the demand in v by that for the limit's resource.
func (w *workspace) updateShare(now time.Time, own, peers Demand, v demandView) {
	v.ownDemand, v.peerDemand = own.RequestsPerSecond, peers.RequestsPerSecond
	w.requests = setRate(w.requests, now, w.limits.RequestsPerSecond, v.fraction())
	v.ownDemand, v.peerDemand = own.TokensPerSecond, peers.TokensPerSecond
	w.tokens = setRate(w.tokens, now, w.limits.TokensPerSecond, v.fraction())
	v.ownDemand, v.peerDemand = float64(own.Concurrency), float64(peers.Concurrency)
	w.maxInFlight = math.MaxInt
	if w.limits.Concurrency > 0 {
		w.maxInFlight = v.units(w.limits.Concurrency)
	}
}

// setRate sets a limiter to a fraction of the total rate; a total of 0 means no limit. A limit that replaces no limit
// starts with a full bucket.
func setRate(l *rate.Limiter, now time.Time, total, fraction float64) *rate.Limiter {
	limit := rate.Inf
	burst := 1
	if total > 0 {
		limit = rate.Limit(total * fraction)
		burst = max(int(float64(limit)*burstWindow.Seconds()), 1)
	}
	if l.Limit() == rate.Inf && limit != rate.Inf {
		return rate.NewLimiter(limit, burst)
	}
	if l.Limit() != limit {
		l.SetLimitAt(now, limit)
	}
	if l.Burst() != burst {
		l.SetBurstAt(now, burst)
	}
	return l
}

// admit charges one request, or returns a LimitedError with the limit that the request exceeds.
func (w *workspace) admit(now time.Time, tokens int) error {
	w.meter.record(now, tokens)
	if w.inFlight >= w.maxInFlight {
		w.meter.refusedConcurrency++
		return LimitedError{w.name, "concurrency", concurrencyRetryAfter}
	}
	if wait, ok := available(w.requests, now, 1); !ok {
		return LimitedError{w.name, "requests-per-second", wait}
	}
	charge := max(tokens-int(w.credit), 0)
	if wait, ok := available(w.tokens, now, charge); !ok {
		return LimitedError{w.name, "tokens-per-second", wait}
	}
	w.credit -= float64(tokens - charge)
	w.inFlight++
	w.requests.AllowN(now, 1)
	consume(w.tokens, now, charge)
	return nil
}

// settle corrects the charge of a finished request by the number of tokens that it used.
func (w *workspace) settle(now time.Time, charged, used int) {
	w.inFlight--
	if w.tokens.Limit() == rate.Inf {
		return
	}
	if used > charged {
		consume(w.tokens, now, used-charged)
		return
	}
	w.credit = min(w.credit+float64(charged-used), float64(w.tokens.Burst()))
}

// available reports whether n units, which are requests or tokens, can be taken from the bucket of l now, and otherwise
// how long to wait. A request above the burst needs only a full bucket and takes it below zero, because it could never
// run otherwise.
func available(l *rate.Limiter, now time.Time, n int) (time.Duration, bool) {
	if l.Limit() == rate.Inf || n <= 0 {
		return 0, true
	}
	deficit := float64(min(n, l.Burst())) - l.TokensAt(now)
	// The tolerance covers rounding errors of TokensAt.
	if deficit <= 1e-9 {
		return 0, true
	}
	seconds := min(deficit/float64(l.Limit()), maxRetryAfter.Seconds())
	return time.Duration(seconds * float64(time.Second)), false
}

// consume takes n units from the bucket, which may go below zero. It takes at most the burst at a time, because
// ReserveN rejects more.
func consume(l *rate.Limiter, now time.Time, n int) {
	if l.Limit() == rate.Inf {
		return
	}
	for n > 0 {
		step := min(n, l.Burst())
		l.ReserveN(now, step)
		n -= step
	}
}
