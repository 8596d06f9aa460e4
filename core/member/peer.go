package member

import (
	"strings"
	"time"
)

// Peer is one other daemon. It is a copy of the table's state at one time.
type Peer struct {
	address     string
	incarnation string
	place       string
	revision    uint64
	digest      string
	draining    bool
	listed      bool
	heard       time.Time
	demand      map[string]heardDemand
}

type heardDemand struct {
	demand Demand
	heard  time.Time
}

// Address returns the peer's IP address and port.
func (p Peer) Address() string { return p.address }

// Incarnation returns the peer's incarnation.
func (p Peer) Incarnation() string { return p.incarnation }

// Place returns the peer's place.
func (p Peer) Place() string { return p.place }

// Revision returns the configuration revision that the peer last reported.
func (p Peer) Revision() uint64 { return p.revision }

// Digest returns the digest of that revision, or an empty text where it came from a third daemon.
func (p Peer) Digest() string { return p.digest }

// Draining tells whether the peer takes no new requests.
func (p Peer) Draining() bool { return p.draining }

// Listed tells whether the platform's list has the peer.
func (p Peer) Listed() bool { return p.listed }

// LastSeenAge tells whether any daemon has heard from the peer, and how long ago.
func (p Peer) LastSeenAge() (time.Duration, bool) {
	if p.heard.IsZero() {
		return 0, false
	}
	return time.Since(p.heard), true
}

// Demand returns the peer's demand by workspace that is not older than maxAge.
func (p Peer) Demand(maxAge time.Duration) []Demand {
	var list []Demand
	for _, d := range p.demand {
		if time.Since(d.heard) <= maxAge {
			list = append(list, d.demand)
		}
	}
	return list
}

// Newer tells whether incarnation a is higher than b. Decimal numbers are ordered by value, other texts of one length
// by bytes.
func Newer(a, b string) bool {
	a, b = strings.TrimLeft(a, "0"), strings.TrimLeft(b, "0")
	if len(a) != len(b) {
		return len(a) > len(b)
	}
	return a > b
}
