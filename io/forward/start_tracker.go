package forward

import (
	"sync"
	"time"
)

const (
	// startPeriod is the time after its first event for which a run still counts as starting. An engine that ends because
	// of a prompt ends as it begins to answer, and the end of its connections takes a round trip to show.
	startPeriod = 250 * time.Millisecond
	// lateTimerThreshold is the delay of a timer above which this process counts as paused. The end of a connection may
	// then wait unread.
	lateTimerThreshold = 50 * time.Millisecond
)

// startTracker tracks whether a run is still starting: from its send until its second event, the complete response, or
// startPeriod after its first event, whichever comes first. It is safe for concurrent use.
type startTracker struct {
	// onLived is called at most once, when the run has outlived its start. It must not call the tracker.
	onLived func()

	mu     sync.Mutex
	events int
	timer  *time.Timer
	due    time.Time
	// done is set when the run has outlived its start or has ended.
	done bool
}

// recordEvent notes that the run has delivered an event.
func (t *startTracker) recordEvent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events++
	if t.done {
		return
	}
	if t.events > 1 {
		t.setLived()
		return
	}
	t.due = time.Now().Add(startPeriod)
	t.timer = time.AfterFunc(startPeriod, t.runTimer)
}

// recordCompletion notes that the response is complete. A response without events may be one that was cut off, because
// the end of the connection can end a response.
func (t *startTracker) recordCompletion() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.done && t.events > 0 {
		t.setLived()
	}
}

// stop ends the tracking and reports whether the run was still starting. It may be called again.
func (t *startTracker) stop() (starting bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	starting = !t.done
	t.finish()
	return starting
}

func (t *startTracker) runTimer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done {
		return
	}
	if now := time.Now(); now.Sub(t.due) > lateTimerThreshold {
		t.due = now.Add(startPeriod)
		t.timer.Reset(startPeriod)
		return
	}
	t.setLived()
}

func (t *startTracker) setLived() {
	t.finish()
	t.onLived()
}

func (t *startTracker) finish() {
	t.done = true
	if t.timer != nil {
		t.timer.Stop()
	}
}
