package daemon

import (
	"context"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"radishhollow/core/config"
	"radishhollow/core/kv"
	"radishhollow/core/lease"
	"radishhollow/core/order"
	"radishhollow/core/route"
	"radishhollow/io/engine"
	"radishhollow/io/keyvalue"
	"radishhollow/io/settings"
	"radishhollow/io/telemetry"
)

// leaseMarginDivisor sets the margin of the place lease to a fifth of its TTL. Like lease.DefaultMargin, it covers
// clock drift and the time between a check of the lease and the send that follows it.
const leaseMarginDivisor = 5

var controlProviders = fx.Provide(newLeaseHolder, newDispatcher)

func newLeaseHolder(s settings.Settings, id Identity, store kv.Store, client *keyvalue.Client, log *logrus.Logger) *lease.Holder {
	return &lease.Holder{
		Store: store, Place: id.place, Address: id.address, TTL: s.Timeouts.LeaseTTL.Duration,
		Era:    client.Eras.Current,
		Margin: s.Timeouts.LeaseTTL.Duration / leaseMarginDivisor, OrderTimeout: s.Timeouts.Order.Duration,
		Observe: func(class string) { log.WithField("place", id.place).WithField("lease", class).Info("place lease") },
	}
}

func newDispatcher(
	s settings.Settings, id Identity, documents *config.Store, table *route.Table, holder *lease.Holder, engines *engine.Client,
	m *telemetry.Metrics,
) *order.Dispatcher {
	return &order.Dispatcher{
		Planner:  &order.Planner{Place: id.place, ModelOf: table.ListedName},
		Document: documents.Current,
		Reports:  func() []route.Report { return table.Reports(route.KindModel) },
		Check:    holder.Check,
		// An order that is not visible in any report by then was lost, or was undone by a late order of a previous
		// lease holder.
		RepeatAfter:   s.Timeouts.Order.Duration + s.Timeouts.OrderSettle.Duration,
		TakeoverDelay: s.Timeouts.OrderSettle.Duration, OrderTimeout: s.Timeouts.Order.Duration,
		VersionDrain: s.Timeouts.VersionDrain.Duration,
		Send: func(ctx context.Context, o order.Order, token uint64) error {
			return sendOrder(ctx, engines, o, token)
		},
		Observe: func(class string) { m.Count(telemetry.Orders, class) },
	}
}

func sendOrder(ctx context.Context, engines *engine.Client, o order.Order, token uint64) error {
	spec := o.Spec
	return engines.Order(ctx, o.Address, engine.Order{
		Kind: string(o.Kind), Model: spec.Model(), Version: spec.Version(), Adapter: spec.Adapter(),
		AdapterVersion: spec.AdapterVersion(), FencingToken: token,
	})
}
