package daemon

import (
	"context"
	"sync"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"radishhollow/core/config"
	"radishhollow/core/evidence"
	"radishhollow/core/guard"
	"radishhollow/core/kv"
	"radishhollow/core/member"
	"radishhollow/core/rollout"
	"radishhollow/core/route"
	"radishhollow/io/forward"
	"radishhollow/io/peer"
	"radishhollow/io/settings"
	"radishhollow/io/telemetry"
	"radishhollow/platform"
)

// rollouts connects the roll-outs of a daemon with the platform's store, the peers, the routing table and the log. It is nil
// where the settings do not turn roll-outs on; its methods then do nothing.
type rollouts struct {
	controller *rollout.Controller
	store      kv.Store
	table      *route.Table
	documents  *config.Store
	metrics    *telemetry.Metrics
	log        *logrus.Logger

	// mu guards the fields below.
	mu sync.Mutex
	// ordersRead is the revision up to which the orders in the store have been seen.
	ordersRead kv.Revision
	// malformed holds, by key, the revisions of the malformed orders that have been logged.
	malformed map[string]kv.Revision
}

// newRollouts returns the roll-outs, which the routing table and the exchange of views use, or nil.
func newRollouts(
	s settings.Settings, id Identity, store kv.Store, documents *config.Store, drain *Drain, members *member.Table, table *route.Table,
	peers *peer.Exchanger, m *telemetry.Metrics, log *logrus.Logger,
) *rollouts {
	limits := s.Forward.Rollouts
	if !limits.Enabled() {
		return nil
	}
	r := &rollouts{
		store: store, table: table, documents: documents, metrics: m, log: log, malformed: map[string]kv.Revision{},
	}
	r.controller = &rollout.Controller{
		Self: id.address, Share: limits.ExposureShare, Slack: limits.ExposureSlack, RollbackBound: limits.RollbackBound.Duration,
		Members:  func() []string { return servingMembers(id, drain, members) },
		Services: r.services, Endpoints: table.VersionedEndpoints, OrdersRead: r.readRevision,
		// Without evidence, only the requests in flight of this daemon are known.
		Reports: func() []evidence.Report {
			return []evidence.Report{{Daemon: id.address, Incarnation: id.incarnation, InFlight: r.inFlight()}}
		},
		ReadStatus: r.readStatus, WriteStatus: r.writeStatus, OnChange: r.logChange, OnNews: peers.TriggerExchange,
	}
	m.Gauge(telemetry.ActiveRollouts, func() float64 { return float64(len(r.active())) })
	m.Gauge(telemetry.OldInFlight, func() float64 {
		total := 0
		for _, in := range r.inFlight() {
			total += in.Requests
		}
		return float64(total)
	})
	// fx constructs all components before the first OnStart, so neither the table nor the node serves yet.
	table.Rollouts = r.controller
	peers.Node.Rollouts = r.controller.States
	peers.Node.MergeRollouts = func(states []rollout.State) {
		if r.controller.Merge(states) {
			peers.TriggerExchange()
		}
	}
	return r
}

// restrict makes a server count the requests of services for the roll-outs, and the roll-outs judge versions by the reports of a
// register, which exchanges what they need. Without a register no version is judged.
func (r *rollouts) restrict(server *forward.Server, register *evidence.Register) {
	if r == nil {
		return
	}
	record := server.RecordRequest
	server.RecordRequest = func(service string) {
		record(service)
		r.controller.RecordRequest(service)
	}
	if register != nil {
		r.controller.Reports = register.Reports
		register.Target, register.InFlight = r.target, r.inFlight
		// Without a roll-out, nothing is recorded or exchanged.
		register.InForce = func(service string) bool { return r.target(service) != "" }
	}
}

// components returns what is to run for the lifetime of the daemon.
func (r *rollouts) components() []Component {
	if r == nil {
		return nil
	}
	return []Component{{Name: "rollouts", Run: func(ctx context.Context) error {
		return guard.Run(ctx, r.runConfigChanges, func(ctx context.Context) { _ = r.controller.Run(ctx) })
	}}}
}

