// Package memory bounds the memory that messages of many connections take together while they are read or passed on.
package memory

import "sync/atomic"

// Budget is the memory that messages share. A nil Budget and one with a Limit of zero have no limit. It is safe for
// concurrent use.
type Budget struct {
	// Limit is the number of bytes. It must be set before the first call.
	Limit int64

	used atomic.Int64
}

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

func (b *Budget) reserve(n int64) bool {
	if b == nil {
		return true
	}
	for {
		used := b.used.Load()
		if b.Limit > 0 && used+n > b.Limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

func (b *Budget) release(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}
