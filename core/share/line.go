package share

import (
	"slices"
	"time"
)

const (
	// decay weighs older service times; about the last hundred releases count.
	decay = 0.99
	// minRetryAfter and maxRetryAfter bound the advice to refused callers.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// idleFlows is the number of flows above which idle ones are swept.
	idleFlows = 64
)

type waiter struct {
	ask     Request
	arrival uint64
	granted chan struct{}
}

// flow is one workspace's queue. Its finish tag grows only with work that started, so that cancelled waiters cost
// the workspace nothing.
type flow struct {
	waiters []*waiter
	finish  float64
	share   float64
	cost    float64
}

// line is one class's queue and capacity.
type line struct {
	limits   Limits
	capacity int
	inUse    int
	queued   int
	cost     float64 // estimated tokens of all waiters
	virtual  float64
	arrivals uint64
	flows    map[string]*flow
	// heldSeconds and heldTokens give the service time per token.
	heldSeconds float64
	heldTokens  float64
}

func newLine(capacity int, limits Limits) *line {
	return &line{limits: limits, capacity: capacity, flows: make(map[string]*flow)}
}

// enqueue adds a waiter, whose turn may come at once.
func (l *line) enqueue(ask Request, now time.Time) (*waiter, error) {
	f := l.flow(ask.Workspace)
	refuse := func(limit string, wait time.Duration) (*waiter, error) {
		return nil, OverloadedError{ask.Workspace, limit, retryAfter(wait)}
	}
	if l.queued > 0 || l.inUse >= l.capacity {
		wait := l.estimate(ask)
		switch {
		case len(f.waiters) >= l.limits.PerWorkspace:
			return refuse("workspace-queue", wait)
		case l.queued >= l.limits.Total:
			return refuse("total-queue", wait)
		case !ask.Deadline.IsZero() && now.Add(wait).After(ask.Deadline):
			return refuse("estimated-wait", wait-ask.Deadline.Sub(now))
		}
	}
	l.arrivals++
	w := &waiter{ask: ask, arrival: l.arrivals, granted: make(chan struct{})}
	if len(f.waiters) == 0 {
		f.finish = max(f.finish, l.virtual)
	}
	f.share = ask.Share
	f.waiters = append(f.waiters, w)
	l.account(f, w, 1)
	l.dispatch()
	return w, nil
}

// dispatch grants turns while there is capacity, lowest start tag first.
func (l *line) dispatch() {
	for l.inUse < l.capacity && l.queued > 0 {
		f := l.next()
		w := f.waiters[0]
		f.waiters[0] = nil
		f.waiters = f.waiters[1:]
		l.account(f, w, -1)
		l.virtual = max(l.virtual, f.finish)
		f.finish += float64(w.ask.Tokens) / w.ask.Share
		l.inUse++
		close(w.granted)
	}
	if l.inUse == 0 && l.queued == 0 {
		// The end of a busy period ends all claims from it.
		l.virtual = 0
		clear(l.flows)
	}
}

// next returns the flow with the lowest start tag; the oldest waiter wins a tie.
func (l *line) next() *flow {
	var best *flow
	for _, f := range l.flows {
		if len(f.waiters) == 0 {
			continue
		}
		if best == nil || f.finish < best.finish ||
			(f.finish == best.finish && f.waiters[0].arrival < best.waiters[0].arrival) {
			best = f
		}
	}
	return best
}

func (l *line) remove(w *waiter) {
	f := l.flows[w.ask.Workspace]
	if f == nil {
		return
	}
	if i := slices.Index(f.waiters, w); i >= 0 {
		f.waiters = slices.Delete(f.waiters, i, i+1)
		l.account(f, w, -1)
	}
}

func (l *line) account(f *flow, w *waiter, sign int) {
	l.queued += sign
	f.cost += float64(sign * w.ask.Tokens)
	l.cost += float64(sign * w.ask.Tokens)
}

func (l *line) flow(workspace string) *flow {
	f := l.flows[workspace]
	if f != nil {
		return f
	}
	if len(l.flows) >= idleFlows {
		for name, idle := range l.flows {
			if len(idle.waiters) == 0 && idle.finish <= l.virtual {
				delete(l.flows, name)
			}
		}
	}
	f = &flow{}
	l.flows[workspace] = f
	return f
}

// learn takes the service time of ended work.
func (l *line) learn(tokens int, held time.Duration) {
	l.heldSeconds = l.heldSeconds*decay + held.Seconds()
	l.heldTokens = l.heldTokens*decay + float64(tokens)
}

// estimate returns the wait of a new ask: the cost ahead of it under fair order, at the learned service time.
func (l *line) estimate(ask Request) time.Duration {
	if l.heldTokens == 0 || l.capacity <= 0 {
		return 0
	}
	shares, own := ask.Share, 0.0
	for name, f := range l.flows {
		switch {
		case name == ask.Workspace:
			own = f.cost
		case len(f.waiters) > 0:
			shares += f.share
		}
	}
	ahead := min(l.cost, (own+float64(ask.Tokens))*shares/ask.Share)
	seconds := ahead * l.heldSeconds / l.heldTokens / float64(l.capacity)
	return time.Duration(min(seconds, 3600) * float64(time.Second))
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
