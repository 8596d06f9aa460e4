package forward

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"radishhollow/core/config"
)

const (
	// durationWindowCalls is the number of calls after which the older half of the calls of a service is forgotten. The
	// highest hundredth of so many calls is known well enough.
	durationWindowCalls = 1000
	// minKnownCalls is the number of calls below which the highest hundredth is not known, and the latency objective of the
	// route counts as observed, too.
	minKnownCalls = 100
	// maxCallDuration bounds a recorded duration. No grace time is so long that more precision would matter.
	maxCallDuration = time.Hour
)

// callKey identifies calls that take about equally long.
type callKey struct {
	service string
	kind    config.RouteKind
}

// callDurations estimates by service and kind how long calls take whose response is not streamed. It keeps the latest
// one to two thousand of each, without regard to their age. It is safe for concurrent use.
type callDurations struct {
	mu    sync.Mutex
	byKey map[callKey]*hdrhistogram.WindowedHistogram
}

// record adds the duration of a call.
func (d *callDurations) record(key callKey, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	window := d.byKey[key]
	if window == nil {
		if len(d.byKey) >= maxDurationServices {
			clear(d.byKey)
		}
		if d.byKey == nil {
			d.byKey = map[callKey]*hdrhistogram.WindowedHistogram{}
		}
		window = hdrhistogram.NewWindowed(2, 1, maxCallDuration.Milliseconds(), 1)
		d.byKey[key] = window
	}
	if window.Current.TotalCount() >= durationWindowCalls {
		window.Rotate()
	}
	// The value is within the bounds of the histogram.
	_ = window.Current.RecordValue(max(min(duration, maxCallDuration).Milliseconds(), 1))
}

// quantile returns the duration within which so many percent of the calls are complete, and the number of calls on which
// it rests.
func (d *callDurations) quantile(key callKey, percent float64) (duration time.Duration, calls int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	window := d.byKey[key]
	if window == nil {
		return 0, 0
	}
	merged := window.Merge()
	return time.Duration(merged.ValueAtQuantile(percent)) * time.Millisecond, merged.TotalCount()
}
