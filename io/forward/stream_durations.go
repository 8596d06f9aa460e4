package forward

import (
	"sync"
	"time"
)

// durationWeight is the weight of a new duration in the mean and in the mean deviation, as a divisor.
const durationWeight = 8

// durationDeviations is the number of mean deviations by which typical exceeds the mean, which covers most streams.
const durationDeviations = 2

// streamDurations estimates by service how long complete streams take. It is safe for concurrent use.
type streamDurations struct {
	mu        sync.Mutex
	byService map[string]*durationEstimate
}

type durationEstimate struct{ mean, deviation time.Duration }

// maxDurationServices bounds the services with an estimate. The services come from the configuration, and those that it
// no longer names are not removed.
const maxDurationServices = 1024

// record adds the duration of a complete stream.
func (d *streamDurations) record(service string, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, known := d.byService[service]
	if !known {
		if d.byService == nil || len(d.byService) >= maxDurationServices {
			d.byService = map[string]*durationEstimate{}
		}
		d.byService[service] = &durationEstimate{mean: duration, deviation: duration / 2}
		return
	}
	difference := duration - e.mean
	e.mean += difference / durationWeight
	e.deviation += (max(difference, -difference) - e.deviation) / durationWeight
}

// typical returns the time within which most streams of a service are complete, and false if none has been.
func (d *streamDurations) typical(service string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, known := d.byService[service]
	if !known {
		return 0, false
	}
	return e.mean + durationDeviations*e.deviation, true
}
