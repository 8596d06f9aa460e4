package retry

import (
	"sync"
	"time"
)

// windowIntervals is the number of intervals into which a window is divided for counting.
const windowIntervals = 10

// Window limits the retries in a sliding window to Ratio times its requests plus Slack, which all daemons share. Each
// daemon counts only its own requests and takes an equal part of Slack, so that the limit holds for all daemons
// together without communication. Keys are never evicted, so there should be few of them. Set the fields before the
// first call. It is safe for concurrent use.
type Window struct {
	// Span is the length of the window.
	Span time.Duration
	// Ratio is the number of retries that each request adds.
	Ratio float64
	// Slack is the number of additional retries that all daemons share.
	Slack float64
	// Daemons returns the number of daemons that share Slack.
	Daemons func() int

	mu     sync.Mutex
	counts map[string]*counts
	start  time.Time
}

// counts holds the requests and retries of one key by interval, in a ring buffer indexed by the interval number. It has
// one interval more than the window, for the interval that has only partly left the window.
type counts struct {
	requests, retries [windowIntervals + 1]int
	// interval is the number of the latest interval.
	interval int64
}

// RecordRequest counts one request of the key.
func (w *Window) RecordRequest(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.countsOf(key)
	c.requests[c.interval%(windowIntervals+1)]++
}

// TakeRetry counts one retry of the key, or reports false if none is left. Of the interval that has only partly left
// the window, it includes the retries but not the requests, so that the limit holds for every window.
func (w *Window) TakeRetry(key string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.countsOf(key)
	requests, retries := 0, 0
	for i := range c.requests {
		retries += c.retries[i]
		if int64(i) != (c.interval+1)%(windowIntervals+1) {
			requests += c.requests[i]
		}
	}
	if float64(retries)+1 > w.Ratio*float64(requests)+w.Slack/float64(max(w.Daemons(), 1)) {
		return false
	}
	c.retries[c.interval%(windowIntervals+1)]++
	return true
}

// ReturnRetry gives back a retry that reached no endpoint. It has no effect if no retry is counted in the current
// interval.
func (w *Window) ReturnRetry(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.countsOf(key)
	if i := c.interval % (windowIntervals + 1); c.retries[i] > 0 {
		c.retries[i]--
	}
}

// countsOf returns the counts of a key after clearing those of intervals that have left the window.
func (w *Window) countsOf(key string) *counts {
	if w.counts == nil {
		w.counts, w.start = map[string]*counts{}, time.Now()
	}
	interval := int64(time.Since(w.start) / (w.Span / windowIntervals))
	c := w.counts[key]
	if c == nil {
		c = &counts{interval: interval}
		w.counts[key] = c
	}
	for c.interval < interval {
		if interval-c.interval > windowIntervals {
			*c = counts{interval: interval}
			break
		}
		c.interval++
		i := c.interval % (windowIntervals + 1)
		c.requests[i], c.retries[i] = 0, 0
	}
	return c
}
