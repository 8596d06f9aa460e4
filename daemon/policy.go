package daemon

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/fx"

	"radishhollow/core/config"
	"radishhollow/core/limit"
	"radishhollow/core/member"
	"radishhollow/core/retry"
	"radishhollow/core/route"
	"radishhollow/core/share"
	"radishhollow/io/peer"
	"radishhollow/io/settings"
)

var policyProviders = fx.Provide(newPolicy, newQueue, retry.Default, newRefresher)

func newPolicy(s settings.Settings) route.Policy {
	policy := route.DefaultPolicy()
	policy.SubsetSize = s.Limits.SubsetSize
	policy.Seed = uint64(time.Now().UnixNano())
	return policy
}

func newTable(id Identity, policy route.Policy) *route.Table { return route.New(id.address, policy) }

func newQueue(s settings.Settings) *share.Queue {
	limits := share.DefaultLimits()
	limits.Total = s.Limits.QueueLength
	limits.PerWorkspace = min(limits.PerWorkspace, limits.Total)
	return share.New(limits)
}

func newLimiter(id Identity) *limit.Limiter {
	return &limit.Limiter{Address: id.address}
}

const (
	// refreshInterval is the longest time between two refreshes. It is short compared with the 2 s within which a
	// leaving endpoint must stop getting new work.
	refreshInterval = 200 * time.Millisecond
	// demandInterval is the interval between two reads of the peers' demand. It equals the default interval of the peer
	// exchange, which delivers the demand. Each read takes 6 ms with 440 peers, too long for every refresh.
	demandInterval = time.Second
)

// refresher passes state between components: the configuration and the peers' demand to the limiter, the endpoints'
// slots to the queue, and marks on endpoints to the peers. It runs only with settings.InterfaceOwn.
type refresher struct {
	documents       *config.Store
	table           *route.Table
	queue           *share.Queue
	limiter         *limit.Limiter
	members         *member.Table
	exchanger       *peer.Exchanger
	drain           *Drain
	peerDemandTTL   time.Duration
	appliedRevision uint64
	demandReadAt    time.Time
	peerDemands     []limit.PeerDemand
}

func newRefresher(
	s settings.Settings, documents *config.Store, table *route.Table, queue *share.Queue, limiter *limit.Limiter,
	members *member.Table, exchanger *peer.Exchanger, drain *Drain,
) *refresher {
	return &refresher{
		documents: documents, table: table, queue: queue, limiter: limiter, members: members, exchanger: exchanger,
		drain: drain, peerDemandTTL: s.Timeouts.Isolation.Duration,
	}
}

// Run refreshes until ctx ends.
func (r *refresher) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		r.refresh()
		select {
		case <-ticker.C:
		// A change after refresh has read the configuration and before this call is applied at the next tick.
		case <-r.documents.Changed():
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

func (r *refresher) refresh() {
	document := r.documents.Current()
	if document.Revision() != r.appliedRevision {
		r.appliedRevision = document.Revision()
		r.limiter.Apply(document.Workspaces())
		r.table.SetResumePreference(route.ResumePreferenceFor(document.Settings().ResumePreference))
	}
	if time.Since(r.demandReadAt) >= demandInterval {
		r.demandReadAt = time.Now()
		r.peerDemands = r.readPeerDemands()
		r.limiter.ObservePeers(r.peerDemands)
	}
	r.setCapacity(document)
	r.announceMarks()
	r.drain.checkInitialized()
}

// readPeerDemands returns the demand that each peer has sent to this daemon. A peer counts as fresh if this daemon or
// any other has received a message from it within peerDemandTTL.
func (r *refresher) readPeerDemands() []limit.PeerDemand {
	var list []limit.PeerDemand
	for _, p := range r.members.Peers() {
		age, known := p.LastSeenAge()
		demand := limit.PeerDemand{
			Address: p.Address(), Fresh: known && age <= r.peerDemandTTL, PerWorkspace: map[string]limit.Demand{},
		}
		for _, d := range p.Demand(r.peerDemandTTL) {
			demand.PerWorkspace[d.Workspace] = limit.Demand{
				RequestsPerSecond: d.RequestsPerSecond, TokensPerSecond: d.TokensPerSecond, Concurrency: d.Concurrency,
			}
		}
		list = append(list, demand)
	}
	return list
}

// announceMarks announces to the peers the endpoints that this daemon has observed to be leaving. It skips dead
// marks, which a daemon sets only with settings.InterfaceForward. There no refresher runs and no mark is announced, so
// daemons of this version send no dead marks. The age of a mark that peers receive starts at the announcement.
func (r *refresher) announceMarks() {
	for _, mark := range r.table.Marks() {
		if mark.Dead() {
			continue
		}
		if _, known := r.members.Marked(mark.Address(), mark.Incarnation()); known {
			continue
		}
		r.members.Mark(mark.Address(), mark.Incarnation(), false)
		r.exchanger.TriggerExchange()
	}
}
