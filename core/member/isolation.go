package member

import (
	"sync"
	"time"
)

// IsolationDetector detects that the daemon has lost contact with the platform and all peers. It is safe for concurrent
// use.
type IsolationDetector struct {
	// Timeout is the time without any contact after which the daemon is isolated.
	Timeout time.Duration

	mu          sync.Mutex
	lastContact time.Time
}

// RecordContact records a response from the platform, or an exchange with a peer that either side started.
func (d *IsolationDetector) RecordContact() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastContact = time.Now()
}

// Isolated reports whether the last contact is longer ago than Timeout, or there has been none yet.
func (d *IsolationDetector) Isolated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastContact.IsZero() || time.Since(d.lastContact) > d.Timeout
}
