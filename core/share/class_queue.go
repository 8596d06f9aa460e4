package share

import (
	"slices"
	"time"
)

const (
	// serviceTimeDecay is the factor by which each release reduces the weight of older service times; about the last
	// hundred releases count.
	serviceTimeDecay = 0.99
	// minRetryAfter and maxRetryAfter bound OverloadedError.RetryAfter.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// flowSweepThreshold is the number of flows from which idle ones are removed before another is added.
	flowSweepThreshold = 64
)

type waiter struct {
	request Request
	arrival uint64        // sequence number within the classQueue
	granted chan struct{} // closed when the waiter may start
}

// flow is one workspace's queue. Its finish tag, which is also the start tag of its next waiter, grows only when work
// starts, so that canceled waiters cost the workspace nothing.
type flow struct {
	waiters      []*waiter
	finishTag    float64
	share        float64
	queuedTokens float64
}

// classQueue is the queue and the capacity of bookings, or of generations including resumes. Queue.mu guards it.
type classQueue struct {
	limits       Limits
	capacity     int
	inUse        int
	queued       int
	queuedTokens float64 // estimated tokens of all waiters
	virtualTime  float64 // highest start tag of granted work
	lastArrival  uint64
	flows        map[string]*flow
	// serviceSeconds and serviceTokens are decayed sums over ended work, whose quotient is the service time per token.
	serviceSeconds float64
	serviceTokens  float64
}

func newClassQueue(capacity int, limits Limits) *classQueue {
	return &classQueue{limits: limits, capacity: capacity, flows: make(map[string]*flow)}
}

// enqueue adds a waiter, which may be granted at once.
func (c *classQueue) enqueue(request Request, now time.Time) (*waiter, error) {
	f := c.flowOf(request.Workspace)
	refuse := func(limit string, wait time.Duration) (*waiter, error) {
		return nil, OverloadedError{request.Workspace, limit, retryAfter(wait)}
	}
	if c.queued > 0 || c.inUse >= c.capacity {
		wait := c.estimatedWait(request)
		switch {
		case len(f.waiters) >= c.limits.PerWorkspace:
			return refuse("workspace-queue", wait)
		case c.queued >= c.limits.Total:
			return refuse("total-queue", wait)
		case !request.Deadline.IsZero() && now.Add(wait).After(request.Deadline):
			return refuse("estimated-wait", wait-request.Deadline.Sub(now))
		}
	}
	c.lastArrival++
	w := &waiter{request: request, arrival: c.lastArrival, granted: make(chan struct{})}
	if len(f.waiters) == 0 {
		f.finishTag = max(f.finishTag, c.virtualTime)
	}
	f.share = request.Share
	f.waiters = append(f.waiters, w)
	c.addToTotals(f, w, 1)
	c.dispatch()
	return w, nil
}

// dispatch grants waiters while there is capacity, in the order of their start tags.
func (c *classQueue) dispatch() {
	for c.inUse < c.capacity && c.queued > 0 {
		f := c.nextFlow()
		w := f.waiters[0]
		f.waiters[0] = nil
		f.waiters = f.waiters[1:]
		c.addToTotals(f, w, -1)
		c.virtualTime = max(c.virtualTime, f.finishTag)
		f.finishTag += float64(w.request.Tokens) / w.request.Share
		c.inUse++
		close(w.granted)
	}
	if c.inUse == 0 && c.queued == 0 {
		// Tags of a busy period do not apply to the next one.
		c.virtualTime = 0
		clear(c.flows)
	}
}

// nextFlow returns the flow with the lowest start tag; the oldest waiter wins a tie.
func (c *classQueue) nextFlow() *flow {
	var best *flow
	for _, f := range c.flows {
		if len(f.waiters) == 0 {
			continue
		}
		if best == nil || f.finishTag < best.finishTag ||
			(f.finishTag == best.finishTag && f.waiters[0].arrival < best.waiters[0].arrival) {
			best = f
		}
	}
	return best
}

func (c *classQueue) remove(w *waiter) {
	f := c.flows[w.request.Workspace]
	if f == nil {
		return
	}
	if i := slices.Index(f.waiters, w); i >= 0 {
		f.waiters = slices.Delete(f.waiters, i, i+1)
		c.addToTotals(f, w, -1)
	}
}

// addToTotals counts a waiter that is added (delta 1) or removed (delta -1).
func (c *classQueue) addToTotals(f *flow, w *waiter, delta int) {
	c.queued += delta
	f.queuedTokens += float64(delta * w.request.Tokens)
	c.queuedTokens += float64(delta * w.request.Tokens)
}

func (c *classQueue) flowOf(workspace string) *flow {
	f := c.flows[workspace]
	if f != nil {
		return f
	}
	if len(c.flows) >= flowSweepThreshold {
		for name, idle := range c.flows {
			if len(idle.waiters) == 0 && idle.finishTag <= c.virtualTime {
				delete(c.flows, name)
			}
		}
	}
	f = &flow{}
	c.flows[workspace] = f
	return f
}

// recordService adds the service time of ended work to the decayed sums.
func (c *classQueue) recordService(tokens int, held time.Duration) {
	c.serviceSeconds = c.serviceSeconds*serviceTimeDecay + held.Seconds()
	c.serviceTokens = c.serviceTokens*serviceTimeDecay + float64(tokens)
}

// estimatedWait returns the expected wait of a new request: the tokens ahead of it in fair order, at the recorded
// service time per token, but at most one hour.
func (c *classQueue) estimatedWait(request Request) time.Duration {
	if c.serviceTokens == 0 || c.capacity <= 0 {
		return 0
	}
	activeShares, ownTokens := request.Share, 0.0
	for name, f := range c.flows {
		switch {
		case name == request.Workspace:
			ownTokens = f.queuedTokens
		case len(f.waiters) > 0:
			activeShares += f.share
		}
	}
	tokensAhead := min(c.queuedTokens, (ownTokens+float64(request.Tokens))*activeShares/request.Share)
	seconds := tokensAhead * c.serviceSeconds / c.serviceTokens / float64(c.capacity)
	return time.Duration(min(seconds, 3600) * float64(time.Second))
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
