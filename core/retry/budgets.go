// Package retry limits retries to a share of the requests, so that failures don't multiply load.
package retry

import (
	"container/list"
	"sync"
	"time"
)

// Budgets holds a token bucket per key. Set the fields before the first call; use Default for usual values.
// It is safe for concurrent use.
type Budgets struct {
	// Ratio is the part of a retry that each Earn adds.
	Ratio float64
	// PerSecond refills a bucket, so that keys with few requests can retry too.
	PerSecond float64
	// Burst bounds a bucket.
	Burst float64
	// Initial fills the bucket of a new key. It is below Burst, since a forgotten key starts with it again.
	Initial float64
	// MaxKeys bounds the keys; the one used longest ago is forgotten first.
	MaxKeys int

	mu      sync.Mutex
	buckets map[string]*list.Element
	recent  list.List
}

type bucket struct {
	key    string
	tokens float64
	at     time.Time
}

// Default returns Budgets that allow one retry in ten requests and small bursts.
func Default() *Budgets {
	return &Budgets{Ratio: 0.1, PerSecond: 0.2, Burst: 20, Initial: 5, MaxKeys: 16384}
}

// TakeRetry uses one retry of the key's budget and reports false where none is left.
func (b *Budgets) TakeRetry(key string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.bucket(key, time.Now())
	if u.tokens < 1 {
		return false
	}
	u.tokens--
	return true
}

// RecordRequest adds the part of a retry that one request earns.
func (b *Budgets) RecordRequest(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.bucket(key, time.Now())
	u.tokens = min(u.tokens+b.Ratio, b.Burst)
}

// Len returns the number of keys kept.
func (b *Budgets) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.recent.Len()
}

func (b *Budgets) bucket(key string, now time.Time) *bucket {
	if b.buckets == nil {
		b.buckets = make(map[string]*list.Element)
	}
	if e := b.buckets[key]; e != nil {
		b.recent.MoveToFront(e)
		u := e.Value.(*bucket)
		u.tokens = min(u.tokens+now.Sub(u.at).Seconds()*b.PerSecond, b.Burst)
		u.at = now
		return u
	}
	if b.recent.Len() >= max(b.MaxKeys, 1) {
		oldest := b.recent.Remove(b.recent.Back()).(*bucket)
		delete(b.buckets, oldest.key)
	}
	u := &bucket{key: key, tokens: min(b.Initial, b.Burst), at: now}
	b.buckets[key] = b.recent.PushFront(u)
	return u
}
