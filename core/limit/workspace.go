package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"radishhollow/core/config"
)

const (
	// burstTime is the time whose worth of a rate may be used at once.
	burstTime = time.Second
	// concurrencyRetry is the advice where only the end of other work makes space.
	concurrencyRetry = time.Second
	// maxRetryAfter bounds the advice to refused callers.
	maxRetryAfter = 30 * time.Second
)

// workspace is one workspace's state at this daemon.
type workspace struct {
	name     string
	limits   config.Workspace
	meter    meter
	floors   floors
	inUse    int
	slots    int
	requests *rate.Limiter
	tokens   *rate.Limiter
	// credit holds tokens that were charged at admission and not used.
	credit float64
}

func newWorkspace(name string) *workspace {
	return &workspace{name: name, requests: rate.NewLimiter(rate.Inf, 1), tokens: rate.NewLimiter(rate.Inf, 1)}
}

// divide sets this daemon's part of the limits.
func (w *workspace) divide(now time.Time, own, peers Demand, v view) {
	v.own, v.peers = own.RequestsPerSecond, peers.RequestsPerSecond
	w.requests = setRate(w.requests, now, w.limits.RequestsPerSecond, v.fraction())
	v.own, v.peers = own.TokensPerSecond, peers.TokensPerSecond
	w.tokens = setRate(w.tokens, now, w.limits.TokensPerSecond, v.fraction())
	v.own, v.peers = float64(own.Concurrency), float64(peers.Concurrency)
	w.slots = math.MaxInt
	if w.limits.Concurrency > 0 {
		w.slots = v.units(w.limits.Concurrency)
	}
}

// setRate changes a limiter. A limit that replaces no limit starts with a full bucket.
func setRate(l *rate.Limiter, now time.Time, total, fraction float64) *rate.Limiter {
	limit := rate.Inf
	burst := 1
	if total > 0 {
		limit = rate.Limit(total * fraction)
		burst = max(int(float64(limit)*burstTime.Seconds()), 1)
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

// admit charges one request, or returns the limit that it exceeds.
func (w *workspace) admit(now time.Time, tokens int) error {
	w.meter.add(now, tokens)
	if w.inUse >= w.slots {
		w.meter.refused++
		return LimitedError{w.name, "concurrency", concurrencyRetry}
	}
	if wait, ok := available(w.requests, now, 1); !ok {
		return LimitedError{w.name, "requests-per-second", wait}
	}
	charge := max(tokens-int(w.credit), 0)
	if wait, ok := available(w.tokens, now, charge); !ok {
		return LimitedError{w.name, "tokens-per-second", wait}
	}
	w.credit -= float64(tokens - charge)
	w.inUse++
	w.requests.AllowN(now, 1)
	spend(w.tokens, now, charge)
	return nil
}

// settle corrects the charge of ended work by what it used.
func (w *workspace) settle(now time.Time, charged, used int) {
	w.inUse--
	if w.tokens.Limit() == rate.Inf {
		return
	}
	if used > charged {
		spend(w.tokens, now, used-charged)
		return
	}
	w.credit = min(w.credit+float64(charged-used), float64(w.tokens.Burst()))
}

// available tells whether n tokens can be spent. A request above the burst needs a full bucket and leaves a debt,
// or it could never run.
func available(l *rate.Limiter, now time.Time, n int) (time.Duration, bool) {
	if l.Limit() == rate.Inf || n <= 0 {
		return 0, true
	}
	lack := float64(min(n, l.Burst())) - l.TokensAt(now)
	if lack <= 1e-9 {
		return 0, true
	}
	seconds := min(lack/float64(l.Limit()), maxRetryAfter.Seconds())
	return time.Duration(seconds * float64(time.Second)), false
}

// spend takes n tokens; the bucket may go below zero.
func spend(l *rate.Limiter, now time.Time, n int) {
	if l.Limit() == rate.Inf {
		return
	}
	for n > 0 {
		step := min(n, l.Burst())
		l.ReserveN(now, step)
		n -= step
	}
}
