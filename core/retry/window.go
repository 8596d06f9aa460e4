package retry

import (
	"sync"
	"time"
)

// windowParts is the number of parts that a window is counted in.
const windowParts = 10

// Window allows retries up to a share of the requests of any span of time, and some more that all daemons share. Each
// daemon takes the share of its own requests, so that the sum over all daemons holds without an exchange. Fields are
// set before use; it is safe for concurrent use.
type Window struct {
	// Span is the length of the window.
	Span time.Duration
	// Ratio is the number of retries for each request.
	Ratio float64
	// Slack is the number of retries beyond Ratio that all daemons have together.
	Slack float64
	// Daemons returns the number of daemons that share Slack.
	Daemons func() int

	mu     sync.Mutex
	counts map[string]*counts
	origin time.Time
}

// counts are the requests and retries of one key in the parts of a window. One part more than the window covers the
// part that is only just leaving it.
type counts struct {
	requests, retries [windowParts + 1]int
	part              int64
}

// RecordRequest counts one request.
func (w *Window) RecordRequest(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.at(key)
	c.requests[c.part%(windowParts+1)]++
}

// TakeRetry counts one retry, and reports false where none is left.
func (w *Window) TakeRetry(key string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.at(key)
	requests, retries := 0, 0
	for i := range c.requests {
		retries += c.retries[i]
		if int64(i) != (c.part+1)%(windowParts+1) {
			requests += c.requests[i]
		}
	}
	if float64(retries)+1 > w.Ratio*float64(requests)+w.Slack/float64(max(w.Daemons(), 1)) {
		return false
	}
	c.retries[c.part%(windowParts+1)]++
	return true
}

// ReturnRetry gives a retry back that reached no endpoint.
func (w *Window) ReturnRetry(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.at(key)
	if i := c.part % (windowParts + 1); c.retries[i] > 0 {
		c.retries[i]--
	}
}

// at returns the counts of a key after the parts that have passed are cleared.
func (w *Window) at(key string) *counts {
	if w.counts == nil {
		w.counts, w.origin = map[string]*counts{}, time.Now()
	}
	part := int64(time.Since(w.origin) / (w.Span / windowParts))
	c := w.counts[key]
	if c == nil {
		c = &counts{part: part}
		w.counts[key] = c
	}
	for c.part < part {
		if part-c.part > windowParts {
			*c = counts{part: part}
			break
		}
		c.part++
		i := c.part % (windowParts + 1)
		c.requests[i], c.retries[i] = 0, 0
	}
	return c
}
