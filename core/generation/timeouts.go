package generation

import (
	"cmp"
	"time"
)

// Defaults of Timeouts.
const (
	// DefaultTimeoutFloor is above the gaps that a batch change or a garbage collection causes in a stream with 67 ms
	// between tokens.
	DefaultTimeoutFloor = 300 * time.Millisecond
	// DefaultTimeoutCeiling leaves half a second for the resume, whose p95 target is 1.5 s after an engine freezes.
	DefaultTimeoutCeiling = time.Second
	// DefaultFirstChunkTimeout covers the wait in the engine's queue and the prefill.
	DefaultFirstChunkTimeout = 2 * time.Second
	// DefaultTimeoutDeviations is the number of deviations above the mean gap, as in TCP's retransmission timeout but
	// with a wider margin, because a failover costs a prefill.
	DefaultTimeoutDeviations = 6
)

// Timeouts derives the silence after which a stream counts as lost from the observed gaps between its chunks. Zero
// fields stand for the defaults. It is not safe for concurrent use.
type Timeouts struct {
	// Floor and Ceiling bound the derived timeout. Ceiling is the timeout until a gap has been observed.
	Floor   time.Duration
	Ceiling time.Duration
	// First is the timeout for an attempt's first chunk.
	First time.Duration
	// Deviations is the number of deviations by which the derived timeout exceeds the mean gap.
	Deviations float64

	meanGap      float64
	gapDeviation float64
	gaps         int
}

// costTimeouts waits longer before an engine is given up, because each failover costs a prefill. Its ceiling leaves a
// third of a second for the resume, whose p95 target is 1.5 s after an engine freezes.
var costTimeouts = Timeouts{Floor: 500 * time.Millisecond, Ceiling: 1150 * time.Millisecond, Deviations: 10}

// TimeoutsFor returns the timeouts for a resume-preference. Any value but cost counts as latency.
func TimeoutsFor(preference string) Timeouts {
	if preference == "cost" {
		return costTimeouts
	}
	return Timeouts{}
}

// IsZero reports whether all parameters have their defaults and no gap has been observed.
func (t Timeouts) IsZero() bool { return t == Timeouts{} }

// ObserveGap adds one gap between two chunks to the estimate.
func (t *Timeouts) ObserveGap(gap time.Duration) {
	t.gaps++
	if t.gaps == 1 {
		t.meanGap, t.gapDeviation = float64(gap), float64(gap)/2
		return
	}
	// The weights are those of RFC 6298.
	diff := float64(gap) - t.meanGap
	t.meanGap += diff / 8
	t.gapDeviation += (max(diff, -diff) - t.gapDeviation) / 4
}

// ChunkTimeout returns the silence after which the engine counts as lost, once it has sent its first chunk.
func (t *Timeouts) ChunkTimeout() time.Duration {
	floor, ceiling := t.floor(), cmp.Or(t.Ceiling, DefaultTimeoutCeiling)
	if t.gaps == 0 {
		return ceiling
	}
	deviations := t.Deviations
	if deviations == 0 {
		deviations = DefaultTimeoutDeviations
	}
	return min(max(time.Duration(t.meanGap+deviations*t.gapDeviation), floor), ceiling)
}

func (t *Timeouts) floor() time.Duration { return cmp.Or(t.Floor, DefaultTimeoutFloor) }

// FirstChunkTimeout returns the timeout for an attempt's first chunk.
func (t *Timeouts) FirstChunkTimeout() time.Duration {
	return cmp.Or(t.First, DefaultFirstChunkTimeout)
}
