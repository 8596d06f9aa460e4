package rollout

import (
	"sync"
	"time"
)

const (
	// silenceLimit is the time without a view of any peer after which a daemon sends nothing to a target, because a verdict
	// would not reach it.
	silenceLimit = 2 * time.Second
	// pauseLimit is the time between evaluations above which the process counts as having been paused. What it knows may
	// then be out of date. It is five intervals, so that a busy machine does not count.
	pauseLimit = 5 * evaluateInterval
	// settleTime is the time after a start or a pause in which a daemon gives no positive verdict. It is twice the
	// interval between views.
	settleTime = time.Second
)

// contact tells whether what this daemon knows of the others is up to date.
type contact struct {
	mu sync.Mutex
	// startedAt is the time of the first call, and resumedAt that of the first evaluation after a start or a pause.
	startedAt, resumedAt time.Time
	evaluatedAt, heardAt time.Time
	hasPeers             bool
	limit                time.Duration
}

// start records the time of the first use.
func (c *contact) start(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.startedAt.IsZero() {
		c.startedAt, c.resumedAt = now, now
	}
	return c.startedAt
}

// recordEvaluation records an evaluation. A silence of limit bars targets.
func (c *contact) recordEvaluation(now time.Time, hasPeers bool, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.evaluatedAt) > pauseLimit {
		c.resumedAt = now
	}
	c.evaluatedAt, c.hasPeers, c.limit = now, hasPeers, limit
}

func (c *contact) recordView(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heardAt = now
}

// isCurrent reports whether this daemon may send requests to a target.
func (c *contact) isCurrent(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.evaluatedAt) > pauseLimit || now.Sub(c.startedAt) < silenceLimit && c.heardAt.IsZero() {
		return false
	}
	return !c.hasPeers || now.Sub(c.heardAt) <= c.limit && c.heardAt.After(c.resumedAt)
}

// isSettled reports whether this daemon may give a positive verdict.
func (c *contact) isSettled(now time.Time) bool {
	current := c.isCurrent(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	return current && now.Sub(c.resumedAt) >= settleTime
}
