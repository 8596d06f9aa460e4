package generation

import (
	"cmp"
	"time"
)

// Defaults of Pace.
const (
	// DefaultFloor lies above the gaps that a batch change or a garbage collection causes at a 67 ms token gap.
	DefaultFloor = 300 * time.Millisecond
	// DefaultCeiling leaves half a second for the resume within the p95 target of 1.5 s after a freeze.
	DefaultCeiling = time.Second
	// DefaultFirst covers the wait in the engine's queue and the prefill.
	DefaultFirst = 2 * time.Second
	// DefaultDeviations follows the retransmission timeout of TCP, with a wider margin as a failover costs a prefill.
	DefaultDeviations = 6
)

// Timeouts derives a stream's silence deadline from its observed gaps. Zero fields take their defaults.
type Timeouts struct {
	Floor      time.Duration
	Ceiling    time.Duration
	First      time.Duration
	Deviations float64

	mean      float64
	deviation float64
	seen      int
}

// costPace waits longer before it gives an engine up, because each failover costs a prefill. Its ceiling leaves a third
// of a second for the resume within the p95 target of 1.5 s after a freeze.
var costPace = Timeouts{Floor: 500 * time.Millisecond, Ceiling: 1150 * time.Millisecond, Deviations: 10}

// TimeoutsFor returns the deadlines of a resume-preference. Any value but cost counts as latency.
func TimeoutsFor(preference string) Timeouts {
	if preference == "cost" {
		return costPace
	}
	return Timeouts{}
}

// IsZero tells whether all parameters take their defaults.
func (p Timeouts) IsZero() bool { return p == Timeouts{} }

// Observe adds one gap between chunks.
func (p *Timeouts) Observe(gap time.Duration) {
	p.seen++
	if p.seen == 1 {
		p.mean, p.deviation = float64(gap), float64(gap)/2
		return
	}
	// The weights are those of RFC 6298.
	diff := float64(gap) - p.mean
	p.mean += diff / 8
	p.deviation += (max(diff, -diff) - p.deviation) / 4
}

// Deadline returns the silence after which the engine counts as lost, once it has sent its first token.
func (p *Timeouts) Deadline() time.Duration {
	floor, ceiling := p.floor(), cmp.Or(p.Ceiling, DefaultCeiling)
	if p.seen == 0 {
		return ceiling
	}
	deviations := p.Deviations
	if deviations == 0 {
		deviations = DefaultDeviations
	}
	return min(max(time.Duration(p.mean+deviations*p.deviation), floor), ceiling)
}

func (p *Timeouts) floor() time.Duration { return cmp.Or(p.Floor, DefaultFloor) }

// FirstDeadline returns the wait for an attempt's first token.
func (p *Timeouts) FirstDeadline() time.Duration { return cmp.Or(p.First, DefaultFirst) }
