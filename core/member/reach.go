package member

import (
	"sync"
	"time"
)

// Reach judges whether the daemon is cut off from the platform and all peers.
type Reach struct {
	// Bound is the time without any contact after which the daemon is isolated.
	Bound time.Duration

	mu   sync.Mutex
	last time.Time
}

// Contact records an answer of the platform, or an exchange with a peer in either direction.
func (r *Reach) Contact() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = time.Now()
}

// Isolated tells whether the last contact is longer ago than the bound, or there was none yet.
func (r *Reach) Isolated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last.IsZero() || time.Since(r.last) > r.Bound
}
