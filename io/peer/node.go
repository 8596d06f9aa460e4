// Package peer exchanges membership views, configuration and instance lists between daemons.
package peer

import (
	"math/rand/v2"
	"time"

	"radishhollow/core/config"
	"radishhollow/core/evidence"
	"radishhollow/core/kv"
	"radishhollow/core/member"
	"radishhollow/core/quarantine"
	"radishhollow/core/rollout"
	"radishhollow/core/route"
	"radishhollow/core/throttle"
	"radishhollow/core/version"
	"radishhollow/io/peer/rpc"
	"radishhollow/io/telemetry"
)

// Maximum numbers of items in a sent view. Control traffic is limited to 5 KB/s per daemon at the planned size, so a
// view contains a random selection of the members and of the demand, and mostly recent marks.
const (
	maxSentMembers = 8
	maxSentMarks   = 16
	maxSentDemand  = 16
	// maxSentParts is the maximum number of parts of all ends together. Each takes 8 bytes.
	maxSentEnds       = 8
	maxSentParts      = 32
	maxSentClearances = 8
	// maxSentLimits is the maximum number of limits of endpoints. Each takes about 60 bytes.
	maxSentLimits = 32
	// maxSentRollouts is the maximum number of roll-outs. Each takes about 60 bytes, and is sent in calm operation, too.
	maxSentRollouts = 16
	// maxSentHistories is the maximum number of histories of versions. Each takes about 50 bytes, and is sent in calm operation,
	// too.
	maxSentHistories = 16
	// maxSentObservations is the maximum number of reports on endpoints, which evidence.Register also bounds in size. There
	// are none in calm operation.
	maxSentObservations = 64
)

// Limits of a received view, which are above what any version sends.
const (
	maxReceivedItems = 1024
	maxStringBytes   = 256
)

// Node holds the state of this daemon that it exchanges with its peers. Its exported fields must be set before use. Its
// function fields are called concurrently.
type Node struct {
	// Address is the daemon's own peer address in the form IP:PORT.
	Address     string
	Incarnation string
	Place       string
	// LinkMbps is the rate of the daemon's link in Mbit/s, or 0 if it is not known.
	LinkMbps float64
	// Draining reports whether the drain of a planned stop has begun. The daemon still accepts requests for
	// settings.Timeouts.DrainDelay after that.
	Draining func() bool
	// PublishDemand returns the daemon's own demand for each workspace. It is called for each view that is sent, and
	// limit.Limiter counts each call as a publication of all this demand, although a view carries at most maxSentDemand
	// workspaces. It must return a new slice, because the caller reorders it.
	PublishDemand func() []member.Demand
	// Listings returns the endpoints of the platform's instance list and its revision, and false if no list has been
	// read yet. The revision is zero if the list has none. Listings may be nil if no peer calls Server.Instances; views then
	// contain no revision.
	Listings func() ([]route.Listing, kv.Revision, bool)
	// OnInstanceListRevision is called with the revision of the instance list in each merged view. It may be nil.
	OnInstanceListRevision func(revision kv.Revision)
	// Evidence returns the evidence to send, and MergeEvidence is called with that of each merged view that has any. They
	// may be nil.
	Evidence      func(maxEnds, maxClearances int) quarantine.Evidence
	MergeEvidence func(evidence quarantine.Evidence)
	// Limits returns up to max limits of endpoints to send, and MergeLimits is called with those of each merged view that has
	// any. They may be nil.
	Limits      func(max int) []throttle.Report
	MergeLimits func(limits []throttle.Report)
	// Rollouts returns the roll-outs to send, and MergeRollouts is called with those of each merged view, also if it has none.
	// They may be nil.
	Rollouts      func() []rollout.State
	MergeRollouts func(rollouts []rollout.State)
	// Observations returns up to max reports of what daemons have seen of endpoints, and MergeObservations is called with those
	// of each merged view that has any. They may be nil.
	Observations      func(max int) []evidence.Report
	MergeObservations func(reports []evidence.Report)
	// Histories returns the histories of versions to send, and MergeHistories is called with those of each merged view that has
	// any. They may be nil.
	Histories      func() []version.Report
	MergeHistories func(reports []version.Report)
	// Contact returns whether this daemon reaches no endpoint, and the time since one last responded to it, or 0 if none has.
	// A daemon that has it serves delegated requests. It may be nil.
	Contact func() (stranded bool, age time.Duration)
	// Freshness learns the revisions of the peers. It may be nil.
	Freshness *config.Freshness
	// Keys signs the messages between peers.
	Keys      Keys
	Table     *member.Table
	Store     *config.Store
	Isolation *member.IsolationDetector
	Metrics   *telemetry.Metrics
}

