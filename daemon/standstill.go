package daemon

import (
	"sync"
	"time"
)

// minStandstill is the time between two calls of observe from which a daemon counts as having stood still.
const minStandstill = 300 * time.Millisecond

// standstillDetector tells when the process last went on after it had stood still, for example because it was stopped or its
// machine was out of CPU time. It is safe for concurrent use.
type standstillDetector struct {
	mu sync.Mutex
	// observed is the time of the last observation, and ended the end of the last standstill, or zero.
	observed, ended time.Time
}

// observe notes that the process runs. It must be called more often than minStandstill.
func (d *standstillDetector) observe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.update(time.Now())
}

// age returns the time since the end of the last standstill, and false if there has been none.
func (d *standstillDetector) age() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if !d.observed.IsZero() {
		d.update(now)
	}
	return now.Sub(d.ended), !d.ended.IsZero()
}

// update notes the end of a standstill. The caller must hold mu.
func (d *standstillDetector) update(now time.Time) {
	if !d.observed.IsZero() && now.Sub(d.observed) >= minStandstill {
		d.ended = now
	}
	d.observed = now
}