// runConfigChanges evaluates the roll-outs after each change of the configuration, which may have a service that an order
// waits for.
func (r *rollouts) runConfigChanges(ctx context.Context) {
	for {
		changed := r.documents.Changed()
		r.evaluate()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// evaluate brings the rules up to date with the endpoints and the configuration, which have changed.
func (r *rollouts) evaluate() {
	if r != nil {
		r.controller.Evaluate()
	}
}

func (r *rollouts) services() []string {
	services := r.documents.Current().Services()
	names := make([]string, len(services))
	for i, service := range services {
		names[i] = service.Name
	}
	return names
}

// active returns the roll-outs that have not ended.
func (r *rollouts) active() []rollout.State {
	var active []rollout.State
	for _, state := range r.controller.States() {
		if !state.Phase.IsFinal() {
			active = append(active, state)
		}
	}
	return active
}

// target returns the target of a service's roll-out, or an empty string if it has none that has not ended.
func (r *rollouts) target(service string) string {
	if r.controller.HolderRule(service).Target() == "" {
		// Most services have no roll-out, and this is called for each response.
		return ""
	}
	for _, state := range r.active() {
		if state.Service == service {
			return state.Target
		}
	}
	return ""
}

// inFlight returns the requests in flight of this daemon on endpoints of other versions than the targets.
func (r *rollouts) inFlight() []evidence.InFlight {
	var list []evidence.InFlight
	for _, state := range r.active() {
		list = append(list, evidence.InFlight{
			Service: state.Service, Target: state.Target, Requests: r.table.InFlightOutside(state.Service, state.Target),
		})
	}
	return list
}

// logChange counts and logs the change of a phase with the figures that decided it.
func (r *rollouts) logChange(change rollout.Change) {
	r.metrics.Count(telemetry.Rollouts, change.To.String())
	figures := change.Figures
	fields := logrus.Fields{
		"service": change.Service, "target": change.Target, "order": change.Revision.String(), "phase": change.To.String(),
		"age-ms": change.Age.Milliseconds(), "reason": change.Reason, "from-peer": change.FromPeer,
	}
	if change.From != 0 {
		fields["previous"] = change.From.String()
	}
	if figures.Route != "" {
		fields["route"], fields["kind"] = figures.Route, figures.Kind
		fields["endpoints"], fields["daemons"] = figures.Endpoints, figures.Daemons
	}
	if figures.TargetResponses+figures.OtherResponses > 0 {
		fields["target-responses"], fields["target-bad"] = figures.TargetResponses, figures.TargetBad
		fields["other-responses"], fields["other-bad"] = figures.OtherResponses, figures.OtherBad
	}
	level := logrus.InfoLevel
	if change.To == rollout.RolledBack {
		level = logrus.WarnLevel
	}
	r.log.WithFields(fields).Log(level, "roll-out has entered a phase")
}

// readStatus reads the status of a service from the store.
func (r *rollouts) readStatus(ctx context.Context, service string) (rollout.Status, kv.Revision, error) {
	entry, err := r.store.Get(ctx, platform.StatusKey(service))
	if _, missing := errors.AsType[kv.NotFoundError](err); missing {
		return rollout.Status{}, kv.Revision{}, nil
	}
	if err != nil {
		r.metrics.Count(telemetry.RolloutStatus, "failed")
		return rollout.Status{}, kv.Revision{}, errors.Trace(err)
	}
	status, err := platform.DecodeStatus(entry)
	if err != nil {
		// It is replaced by one that can be read.
		r.metrics.Count(telemetry.RolloutStatus, "malformed")
		r.log.WithField("key", entry.Key()).WithError(err).Warn("status of a roll-out is malformed")
		return rollout.Status{}, entry.Revision(), nil
	}
	return status, entry.Revision(), nil
}

// writeStatus writes the status of a service to the store.
func (r *rollouts) writeStatus(
	ctx context.Context, service string, status rollout.Status, ifRevision kv.Revision,
) (kv.Revision, error) {
	value, err := platform.EncodeStatus(status)
	if err != nil {
		return kv.Revision{}, errors.Trace(err)
	}
	revision, err := r.store.Put(ctx, platform.StatusKey(service), value, ifRevision, kv.Lease{})
	entry := r.log.WithFields(logrus.Fields{"service": service, "state": string(status.State), "target": status.Target})
	if _, conflict := errors.AsType[kv.ConflictError](err); conflict {
		r.metrics.Count(telemetry.RolloutStatus, "conflict")
		return kv.Revision{}, errors.Trace(err)
	}
	if err != nil {
		r.metrics.Count(telemetry.RolloutStatus, "failed")
		entry.WithError(err).Warn("status of a roll-out not written")
		return kv.Revision{}, errors.Trace(err)
	}
	r.metrics.Count(telemetry.RolloutStatus, "written")
	entry.WithField("revision", revision.String()).Info("status of a roll-out written")
	return revision, nil
}
