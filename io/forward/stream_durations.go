package forward

import (
	"sync"
	"time"
)

const (
	// durationDecay is the divisor by which the longest duration approaches each shorter one that follows it, so that a
	// single long stream counts for some hundred others.
	durationDecay = 256
	// maxDurationServices bounds the services with an estimate. The services come from the configuration, and those that it
	// no longer names are not removed.
	maxDurationServices = 1024
)

// streamDurations estimates by service how long complete streams take at most. Callers learn late that a stream is cut,
// and soon that it is refused, so the estimate is a decaying maximum and no mean. It is safe for concurrent use.
type streamDurations struct {
	mu        sync.Mutex
	byService map[string]time.Duration
}

// record adds the duration of a complete stream.
func (d *streamDurations) record(service string, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	longest, known := d.byService[service]
	if !known && len(d.byService) >= maxDurationServices {
		clear(d.byService)
	}
	if d.byService == nil {
		d.byService = map[string]time.Duration{}
	}
	d.byService[service] = max(duration, longest-(longest-duration)/durationDecay)
}

// longest returns the time within which nearly all streams of a service are complete, and false if none has been.
func (d *streamDurations) longest(service string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	longest, known := d.byService[service]
	return longest, known
}
