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
	"radishhollow/io/settings"
	"radishhollow/io/telemetry"
)

var controlParts = fx.Provide(newHolder, newDispatcher)

func newHolder(s settings.Settings, id Identity, store kv.Store, log *logrus.Logger) *lease.Holder {
	return &lease.Holder{
		Store: store, Place: id.place, Address: id.address, TTL: s.Timeouts.LeaseTTL.Duration,
		Margin: s.Timeouts.LeaseTTL.Duration / 5, OrderTimeout: s.Timeouts.Order.Duration,
		Observe: func(class string) { log.WithField("place", id.place).WithField("lease", class).Info("place lease") },
	}
}

func newDispatcher(
	s settings.Settings, id Identity, store *config.Store, table *route.Table, holder *lease.Holder, engines *engine.Client,
	m *telemetry.Metrics,
) *order.Dispatcher {
	return &order.Dispatcher{
		Planner:  &order.Planner{Place: id.place, ModelOf: table.ListedName},
		Document: store.Current,
		Reports:  func() []route.Report { return table.Reports(route.KindModel) },
		Check:    holder.Check,
		// An order that no report shows by then was lost, or undone by a late order of an earlier holder.
		RepeatAfter:   s.Timeouts.Order.Duration + s.Timeouts.OrderSettle.Duration,
		TakeoverDelay: s.Timeouts.OrderSettle.Duration, OrderTimeout: s.Timeouts.Order.Duration,
		VersionDrain: s.Timeouts.VersionDrain.Duration,
		Send: func(ctx context.Context, o order.Order, fence uint64) error {
			return sendOrder(ctx, engines, o, fence)
		},
		Observe: func(class string) { m.Count(telemetry.Orders, class) },
	}
}

func sendOrder(ctx context.Context, engines *engine.Client, o order.Order, fence uint64) error {
	spec := o.Spec
	return engines.Order(ctx, o.Address, engine.Order{
		Kind: string(o.Kind), Model: spec.Model(), Version: spec.Version(), Adapter: spec.Adapter(),
		AdapterVersion: spec.AdapterVersion(), FencingToken: fence,
	})
}
