// Package retry limits retries to a fraction of the requests, so that failures do not multiply the load. Budgets limits
// the retries of one daemon, Window those of all daemons together.
package retry

import (
	"container/list"
	"sync"
	"time"
)

// Budgets is a set of retry budgets: a token bucket for each key, in which one token is one retry. Set the fields
// before the first call, or use Default. It is safe for concurrent use.
type Budgets struct {
	// Ratio is the number of retries that each request adds.
	Ratio float64
	// RefillPerSecond is the number of retries added per second, so that keys with few requests can retry too.
	RefillPerSecond float64
	// Burst is the largest number of retries in a bucket.
	Burst float64
	// Initial is the number of retries in the bucket of a new key. It should be below Burst, so that a key that returns
	// after its eviction does not start with a full bucket.
	Initial float64
	// MaxKeys is the largest number of keys. The least recently used key is evicted first.
	MaxKeys int

	mu      sync.Mutex
	buckets map[string]*list.Element
	lru     list.List
}

type bucket struct {
	key      string
	tokens   float64
	refilled time.Time
}

// Default returns Budgets that allow one retry per ten requests and small bursts.
func Default() *Budgets {
	return &Budgets{Ratio: 0.1, RefillPerSecond: 0.2, Burst: 20, Initial: 5, MaxKeys: 16384}
}

// TakeRetry takes one retry from the key's budget and reports false if none is left.
func (b *Budgets) TakeRetry(key string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bkt := b.bucket(key, time.Now())
	if bkt.tokens < 1 {
		return false
	}
	bkt.tokens--
	return true
}

// ReturnRetry gives back a retry that TakeRetry took for an attempt which was not made.
func (b *Budgets) ReturnRetry(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bkt := b.bucket(key, time.Now())
	bkt.tokens = min(bkt.tokens+1, b.Burst)
}

// RecordRequest adds Ratio retries for one request to the key's budget.
func (b *Budgets) RecordRequest(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bkt := b.bucket(key, time.Now())
	bkt.tokens = min(bkt.tokens+b.Ratio, b.Burst)
}

// Len returns the number of keys.
func (b *Budgets) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lru.Len()
}

// bucket returns the key's bucket, refilled for the time since its last use. For a new key, it may evict another.
func (b *Budgets) bucket(key string, now time.Time) *bucket {
	if b.buckets == nil {
		b.buckets = make(map[string]*list.Element)
	}
	if elem := b.buckets[key]; elem != nil {
		b.lru.MoveToFront(elem)
		bkt := elem.Value.(*bucket)
		bkt.tokens = min(bkt.tokens+now.Sub(bkt.refilled).Seconds()*b.RefillPerSecond, b.Burst)
		bkt.refilled = now
		return bkt
	}
	if b.lru.Len() >= max(b.MaxKeys, 1) {
		oldest := b.lru.Remove(b.lru.Back()).(*bucket)
		delete(b.buckets, oldest.key)
	}
	bkt := &bucket{key: key, tokens: min(b.Initial, b.Burst), refilled: now}
	b.buckets[key] = b.lru.PushFront(bkt)
	return bkt
}
