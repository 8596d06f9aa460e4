package limit

import (
	"math"
	"time"
)

// demandWindow is the time constant of the moving averages of demand.
const demandWindow = 5 * time.Second

// Demand is the load that callers offer to one daemon, including refused requests.
type Demand struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	Concurrency       int
}

// PeerDemand is the demand at another daemon by workspace. Fresh is false if that demand is out of date.
type PeerDemand struct {
	Address      string
	Fresh        bool
	PerWorkspace map[string]Demand
}

// meter measures demand as exponentially decaying sums.
type meter struct {
	updatedAt time.Time
	requests  float64
	tokens    float64
	// refusedConcurrency counts the requests that were refused because of the concurrency limit.
	refusedConcurrency float64
}

func (m *meter) decay(now time.Time) {
	if !m.updatedAt.IsZero() {
		factor := math.Exp(-now.Sub(m.updatedAt).Seconds() / demandWindow.Seconds())
		m.requests *= factor
		m.tokens *= factor
		m.refusedConcurrency *= factor
	}
	m.updatedAt = now
}

func (m *meter) record(now time.Time, tokens int) {
	m.decay(now)
	m.requests++
	m.tokens += float64(tokens)
}

func (m *meter) demand(now time.Time, inFlight int) Demand {
	m.decay(now)
	return Demand{
		RequestsPerSecond: m.requests / demandWindow.Seconds(),
		TokensPerSecond:   m.tokens / demandWindow.Seconds(),
		Concurrency:       inFlight + int(math.Ceil(m.refusedConcurrency/demandWindow.Seconds())),
	}
}
