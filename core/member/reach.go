package member

import (
	"sync"
	"time"
)

// IsolationDetector judges whether the daemon is cut off from the platform and all peers.
type IsolationDetector struct {
	// Timeout is the time without any contact after which the daemon is isolated.
	Timeout time.Duration

	mu   sync.Mutex
	last time.Time
}

// RecordContact records an answer of the platform, or an exchange with a peer in either direction.
func (r *IsolationDetector) RecordContact() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = time.Now()
}

// Isolated tells whether the last contact is longer ago than the bound, or there was none yet.
func (r *IsolationDetector) Isolated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last.IsZero() || time.Since(r.last) > r.Timeout
}
