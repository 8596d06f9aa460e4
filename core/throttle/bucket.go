package throttle

import (
	"math"
	"time"
)

const (
	// burst is the number of tokens that a bucket holds.
	burst = 1.0
	// tokenRounding is the part of a token that rounding may lose.
	tokenRounding = 1e-9
)

// bucket is a token bucket. It starts empty, so that daemons that start, return or are newly chosen bring no burst.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) reset(now time.Time) {
	b.tokens, b.at = 0, now
}

// earn adds what has accrued since the last call.
func (b *bucket) earn(now time.Time, perSecond float64) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.tokens, b.at = min(burst, b.tokens+elapsed*perSecond), now
	}
}

// wait returns the time until there is a token.
func (b *bucket) wait(perSecond float64) time.Duration {
	if b.hasToken() {
		return 0
	}
	return time.Duration(math.Ceil((1 - b.tokens) / perSecond * float64(time.Second)))
}

func (b *bucket) hasToken() bool { return b.tokens >= 1-tokenRounding }

func (b *bucket) take() bool {
	if !b.hasToken() {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}

func (b *bucket) giveBack() {
	b.tokens = min(burst, b.tokens+1)
}
