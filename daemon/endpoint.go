package daemon

import (
	"context"

	"go.uber.org/fx"

	"radishhollow/core/generation"
	"radishhollow/core/route"
	"radishhollow/io/engine"
	"radishhollow/io/service"
	"radishhollow/io/settings"
)

var endpointParts = fx.Provide(newEngine, newService, newCanceler, newSuspects, newPollers)

func newEngine(s settings.Settings, table *route.Table) *engine.Client {
	return &engine.Client{HTTP: engine.NewHTTPClient(s.Timeouts.Connect.Duration), Observe: observeState(table)}
}

func newService(lifecycle fx.Lifecycle, s settings.Settings, table *route.Table) *service.Client {
	client := service.New(s.Timeouts.Connect.Duration, s.Timeouts.EndpointIdle.Duration)
	client.Observe = observeState(table)
	lifecycle.Append(fx.Hook{OnStop: func(context.Context) error { return client.Close() }})
	return client
}

// observeState marks an endpoint that says in a response header that it is leaving.
func observeState(table *route.Table) func(address, incarnation, state string) {
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

// pollers read the load reports of both kinds of endpoints.
type pollers struct {
	models   *engine.Poller
	services *engine.Poller
}

func newPollers(
	s settings.Settings, table *route.Table, engines *engine.Client, services *service.Client,
) pollers {
	return pollers{
		models: &engine.Poller{
			Table: table, Kind: route.KindModel, BusyInterval: s.Timeouts.LoadPoll.Duration, Load: engines.Load,
			CacheEvents: engines.CacheEvents,
		},
		services: &engine.Poller{
			Table: table, Kind: route.KindService, BusyInterval: s.Timeouts.LoadPoll.Duration, Load: services.Load,
		},
	}
}
