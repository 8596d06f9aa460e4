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

// supervisors holds the two Supervisors of a daemon. The duties are what a stopping daemon hands over to others at once:
// its registration, leases and orders. The knowledge is what it needs to serve until its last request is complete.
type supervisors struct {
	duties    *Supervisor
	knowledge *Supervisor
}

func newSupervisors(c components) supervisors {
	return supervisors{
		duties: newLoggingSupervisor(c.Metrics, c.Log,
			Component{Name: "registration", Run: c.Registrar.Run},
			Component{Name: "lease", Run: c.Holder.Run},
			Component{Name: "orders", Run: c.Dispatcher.Run},
		),
		knowledge: newLoggingSupervisor(c.Metrics, c.Log,
			Component{Name: "instances", Run: c.InstancePoller.Run},
			Component{Name: "configuration", Run: c.Syncer.Run},
			Component{Name: "revisions", Run: c.RevisionLogger.Run},
			Component{Name: "reload", Run: c.Reloader.Run},
			Component{Name: "daemons", Run: c.Registrar.RunList},
			Component{Name: "exchange", Run: c.Exchanger.Run},
			Component{Name: "refresh", Run: c.Refresher.Run},
			Component{Name: "model-poller", Run: c.Pollers.models.Run},
			Component{Name: "service-poller", Run: c.Pollers.services.Run},
			Component{Name: "claims", Run: c.ClaimRecorder.Run},
		),
	}
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

// supervisorRunner runs a supervisor in the background and shuts the daemon down if it fails.
type supervisorRunner struct {
	supervisor *Supervisor
	shutdown   fx.Shutdowner
	log        *logrus.Logger
	cancel     context.CancelFunc
	done       chan struct{}
}

// supervisorRunners holds the runners of the supervisors.
type supervisorRunners struct{ duties, knowledge *supervisorRunner }

func newSupervisorRunners(s supervisors, shutdown fx.Shutdowner, log *logrus.Logger) supervisorRunners {
	return supervisorRunners{
		duties:    &supervisorRunner{supervisor: s.duties, shutdown: shutdown, log: log},
		knowledge: &supervisorRunner{supervisor: s.knowledge, shutdown: shutdown, log: log},
	}
}

// stopKnowledge must be called before the listeners are registered, because fx stops in reverse order: the drain then
// ends before the components that its requests need.
func stopKnowledge(lifecycle fx.Lifecycle, runners supervisorRunners) {
	lifecycle.Append(fx.Hook{OnStop: runners.knowledge.stop})
}

// runSupervisors must be called after the listeners are registered. The duties then end before the drain, and the daemon
// is not ready before that, because a duty may wait for an answer of the platform.
func runSupervisors(lifecycle fx.Lifecycle, runners supervisorRunners, drain *Drain) {
	lifecycle.Append(fx.Hook{OnStart: runners.knowledge.start})
	lifecycle.Append(fx.Hook{OnStart: runners.duties.start, OnStop: runners.duties.stop})
	lifecycle.Append(fx.Hook{OnStop: func(context.Context) error {
		drain.begin()
		return nil
	}})
}

func (s *supervisorRunner) start(context.Context) error {
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(context.Background())
	s.done = make(chan struct{})
	go s.run(ctx)
	return nil
}

// stop ends the supervisor and waits for it. It does nothing if the daemon failed to start before the supervisor.
func (s *supervisorRunner) stop(context.Context) error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	<-s.done
	return nil
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
