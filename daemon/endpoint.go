package daemon

import (
	"context"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"radishhollow/core/generation"
	"radishhollow/core/route"
	"radishhollow/io/engine"
	"radishhollow/io/service"
	"radishhollow/io/settings"
	"radishhollow/io/telemetry"
)

var endpointProviders = fx.Provide(newEngineClient, newServiceClient, newCanceler, newSpuriousFailovers, newPollers)

func newEngineClient(s settings.Settings, table *route.Table) *engine.Client {
	return &engine.Client{HTTP: engine.NewHTTPClient(s.Timeouts.Connect.Duration), Observe: leavingObserver(table)}
}

func newServiceClient(lifecycle fx.Lifecycle, s settings.Settings, table *route.Table) *service.Client {
	client := service.New(s.Timeouts.Connect.Duration, s.Timeouts.EndpointIdle.Duration)
	client.Observe = leavingObserver(table)
	lifecycle.Append(fx.Hook{OnStop: func(context.Context) error { return client.Close() }})
	return client
}

// leavingObserver returns a function that marks an endpoint as leaving if a response header says so.
func leavingObserver(table *route.Table) func(address, incarnation, state string) {
	return func(address, incarnation, state string) {
		if state == string(route.StateLeaving) && incarnation != "" {
			table.MarkLeaving(address, incarnation)
		}
	}
}

func newCanceler(lifecycle fx.Lifecycle, client *engine.Client) *generation.Canceler {
	canceler := &generation.Canceler{Send: client.Cancel}
	lifecycle.Append(fx.Hook{OnStop: func(context.Context) error { return canceler.Close() }})
	return canceler
}

// pollers holds the pollers of load reports for both kinds of endpoints.
type pollers struct {
	models   *engine.Poller
	services *engine.Poller
}

func newPollers(
	s settings.Settings, table *route.Table, engines *engine.Client, services *service.Client, m *telemetry.Metrics, log *logrus.Logger,
) pollers {
	onPanic := panicRecorder("poller", m, log)
	return pollers{
		models: &engine.Poller{
			Table: table, Kind: route.KindModel, BusyInterval: s.Timeouts.LoadPoll.Duration, Load: engines.Load,
			CacheEvents: engines.CacheEvents, OnPanic: onPanic,
		},
		services: &engine.Poller{
			Table: table, Kind: route.KindService, BusyInterval: s.Timeouts.LoadPoll.Duration, Load: services.Load,
			OnPanic: onPanic,
		},
	}
}

// panicRecorder returns a function that counts and logs a panic in the background work of a component.
func panicRecorder(component string, m *telemetry.Metrics, log *logrus.Logger) func(err error) {
	return func(err error) {
		m.Count(telemetry.Panics, component)
		log.WithField("component", component).WithError(err).Error("panic in the background")
	}
}
