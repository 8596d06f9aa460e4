package retry

import (
	"sync"
	"time"
)

const (
	// windowIntervals is the number of intervals into which a window is divided for counting.
	windowIntervals = 10
	// savedPart is the part of Ratio and Slack that can be saved for a burst of retries, such as that after the loss of an
	// endpoint. The rest is earned with each request, or with time.
	savedPart = 0.5
	// fleetMemory is the time for which a daemon divides Slack among as many daemons as it has known. It exceeds the
	// usual partition, in which daemons lose sight of each other but go on to serve.
	fleetMemory = 10 * time.Minute
)

// Window limits the retries of all daemons together, in each sliding window, to Ratio times the requests plus Slack. No
// daemon knows what the others have spent, or the process that it has replaced. So each only spends what it has earned
// since it started:
//
//   - A request earns a part of Ratio, and time a part of the daemon's share of Slack. What all processes earn within a
//     window does not depend on how often they are replaced.
//   - What is not spent at once is saved, up to the rest of Ratio for the requests of the latest window and the rest of the
//     daemon's share of Slack. A new process has saved nothing, so all that is spent within a window was earned in it, or
//     saved by the daemons that ran at its start.
//   - The share does not grow for fleetMemory after other daemons were lost from sight.
//
// Keys are never evicted, so there should be few of them. Set the fields before the first call. It is safe for concurrent
// use.
type Window struct {
	// Span is the length of the window.
	Span time.Duration
	// Ratio is the number of retries that each request adds.
	Ratio float64
	// Slack is the number of additional retries that all daemons share.
	Slack float64
	// Daemons returns the number of daemons that share Slack, or zero while it is unknown.
	Daemons func() int
	// Started is the time of the daemon's start. From then on it earns its share of Slack, also for a key without requests.
	Started time.Time

	mu       sync.Mutex
	accounts map[string]*account
	fleet    fleet
}

// account holds the saved retries of one key, and its requests by interval in a ring buffer indexed by the interval
// number.
type account struct {
	saved    float64
	earnedAt time.Time
	requests [windowIntervals]int
	// interval is the number of the latest interval.
	interval int64
}

// fleet is the largest number of daemons that was known within fleetMemory.
type fleet struct {
	size   int
	seenAt time.Time
}

// RecordRequest counts one request of the key.
func (w *Window) RecordRequest(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.account(key)
	a.requests[a.interval%windowIntervals]++
	w.save(a, w.Ratio*(1-savedPart))
}

// TakeRetry takes one retry of the key, or reports false if less than one is saved.
func (w *Window) TakeRetry(key string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.account(key)
	if a.saved < 1 {
		return false
	}
	a.saved--
	return true
}

// ReturnRetry gives back a retry that reached no endpoint.
func (w *Window) ReturnRetry(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.save(w.account(key), 1)
}

// account returns the account of a key, with what it has earned by now.
func (w *Window) account(key string) *account {
	now := time.Now()
	if w.accounts == nil {
		w.accounts = map[string]*account{}
	}
	w.fleet.update(w.Daemons(), now)
	a := w.accounts[key]
	if a == nil {
		a = &account{earnedAt: w.Started}
		w.accounts[key] = a
	}
	a.advance(int64(now.Sub(w.Started) / (w.Span / windowIntervals)))
	w.save(a, (1-savedPart)*w.slack()*float64(now.Sub(a.earnedAt))/float64(w.Span))
	a.earnedAt = now
	return a
}

// save adds retries up to the limit of what can be saved.
func (w *Window) save(a *account, retries float64) {
	requests := 0
	for _, n := range a.requests {
		requests += n
	}
	a.saved = min(a.saved+retries, savedPart*(w.Ratio*float64(requests)+w.slack()))
}

// slack returns this daemon's share of Slack.
func (w *Window) slack() float64 {
	if w.fleet.size == 0 {
		return 0
	}
	return w.Slack / float64(w.fleet.size)
}

func (f *fleet) update(size int, now time.Time) {
	if size >= f.size || now.Sub(f.seenAt) > fleetMemory {
		f.size, f.seenAt = size, now
	}
}

// advance clears the counts of intervals that have left the window.
func (a *account) advance(interval int64) {
	if interval-a.interval >= windowIntervals {
		a.requests = [windowIntervals]int{}
		a.interval = interval
	}
	for a.interval < interval {
		a.interval++
		a.requests[a.interval%windowIntervals] = 0
	}
}
