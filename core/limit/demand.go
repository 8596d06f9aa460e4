package limit

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the moving averages of demand.
const demandTimeConstant = 5 * time.Second

// Demand is the load that callers offer to one daemon, including refused requests.
type Demand struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	Concurrency       int
}

// PeerDemand is the demand at another daemon by workspace.
type PeerDemand struct {
	Address string
	// Fresh states that this daemon or another one has recently received a message from the peer; otherwise the peer is
	// stale. It says nothing about the age of the demand, which arrives only in messages from the peer itself.
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
		factor := math.Exp(-now.Sub(m.updatedAt).Seconds() / demandTimeConstant.Seconds())
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

// demand returns the averages. Its Concurrency is the number of requests in flight plus the number refused per second
// because of the concurrency limit.
func (m *meter) demand(now time.Time, inFlight int) Demand {
	m.decay(now)
	return Demand{
		RequestsPerSecond: m.requests / demandTimeConstant.Seconds(),
		TokensPerSecond:   m.tokens / demandTimeConstant.Seconds(),
		Concurrency:       inFlight + int(math.Ceil(m.refusedConcurrency/demandTimeConstant.Seconds())),
	}
}