// view returns the view to send in an exchange.
func (n *Node) view() member.View {
	current := n.Store.Current()
	demand := n.PublishDemand()
	rand.Shuffle(len(demand), func(i, j int) { demand[i], demand[j] = demand[j], demand[i] })
	// A view contains only the revision of the list. A peer that needs the list itself calls Server.Instances.
	var listRevision kv.Revision
	if n.Listings != nil {
		_, listRevision, _ = n.Listings()
	}
	var evidence quarantine.Evidence
	if n.Evidence != nil {
		evidence = n.Evidence(maxSentEnds, maxSentClearances)
		evidence.Ends = limitParts(evidence.Ends, maxSentParts)
	}
	var limits []throttle.Report
	if n.Limits != nil {
		limits = n.Limits(maxSentLimits)
	}
	var stranded bool
	var contactAge time.Duration
	if n.Contact != nil {
		stranded, contactAge = n.Contact()
	}
	return member.View{
		InstanceListRevision: listRevision, Stranded: stranded, ContactAge: contactAge,
		ServesDelegated: n.Contact != nil,
		Address:         n.Address, Incarnation: n.Incarnation, Place: n.Place, Draining: n.Draining(),
		Revision: current.Revision(), Digest: current.Digest(),
		Demand:  demand[:min(maxSentDemand, len(demand))],
		Marks:   n.Table.Marks(maxSentMarks),
		Members: n.Table.SampleMembers(maxSentMembers),

		Evidence: evidence, Limits: limits, Rollouts: n.sentRollouts(), Observations: n.sentObservations(),
		Histories: n.sentHistories(),
	}
}

// observeRevisions reports whether the view announces a newer configuration. It passes on the revision of the instance
// list. While a peer has a different digest at the same revision, each view from it is counted as config.Refused,
// although no document was offered.
func (n *Node) observeRevisions(v member.View) bool {
	if n.OnInstanceListRevision != nil {
		n.OnInstanceListRevision(v.InstanceListRevision)
	}
	if n.Freshness != nil {
		n.Freshness.Observe(v.Revision)
	}
	current := n.Store.Current()
	if v.Revision == current.Revision() && v.Digest != current.Digest() {
		n.Metrics.Count(telemetry.Revisions, config.Refused)
	}
	return v.Revision > current.Revision()
}

// isValidView reports whether a received view is within the limits and well-formed. Other views must not be merged into
// the table.
func isValidView(v *rpc.View) bool {
	if len(v.GetMembers())+len(v.GetMarks())+len(v.GetDemand())+len(v.GetLimits())+len(v.GetRollouts())+len(v.GetObservations())+
		len(v.GetHistories())+evidenceItems(v) > maxReceivedItems {
		return false
	}
	ok := route.IsAddress(v.GetAddress()) && withinStringLimit(v.GetIncarnation(), v.GetPlace(), v.GetDigest())
	for _, m := range v.GetMembers() {
		ok = ok && route.IsAddress(m.GetAddress()) && withinStringLimit(m.GetIncarnation(), m.GetPlace())
	}
	for _, m := range v.GetMarks() {
		ok = ok && route.IsAddress(m.GetAddress()) && withinStringLimit(m.GetIncarnation())
	}
	for _, d := range v.GetDemand() {
		ok = ok && withinStringLimit(d.GetWorkspace()) && d.GetRequestsPerSecond() >= 0 && d.GetTokensPerSecond() >= 0
	}
	return ok && isValidEvidence(v) && isValidOfEndpoints(v)
}

// isValidOfEndpoints reports whether what a view tells of endpoints and their versions is well-formed.
func isValidOfEndpoints(v *rpc.View) bool {
	return areValidLimits(v.GetLimits()) && areValidRollouts(v.GetRollouts()) && areValidObservations(v.GetObservations()) &&
		areValidHistories(v.GetHistories())
}

func withinStringLimit(texts ...string) bool {
	for _, text := range texts {
		if len(text) > maxStringBytes {
			return false
		}
	}
	return true
}
