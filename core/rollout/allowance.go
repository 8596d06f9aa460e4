package rollout

import (
	"sync"
	"time"
)

// maxTokens bounds the requests that a daemon saves up, so that a target that has been without endpoints does not get them
// in one burst.
const maxTokens = 5

// The steps in which requests move to the target while shifting.
const (
	firstStep, secondStep = 0.25, 0.5
	stepTime              = 700 * time.Millisecond
	// shiftTime is the time after which all requests go to the target.
	shiftTime = 2 * stepTime
)

// pace decides which requests of this daemon go to the target.
type pace struct {
	mu sync.Mutex
	// tokens is the number of requests that may go to the target while observing.
	tokens    float64
	accruedAt time.Time
	// perSecond is the rate at which tokens accrue with time, and perRequest the part of a token for each request.
	perSecond, perRequest float64
	// alternate states that the last request went to the target. The next one does not, so that there is always something
	// to compare the target with.
	alternate bool
	// carry is the part of a request that is due to the target while shifting.
	carry float64
}

// setRate sets the rates from now on.
func (p *pace) setRate(now time.Time, perSecond, perRequest float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accrue(now)
	p.perSecond, p.perRequest = perSecond, perRequest
}

func (p *pace) accrue(now time.Time) {
	if !p.accruedAt.IsZero() {
		p.add(p.perSecond * max(now.Sub(p.accruedAt), 0).Seconds())
	}
	p.accruedAt = now
}

func (p *pace) add(tokens float64) { p.tokens = min(p.tokens+tokens, maxTokens) }

func (p *pace) recordRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(p.perRequest)
}

func (p *pace) take(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accrue(now)
	p.alternate = !p.alternate && p.tokens >= 1
	if p.alternate {
		p.tokens--
	}
	return p.alternate
}

func (p *pace) giveBack() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.alternate = false
	p.add(1)
}

// shift reports whether the next request goes to the target, some time after the start of shifting. While a suspicion is
// unresolved, the part stays at the first step.
func (p *pace) shift(elapsed time.Duration, isSuspect bool) bool {
	if elapsed >= shiftTime && !isSuspect {
		return true
	}
	part := firstStep
	if elapsed >= stepTime && !isSuspect {
		part = secondStep
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.carry += part
	if p.carry < 1 {
		return false
	}
	p.carry--
	return true
}
