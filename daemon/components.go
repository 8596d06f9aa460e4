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

// components holds the components that a daemon with settings.InterfaceOwn runs for its lifetime.
type components struct {
	fx.In

	Metrics        *telemetry.Metrics
	Log            *logrus.Logger
	InstancePoller *instancePoller
	Syncer         *config.Syncer
	RevisionLogger *revisionLogger
	Reloader       *peerKeyReloader
	Registrar      *peer.Registrar
	Exchanger      *peer.Exchanger
	Refresher      *refresher
	Pollers        pollers
	ClaimRecorder  *claim.Recorder
	Holder         *lease.Holder
	Dispatcher     *order.Dispatcher
}

func newSupervisor(c components) *Supervisor {
	return newLoggingSupervisor(c.Metrics, c.Log,
		Component{Name: "instances", Run: c.InstancePoller.Run},
		Component{Name: "configuration", Run: c.Syncer.Run},
		Component{Name: "revisions", Run: c.RevisionLogger.Run},
		Component{Name: "reload", Run: c.Reloader.Run},
		Component{Name: "registration", Run: c.Registrar.Run},
		Component{Name: "exchange", Run: c.Exchanger.Run},
		Component{Name: "refresh", Run: c.Refresher.Run},
		Component{Name: "model-poller", Run: c.Pollers.models.Run},
		Component{Name: "service-poller", Run: c.Pollers.services.Run},
		Component{Name: "claims", Run: c.ClaimRecorder.Run},
		Component{Name: "lease", Run: c.Holder.Run},
		Component{Name: "orders", Run: c.Dispatcher.Run},
	)
}

// newLoggingSupervisor returns a Supervisor that logs restarts.
func newLoggingSupervisor(m *telemetry.Metrics, log *logrus.Logger, components ...Component) *Supervisor {
	return &Supervisor{
		Metrics: m, Components: components,
		OnRestart: func(name string, err error) {
			log.WithField("component", name).WithError(err).Warn("component restarts")
		},
	}
}

// supervisorRunner runs the supervisor in the background and shuts the daemon down if it fails.
type supervisorRunner struct {
	supervisor *Supervisor
	shutdown   fx.Shutdowner
	log        *logrus.Logger
	cancel     context.CancelFunc
	done       chan struct{}
}

func runSupervisor(lifecycle fx.Lifecycle, shutdown fx.Shutdowner, supervisor *Supervisor, log *logrus.Logger) {
	s := &supervisorRunner{supervisor: supervisor, shutdown: shutdown, log: log, done: make(chan struct{})}
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

func (s *supervisorRunner) run(ctx context.Context) {
	defer close(s.done)
	err := s.supervisor.Run(ctx)
	if err == nil {
		return
	}
	// This line precedes the drain; RunServe logs the same message after it.
	s.log.WithError(err).Error("daemon ends")
	if err := s.shutdown.Shutdown(fx.ExitCode(1)); err != nil {
		s.log.WithError(err).Error("shutdown")
	}
}
