package route

import (
	"time"

	"radishhollow/core/kv"
)

// State is the readiness of an endpoint, as it or the platform's list reports it.
type State string

// Endpoint states.
const (
	StateReady   State = "ready"
	StateLoading State = "loading"
	StateLeaving State = "leaving"
)

// Listing is an endpoint's row in the instance list. That list is the platform's own, or is built from the
// registrations of the endpoints in the platform's store.
type Listing struct {
	Address     string
	Incarnation string
	Place       string
	Kind        Kind
	Name        string
	// Version is the version of the endpoint's software; empty if the list does not say.
	Version string
	Leaving bool
	// Slots is the number of requests that the endpoint runs at once; 0 if the list does not say.
	Slots int
	// WarmUp is the remaining time for which the endpoint is slow after its start.
	WarmUp time.Duration
	// StartedAtMS is the Unix time, in milliseconds, of the endpoint's start. It distinguishes starts under the same
	// incarnation; 0 if the list does not say.
	StartedAtMS int64
	// Sequence numbers the endpoint's own reports since its start; 0 if the list does not say.
	Sequence uint64
	// Revision is the revision of the registration, by which the newest one of an address is found; zero if the list has
	// none.
	Revision kv.Revision
}

// Report is a load report of an endpoint.
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
	// Role is mixed, prefill or decode.
	Role string
	// MaxFencingToken is the highest fencing token that the engine has received.
	MaxFencingToken uint64
	// Specs lists every loaded model and adapter in the form of generation.Spec.
	Specs []string
}
