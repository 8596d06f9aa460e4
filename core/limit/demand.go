package limit

import (
	"math"
	"time"
)

// demandWindow is the time over which demand is averaged.
const demandWindow = 5 * time.Second

// Demand is what callers of one daemon ask for, refused requests included.
type Demand struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	Concurrency       int
}

// PeerDemand is the demand at another daemon by workspace.
type PeerDemand struct {
	Address      string
	Fresh        bool
	PerWorkspace map[string]Demand
}

// meter averages demand with exponential decay.
type meter struct {
	at       time.Time
	requests float64
	tokens   float64
	// refused counts the requests that found no free concurrency.
	refused float64
}

func (m *meter) decay(now time.Time) {
	if !m.at.IsZero() {
		keep := math.Exp(-now.Sub(m.at).Seconds() / demandWindow.Seconds())
		m.requests *= keep
		m.tokens *= keep
		m.refused *= keep
	}
	m.at = now
}

func (m *meter) add(now time.Time, tokens int) {
	m.decay(now)
	m.requests++
	m.tokens += float64(tokens)
}

func (m *meter) demand(now time.Time, inUse int) Demand {
	m.decay(now)
	return Demand{
		RequestsPerSecond: m.requests / demandWindow.Seconds(),
		TokensPerSecond:   m.tokens / demandWindow.Seconds(),
		Concurrency:       inUse + int(math.Ceil(m.refused/demandWindow.Seconds())),
	}
}
