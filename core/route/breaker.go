package route

import "time"

// Result is how an attempt on a Choice ended, for the circuit breaker.
type Result int

// Results of an attempt.
const (
	ResultOK Result = iota
	// ResultFailed is a broken connection, silence or a server error.
	ResultFailed
	// ResultRefused is a refusal before running; the endpoint is healthy but full.
	ResultRefused
)

// refusedPause keeps work away from an endpoint that refused some, about one report interval.
const refusedPause = 200 * time.Millisecond

// breaker is the circuit breaker of one endpoint.
type breaker struct {
	failures  int
	openUntil time.Time
	open      bool
	probing   bool
	pause     time.Duration
}

// allows tells whether work may go to the endpoint. An open circuit lets one probe pass after its pause.
func (b *breaker) allows(now time.Time) bool {
	if now.Before(b.openUntil) {
		return false
	}
	return !b.open || !b.probing
}

func (b *breaker) observe(result Result, now time.Time, p Policy) {
	switch result {
	case ResultOK:
		*b = breaker{}
	case ResultRefused:
		b.openUntil = later(b.openUntil, now.Add(refusedPause))
	case ResultFailed:
		b.failures++
		if b.failures >= p.BreakAfter {
			b.pause = min(max(2*b.pause, p.BreakerMinOpen), p.BreakerMaxOpen)
			b.open = true
			b.openUntil = now.Add(b.pause)
		}
	}
}

// RecordResult tells the circuit breaker how an attempt ended. Results of a superseded incarnation are ignored.
func (t *Table) RecordResult(c Choice, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[c.Address()]
	if e != nil && e.listing.Incarnation == c.Incarnation() {
		e.breaker.observe(result, time.Now(), t.policy)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
