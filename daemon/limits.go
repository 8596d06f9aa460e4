package daemon

import (
	"slices"

	"github.com/sirupsen/logrus"

	"radishhollow/core/member"
	"radishhollow/core/route"
	"radishhollow/core/throttle"
	"radishhollow/io/peer"
	"radishhollow/io/telemetry"
)

// newLimits returns the limits that endpoints have named, which the daemons exchange, and makes the routing table keep them.
func newLimits(
	id Identity, drain *Drain, members *member.Table, table *route.Table, peers *peer.Exchanger, m *telemetry.Metrics, log *logrus.Logger,
) *throttle.Limits {
	limits := &throttle.Limits{
		Self: id.address, OnNews: peers.TriggerExchange,
		Members: func() []string {
			if !members.HasList() {
				return nil
			}
			return servingMembers(id, drain, members)
		},
		OnChange: func(change throttle.Change) {
			m.Count(telemetry.Announcements, "limit")
			log.WithFields(logrus.Fields{
				"endpoint": change.Endpoint.Incarnation, "address": change.Endpoint.Address, "rate": change.Rate,
				"previous": change.Previous, "senders": change.Senders, "sender": change.IsSender, "from-peer": change.FromPeer,
			}).Warn("limit of endpoint " + change.Kind)
		},
	}
	m.Gauge(telemetry.LimitedEndpoints, func() float64 { return float64(limits.Count()) })
	// fx constructs all components before the first OnStart, so neither the table nor the node serves yet.
	table.Limits = limits
	table.ObserveLimited = func(rejected bool) {
		class := "elsewhere"
		if rejected {
			class = "rejected"
		}
		m.Count(telemetry.Limited, class)
	}
	peers.Node.Limits = limits.Reports
	peers.Node.MergeLimits = func(reports []throttle.Report) {
		if limits.Merge(reports) {
			peers.TriggerExchange()
		}
	}
	return limits
}

// servingMembers returns the addresses of the known daemons that serve, in ascending order, with this one unless it stops.
func servingMembers(id Identity, drain *Drain, members *member.Table) []string {
	addresses := members.ServingAddresses()
	if !drain.Draining() {
		addresses = append(addresses, id.address)
	}
	slices.Sort(addresses)
	return addresses
}
