package member

import (
	"sync"
	"time"
)

// IsolationDetector judges whether the daemon is cut off from the platform and all peers.
type IsolationDetector struct {
	// Timeout is the time without any contact after which the daemon is isolated.
	Timeout time.Duration

	mu          sync.Mutex
	lastContact time.Time
}

// RecordContact records an answer of the platform, or an exchange with a peer in either direction.
func (d *IsolationDetector) RecordContact() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastContact = time.Now()
}

// Isolated tells whether the last contact is longer ago than the bound, or there was none yet.
func (d *IsolationDetector) Isolated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastContact.IsZero() || time.Since(d.lastContact) > d.Timeout
}
