package route

import "time"

// Result is the result of an attempt, as the circuit breaker counts it. The daemon records results of generations and
// streams only, and ResultOK as soon as the first output has arrived. When it forwards requests, it records neither an
// attempt of which nothing was sent nor a response with status 421: the first sets the endpoint unreachable, the second
// marks it dead.
type Result int

// Results of an attempt.
const (
	ResultOK Result = iota
	// ResultFailed is any other failure, such as a broken connection, a timeout, or an error status, also one that the
	// request itself may have caused.
	ResultFailed
	// ResultSilent is an attempt whose endpoint sent nothing for a while. It may be sound and go on. It counts like
	// ResultFailed, but an endpoint without another failure is still chosen if there is no other.
	ResultSilent
	// ResultRefused is a rejection before the request ran; the endpoint is healthy but full.
	ResultRefused
)

// refusedBackoff is the time for which an endpoint that refused a request gets no more requests, about one report
// interval.
const refusedBackoff = 200 * time.Millisecond

// breaker is the circuit breaker of one endpoint.
type breaker struct {
	failures int // consecutive failures, including silences
	// failed is set if one of the failures is no silence.
	failed bool
	// refusedUntil is the time until which a refusal keeps requests from the endpoint.
	refusedUntil time.Time
	// blockedUntil is the time until which a refusal or the opening of the circuit keeps requests from the endpoint.
	blockedUntil time.Time
	open         bool
	trialActive  bool
	// openFor is the time for which the last failure opened the circuit. It doubles with each further failure, within
	// Policy.BreakerMinOpen and Policy.BreakerMaxOpen.
	openFor time.Duration
}

// allows reports whether requests may go to the endpoint. Once blockedUntil has passed, an open circuit admits one
// trial request at a time.
func (b *breaker) allows(now time.Time) bool {
	if now.Before(b.blockedUntil) {
		return false
	}
	return !b.open || !b.trialActive
}

// isBlockedBySilence reports whether nothing but silences keeps requests from the endpoint.
func (b *breaker) isBlockedBySilence(now time.Time) bool {
	return b.open && !b.failed && !now.Before(b.refusedUntil)
}

func (b *breaker) record(result Result, now time.Time, p Policy) {
	switch result {
	case ResultOK:
		*b = breaker{}
	case ResultRefused:
		b.refusedUntil = now.Add(refusedBackoff)
		b.blockedUntil = laterOf(b.blockedUntil, b.refusedUntil)
	case ResultFailed, ResultSilent:
		b.failures++
		b.failed = b.failed || result == ResultFailed
		if b.failures >= p.BreakerThreshold {
			b.openFor = min(max(2*b.openFor, p.BreakerMinOpen), p.BreakerMaxOpen)
			b.open = true
			b.blockedUntil = now.Add(b.openFor)
		}
	}
}

// RecordResult passes the result of an attempt to the circuit breaker. Results of a superseded incarnation are ignored.
func (t *Table) RecordResult(c Choice, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[c.Address()]
	if e != nil && e.listing.Incarnation == c.Incarnation() {
		e.breaker.record(result, time.Now(), t.policy)
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
