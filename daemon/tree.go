package daemon

import (
	"context"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"radishhollow/core/claim"
	"radishhollow/core/config"
	"radishhollow/core/lease"
	"radishhollow/core/order"
	"radishhollow/io/peer"
	"radishhollow/io/telemetry"
)

// tree are the components that run for the life of a daemon.
type tree struct {
	fx.In

	Metrics    *telemetry.Metrics
	Log        *logrus.Logger
	Instances  *instances
	Syncer     *config.Syncer
	Registrar  *peer.Registrar
	Exchanger  *peer.Exchanger
	Refresh    *refresh
	Pollers    pollers
	Keeper     *claim.Keeper
	Holder     *lease.Holder
	Dispatcher *order.Dispatcher
}

func newSupervisor(t tree) *Supervisor {
	return &Supervisor{
		Metrics: t.Metrics,
		Restarted: func(name string, err error) {
			t.Log.WithField("component", name).WithError(err).Warn("component restarts")
		},
		Children: []Child{
			{Name: "instances", Run: t.Instances.Run},
			{Name: "configuration", Run: t.Syncer.Run},
			{Name: "registration", Run: t.Registrar.Run},
			{Name: "exchange", Run: t.Exchanger.Run},
			{Name: "refresh", Run: t.Refresh.Run},
			{Name: "model-poller", Run: t.Pollers.models.Run},
			{Name: "service-poller", Run: t.Pollers.services.Run},
			{Name: "claims", Run: t.Keeper.Run},
			{Name: "lease", Run: t.Holder.Run},
			{Name: "orders", Run: t.Dispatcher.Run},
		},
	}
}

// supervision runs the supervisor in the background and ends the daemon where it fails.
type supervision struct {
	supervisor *Supervisor
	shutdown   fx.Shutdowner
	log        *logrus.Logger
	cancel     context.CancelFunc
	done       chan struct{}
}

func runSupervisor(lifecycle fx.Lifecycle, shutdown fx.Shutdowner, supervisor *Supervisor, log *logrus.Logger) {
	s := &supervision{supervisor: supervisor, shutdown: shutdown, log: log, done: make(chan struct{})}
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			var ctx context.Context
			ctx, s.cancel = context.WithCancel(context.Background())
			go s.run(ctx)
			return nil
		},
		OnStop: func(context.Context) error {
			s.cancel()
			<-s.done
			return nil
		},
	})
}

func (s *supervision) run(ctx context.Context) {
	defer close(s.done)
	err := s.supervisor.Run(ctx)
	if err == nil {
		return
	}
	s.log.WithError(err).Error("daemon ends")
	if err := s.shutdown.Shutdown(fx.ExitCode(1)); err != nil {
		s.log.WithError(err).Error("shutdown")
	}
}
