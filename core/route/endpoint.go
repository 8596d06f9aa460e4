package route

import "time"

// State is what an endpoint or the platform's list says about its readiness for work.
type State string

// States of an endpoint.
const (
	StateReady   State = "ready"
	StateLoading State = "loading"
	StateLeaving State = "leaving"
)

// Listing is one row of the platform's instance list.
type Listing struct {
	Address     string
	Incarnation string
	Place       string
	Kind        Kind
	Name        string
	Leaving     bool
	// Slots is the number of requests that the endpoint runs at once; 0 where the list does not tell.
	Slots int
	// WarmUp is the time for which the endpoint stays slow after its start.
	WarmUp time.Duration
	// StartedAtMS tells starts under the same incarnation apart; 0 where the list does not tell.
	StartedAtMS int64
	// Revision is the revision of the registration, by which the newest of an address is told; 0 where the list has none.
	Revision uint64
}

// Report is one load report of an endpoint.
type Report struct {
	Address              string
	Incarnation          string
	State                State
	Place                string
	Sequence             uint64
	Running              int
	Waiting              int
	Slots                int
	CacheBlocksUsed      int
	CacheBlocks          int
	WaitingPrefillTokens int
	// PrefillRate is in tokens per second.
	PrefillRate float64
	TokenGap    time.Duration
	Role        string
	// MaxFencingToken is the highest fencing token that the engine has seen.
	MaxFencingToken uint64
	// Specs lists every loaded model and adapter in the form of generation.Spec.
	Specs []string
}
