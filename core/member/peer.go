package member

import (
	"strings"
	"time"
)

// Peer holds what the table knows about one other daemon. Table.Peers returns copies, which do not change.
type Peer struct {
	address     string
	incarnation string
	place       string
	linkMbps    float64
	revision    uint64
	digest      string
	draining    bool
	// stranded is set while the peer reaches no endpoint, as its last view or refusal said at heardAt. contactAt is the time of
	// its last contact with one, or zero.
	stranded  bool
	serves    bool // requests of peers that reach no endpoint
	heardAt   time.Time
	contactAt time.Time
	listed    bool
	lastSeen  time.Time
	demand    map[string]receivedDemand
}

type receivedDemand struct {
	demand     Demand
	receivedAt time.Time
}

// Address returns the peer's IP address and port.
func (p Peer) Address() string { return p.address }

// Incarnation returns the peer's incarnation.
func (p Peer) Incarnation() string { return p.incarnation }

// Place returns the peer's place.
func (p Peer) Place() string { return p.place }

// Revision returns the configuration revision that the peer last reported.
func (p Peer) Revision() uint64 { return p.revision }

// Digest returns the digest of the revision that Revision returns, or an empty string if another daemon reported that
// revision.
func (p Peer) Digest() string { return p.digest }

// Draining reports whether the drain of the peer's planned stop has begun.
func (p Peer) Draining() bool { return p.draining }

// Listed reports whether the platform lists the peer, which means that the peer is registered in the key-value service.
func (p Peer) Listed() bool { return p.listed }

// LastSeenAge returns the time since any daemon last received a message from the peer, and false if none has yet.
func (p Peer) LastSeenAge() (time.Duration, bool) {
	if p.lastSeen.IsZero() {
		return 0, false
	}
	return time.Since(p.lastSeen), true
}

// Demand returns the peer's demand for each workspace, except values that were received more than maxAge ago.
func (p Peer) Demand(maxAge time.Duration) []Demand {
	var list []Demand
	for _, d := range p.demand {
		if time.Since(d.receivedAt) <= maxAge {
			list = append(list, d.demand)
		}
	}
	return list
}

// Newer reports whether incarnation a is higher than b. Without leading zeros, a longer incarnation is higher, and
// incarnations of equal length are compared by bytes. Decimal numbers are thus ordered by value.
func Newer(a, b string) bool {
	a, b = strings.TrimLeft(a, "0"), strings.TrimLeft(b, "0")
	if len(a) != len(b) {
		return len(a) > len(b)
	}
	return a > b
}
