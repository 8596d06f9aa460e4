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
	Revisions  *revisions
	Reload     *reload
	Registrar  *peer.Registrar
	Exchanger  *peer.Exchanger
	Refresh    *refresh
	Pollers    pollers
	Keeper     *claim.Recorder
	Holder     *lease.Holder
	Dispatcher *order.Dispatcher
}

func newSupervisor(t tree) *Supervisor {
	return supervise(t.Metrics, t.Log,
		Child{Name: "instances", Run: t.Instances.Run},
		Child{Name: "configuration", Run: t.Syncer.Run},
		Child{Name: "revisions", Run: t.Revisions.Run},
		Child{Name: "reload", Run: t.Reload.Run},
		Child{Name: "registration", Run: t.Registrar.Run},
		Child{Name: "exchange", Run: t.Exchanger.Run},
		Child{Name: "refresh", Run: t.Refresh.Run},
		Child{Name: "model-poller", Run: t.Pollers.models.Run},
		Child{Name: "service-poller", Run: t.Pollers.services.Run},
		Child{Name: "claims", Run: t.Keeper.Run},
		Child{Name: "lease", Run: t.Holder.Run},
		Child{Name: "orders", Run: t.Dispatcher.Run},
	)
}

// supervise returns the Supervisor of the children, which logs restarts.
func supervise(m *telemetry.Metrics, log *logrus.Logger, children ...Child) *Supervisor {
	return &Supervisor{
		Metrics: m, Children: children,
		Restarted: func(name string, err error) {
			log.WithField("component", name).WithError(err).Warn("component restarts")
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
