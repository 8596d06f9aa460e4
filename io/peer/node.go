// Package peer exchanges views and configuration between daemons.
package peer

import (
	"math/rand/v2"

	"radishhollow/core/config"
	"radishhollow/core/member"
	"radishhollow/core/route"
	"radishhollow/io/peer/rpc"
	"radishhollow/io/telemetry"
)

// Bounds of one view. A daemon spends at most 5 KB/s on control at the planned size, so a view carries a random part of
// the members and of the demand, and only the newest marks.
const (
	maxSentMembers = 8
	maxSentMarks   = 16
	maxSentDemand  = 16
)

// Bounds of a received view, above what any version sends.
const (
	maxReceivedItems = 1024
	maxTextBytes     = 256
)

// Node is this daemon as its peers see it. Fields are set before use.
type Node struct {
	// Address is the daemon's own peer address in the form IP:PORT.
	Address     string
	Incarnation string
	Place       string
	// Draining tells whether the daemon takes no new requests.
	Draining func() bool
	// Demand returns the daemon's own demand by workspace.
	Demand func() []member.Demand
	// Listings returns the endpoints of the platform's instance list and its revision, and false where there was no list
	// yet. It may be nil where no peer asks for it.
	Listings func() ([]route.Listing, uint64, bool)
	// OnInstanceListRevision is told the revision of the instance list of each peer that is heard from; it may be nil.
	OnInstanceListRevision func(listing uint64)
	// Keys sign what peers tell each other.
	Keys    Keys
	Table   *member.Table
	Store   *config.Store
	Isolation   *member.IsolationDetector
	Metrics *telemetry.Metrics
}

func (n *Node) view() member.View {
	current := n.Store.Current()
	demand := n.Demand()
	rand.Shuffle(len(demand), func(i, j int) { demand[i], demand[j] = demand[j], demand[i] })
	var listing uint64
	if n.Listings != nil {
		_, listing, _ = n.Listings()
	}
	return member.View{
		InstanceListRevision: listing,
		Address:              n.Address, Incarnation: n.Incarnation, Place: n.Place, Draining: n.Draining(),
		Revision: current.Revision(), Digest: current.Digest(),
		Demand:  demand[:min(maxSentDemand, len(demand))],
		Marks:   n.Table.Marks(maxSentMarks),
		Members: n.Table.SampleMembers(maxSentMembers),
	}
}

// behind tells whether the view shows a newer configuration. It counts a digest that differs at the same revision.
func (n *Node) behind(v member.View) bool {
	if n.OnInstanceListRevision != nil {
		n.OnInstanceListRevision(v.InstanceListRevision)
	}
	current := n.Store.Current()
	if v.Revision == current.Revision() && v.Digest != current.Digest() {
		n.Metrics.Count(telemetry.Revisions, config.Refused)
	}
	return v.Revision > current.Revision()
}

// valid checks what a peer sent before it enters the table.
func valid(v *rpc.View) bool {
	if len(v.GetMembers())+len(v.GetMarks())+len(v.GetDemand()) > maxReceivedItems {
		return false
	}
	ok := route.IsAddress(v.GetAddress()) && short(v.GetIncarnation(), v.GetPlace(), v.GetDigest())
	for _, m := range v.GetMembers() {
		ok = ok && route.IsAddress(m.GetAddress()) && short(m.GetIncarnation(), m.GetPlace())
	}
	for _, m := range v.GetMarks() {
		ok = ok && route.IsAddress(m.GetAddress()) && short(m.GetIncarnation())
	}
	for _, d := range v.GetDemand() {
		ok = ok && short(d.GetWorkspace()) && d.GetRequestsPerSecond() >= 0 && d.GetTokensPerSecond() >= 0
	}
	return ok
}

func short(texts ...string) bool {
	for _, text := range texts {
		if len(text) > maxTextBytes {
			return false
		}
	}
	return true
}
