// Package arrivals checks the retry budget from what reaches the endpoints of all daemons.
package arrivals

import (
	"sync"
	"time"
)

// Counter counts the requests of one service: those that callers send, and those that reach its endpoints, over all
// daemons. It is safe for concurrent use.
type Counter struct {
	mu      sync.Mutex
	sent    []time.Time
	seen    map[string]bool
	repeats []time.Time
}

// Sent counts a request that a caller has sent.
func (c *Counter) Sent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, time.Now())
}

// Arrived counts the arrival of a request at an endpoint.
func (c *Counter) Arrived(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen[id] {
		c.repeats = append(c.repeats, time.Now())
		return
	}
	if c.seen == nil {
		c.seen = map[string]bool{}
	}
	c.seen[id] = true
}

// Repeats returns the number of arrivals beyond the first of each request.
func (c *Counter) Repeats() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.repeats)
}

// OverBudget returns by how many arrivals beyond the first of each request the worst window exceeds ratio times the
// requests plus slack, or a negative number if none does. The requests are those of the window, of the one before it or of
// the one half a window before it, whichever has most.
func (c *Counter) OverBudget(window time.Duration, ratio, slack float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	worst := -slack
	for _, end := range c.repeats {
		repeats, requests := countWithin(c.repeats, end.Add(-window), end), 0
		for _, earlier := range []time.Duration{0, window / 2, window} {
			requests = max(requests, countWithin(c.sent, end.Add(-earlier-window), end.Add(-earlier)))
		}
		worst = max(worst, float64(repeats)-ratio*float64(requests)-slack)
	}
	return worst
}

// countWithin returns how many times are after the first and not after the last.
func countWithin(times []time.Time, first, last time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(first) && !at.After(last) {
			n++
		}
	}
	return n
}
