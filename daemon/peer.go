package daemon

import (
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"radishhollow/core/config"
	"radishhollow/core/kv"
	"radishhollow/core/limit"
	"radishhollow/core/member"
	"radishhollow/core/route"
	"radishhollow/io/peer"
	"radishhollow/io/settings"
	"radishhollow/io/telemetry"
)

var peerProviders = fx.Provide(newIsolationDetector, newMembers, newNode, newExchanger, newRegistrar, newPeerServer, newPeerKeyReloader)

func newIsolationDetector(s settings.Settings) *member.IsolationDetector {
	return &member.IsolationDetector{Timeout: s.Timeouts.Isolation.Duration}
}

// newMembers returns the table of peers. The table passes new marks on endpoints, which come from peers or from the
// refresher, to the routing table.
func newMembers(s settings.Settings, table *route.Table) *member.Table {
	return &member.Table{
		Self:       s.PeerListen,
		PeerExpiry: s.Timeouts.PeerExpiry.Duration,
		MarkExpiry: s.Timeouts.MarkExpiry.Duration,
		OnMark: func(mark member.Mark) {
			table.MergeMark(mark.Address, mark.Incarnation, mark.Dead, mark.Age)
		},
	}
}

// newNode returns the state that the daemon exchanges with its peers. With settings.InterfaceForward, nothing
// configures the limiter or adds marks, so a daemon's views contain only its identity, drain state, revisions and
// members.
func newNode(
	id Identity, drain *Drain, members *member.Table, documents *config.Store, isolation *member.IsolationDetector,
	table *route.Table, limiter *limit.Limiter, freshness *config.Freshness, m *telemetry.Metrics, s settings.Settings,
) (*peer.Node, error) {
	keys, err := decodeKeys("peer-keys", s.PeerKeys)
	if err != nil {
		return nil, err
	}
	node := &peer.Node{
		Address: id.address, Incarnation: id.incarnation, Place: id.place, LinkMbps: s.Forward.LinkMbps,
		Draining:      drain.Draining,
		PublishDemand: func() []member.Demand { return publishDemand(limiter) },
		// The table's list has no revision. With settings.InterfaceForward, newEndpointList replaces this function.
		Listings: func() ([]route.Listing, kv.Revision, bool) {
			list, known := table.Listings()
			return list, kv.Revision{}, known
		},
		Table: members, Store: documents, Freshness: freshness, Isolation: isolation, Metrics: m,
	}
	node.Keys.Set(keys)
	return node, nil
}

// publishDemand returns the demand to send to the peers. The limiter records it as published.
func publishDemand(limiter *limit.Limiter) []member.Demand {
	var list []member.Demand
	for workspace, d := range limiter.PublishDemand() {
		list = append(list, member.Demand{
			Workspace: workspace, RequestsPerSecond: d.RequestsPerSecond, TokensPerSecond: d.TokensPerSecond,
			Concurrency: d.Concurrency,
		})
	}
	return list
}

func newExchanger(s settings.Settings, node *peer.Node, log *logrus.Logger) *peer.Exchanger {
	exchanger := &peer.Exchanger{
		Node:     node,
		HTTP:     peer.NewHTTPClient(node.Metrics),
		Seeds:    s.Peers,
		Interval: s.Timeouts.ExchangeInterval.Duration,
		Fanout:   s.Limits.ExchangeFanout,
		Timeout:  s.Timeouts.Peer.Duration,

		OnTransfer: transferLogger{metrics: node.Metrics, log: log}.fromPeer,
	}
	// A mark that is new to this daemon is most likely new to other peers too, so it triggers an exchange.
	// fx constructs all components before it calls the first OnStart hook, so nothing calls OnMark yet.
	mergeMark := node.Table.OnMark
	node.Table.OnMark = func(m member.Mark) {
		mergeMark(m)
		exchanger.TriggerExchange()
	}
	return exchanger
}

func newRegistrar(
	s settings.Settings, store kv.Store, node *peer.Node, exchanger *peer.Exchanger, drain *Drain, log *logrus.Logger,
) *peer.Registrar {
	registrar := &peer.Registrar{
		KV: store, Node: node, TTL: s.Timeouts.LeaseTTL.Duration, WatchWait: s.Timeouts.WatchWait.Duration,
		RelistInterval: s.Timeouts.ConfigPoll.Duration, BatchDelay: memberBatchDelay,
		// A daemon that starts learns what its peers know, such as quarantined parts, as soon as it knows them.
		OnListed: func(revision kv.Revision) {
			if drain.peers != nil {
				drain.peers.recordList(revision)
			}
			exchanger.TriggerExchange()
		},
		OnLost: func(what string, before, revision kv.Revision) {
			node.Metrics.Count(telemetry.Eras, what)
			log.WithFields(logrus.Fields{
				"lost": what, "before": before.String(), "revision": revision.String(),
			}).Warn("store has lost an entry of the daemons; writing it again")
		},
		OnReplaced: func(revision kv.Revision) {
			log.WithField("revision", revision.String()).Warn("an earlier daemon at this address has left its registration")
		},
	}
	if s.Interface == settings.InterfaceForward {
		// The relay batches the changes. A further pause would let shared keys reach some daemons later than others, which
		// would not believe each other until then.
		registrar.BatchDelay, registrar.ShareKeys = 0, len(s.PeerKeys) == 0
		drain.peers = &peerCatchUp{startedAt: time.Now(), members: node.Table, documents: node.Store}
	}
	return registrar
}

// memberBatchDelay limits how often the list of daemons is read while many start at once.
const memberBatchDelay = time.Second

func newPeerServer(node *peer.Node, exchanger *peer.Exchanger) *peer.Server {
	return &peer.Server{Node: node, OnNewerRevision: exchanger.EnqueueFetch}
}
