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

var policyParts = fx.Provide(newPolicy, newQueue, retry.Default, newRefresh)

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
	// refreshInterval is short against the 2 s within which a leaving endpoint must get no new work.
	refreshInterval = 200 * time.Millisecond
	// demandInterval is that of the peer exchange; at 440 peers each reading of their demand takes 6 ms.
	demandInterval = time.Second
)

// refresh carries state between the parts that decide: the configuration and the peers' demand into the limits, the
// endpoints' slots into the queue, and marks on endpoints to the peers.
type refresh struct {
	store     *config.Store
	table     *route.Table
	queue     *share.Queue
	limiter   *limit.Limiter
	members   *member.Table
	exchanger *peer.Exchanger
	drain     *Drain
	stale     time.Duration
	revision  uint64
	observed  time.Time
	peers     []limit.PeerDemand
}

func newRefresh(
	s settings.Settings, store *config.Store, table *route.Table, queue *share.Queue, limiter *limit.Limiter,
	members *member.Table, exchanger *peer.Exchanger, drain *Drain,
) *refresh {
	return &refresh{
		store: store, table: table, queue: queue, limiter: limiter, members: members, exchanger: exchanger,
		drain: drain, stale: s.Timeouts.Isolation.Duration,
	}
}

// Run refreshes until ctx ends.
func (r *refresh) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		r.step()
		select {
		case <-ticker.C:
		case <-r.store.Changed():
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

func (r *refresh) step() {
	document := r.store.Current()
	if document.Revision() != r.revision {
		r.revision = document.Revision()
		r.limiter.Apply(document.Workspaces())
		r.table.SetResumePreference(route.ResumePreferenceFor(document.Settings().ResumePreference))
	}
	if time.Since(r.observed) >= demandInterval {
		r.observed = time.Now()
		r.peers = r.peerDemand()
		r.limiter.ObservePeers(r.peers)
	}
	r.setCapacity(document)
	r.announceMarks()
	r.drain.survey()
}

func (r *refresh) peerDemand() []limit.PeerDemand {
	var list []limit.PeerDemand
	for _, p := range r.members.Peers() {
		age, known := p.LastSeenAge()
		demand := limit.PeerDemand{
			Address: p.Address(), Fresh: known && age <= r.stale, PerWorkspace: map[string]limit.Demand{},
		}
		for _, d := range p.Demand(r.stale) {
			demand.PerWorkspace[d.Workspace] = limit.Demand{
				RequestsPerSecond: d.RequestsPerSecond, TokensPerSecond: d.TokensPerSecond, Concurrency: d.Concurrency,
			}
		}
		list = append(list, demand)
	}
	return list
}

// announceMarks tells the peers of endpoints that this daemon has seen leaving.
func (r *refresh) announceMarks() {
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
