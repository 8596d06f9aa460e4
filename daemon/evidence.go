package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"radishhollow/core/booking"
	"radishhollow/core/evidence"
	"radishhollow/core/member"
	"radishhollow/core/reach"
	"radishhollow/core/route"
	"radishhollow/io/forward"
	"radishhollow/io/peer"
	"radishhollow/io/telemetry"
	"radishhollow/platform"
)

// touchSpan is the time without news of any peer after which this daemon may be cut off. It covers four intervals of the exchange.
const touchSpan = 2 * time.Second

// judging states for which services endpoints are judged. With its zero value nothing is recorded, exchanged or judged.
type judging struct {
	// rollouts is set where the settings have roll-outs.
	rollouts bool
	// statesSlowdown reports whether an endpoint of a service states its slowdown. It may be nil.
	statesSlowdown func(service string) bool
	// target and inFlight are the seams of evidence.Register for roll-outs. They may be nil.
	target   func(service string) string
	inFlight func() []evidence.InFlight
}

// newJudging returns where endpoints are judged. The slowdown that endpoints state does not switch it on: on routes that
// usually fail now and then, each failure makes daemons exchange reports.
func newJudging(rollouts *rollouts) judging { return judging{rollouts: rollouts != nil} }

func (j judging) isPossible() bool { return j.rollouts || j.statesSlowdown != nil }

func (j judging) inForce(service string) bool {
	return j.rollouts || (j.statesSlowdown != nil && j.statesSlowdown(service))
}

// evidenceJudge judges the endpoints from time to time. Its register is nil where endpoints are not judged.
type evidenceJudge struct{ register *evidence.Register }

// Run judges until ctx ends.
func (j *evidenceJudge) Run(ctx context.Context) error {
	if j.register == nil {
		<-ctx.Done()
		return errors.Trace(ctx.Err())
	}
	ticker := time.NewTicker(evidence.JudgeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			j.register.Judge()
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

// newEvidenceJudge returns the judge of the endpoints, and makes the daemons exchange what they have seen and the routing table
// skip endpoints that are set aside.
func newEvidenceJudge(
	j judging, id Identity, drain *Drain, members *member.Table, table *route.Table, peers *peer.Exchanger, m *telemetry.Metrics,
	log *logrus.Logger,
) *evidenceJudge {
	if !j.isPossible() {
		return &evidenceJudge{}
	}
	register := &evidence.Register{
		Self: id.address, Incarnation: id.incarnation, InForce: j.inForce, Target: j.target, InFlight: j.inFlight,
		Endpoints: table.EvidenceEndpoints, OnNews: peers.TriggerExchange,
		InTouch:  func() bool { return isInTouch(members) },
		Members:  func() []string { return servingMembers(id, drain, members) },
		OnChange: func(change evidence.Change) { recordChange(change, m, log) },
	}
	m.Gauge(telemetry.EndpointsSetAside, func() float64 { return float64(register.CountSetAside()) })
	// fx constructs all components before the first OnStart, so neither the table nor the node serves yet.
	table.Evidence = register
	peers.Node.Observations = register.Exchanged
	peers.Node.MergeObservations = func(reports []evidence.Report) {
		if register.Merge(reports) {
			peers.TriggerExchange()
		}
	}
	return &evidenceJudge{register: register}
}

// isInTouch reports whether this daemon has news of a peer, or knows none.
func isInTouch(members *member.Table) bool { return hasNews(members, touchSpan) }

// hasNews reports whether this daemon has news of a peer that are at most maxAge old, or knows no peer.
func hasNews(members *member.Table, maxAge time.Duration) bool {
	peers := members.Peers()
	return len(peers) == 0 || slices.ContainsFunc(peers, func(p member.Peer) bool {
		age, known := p.LastSeenAge()
		return known && age < maxAge
	})
}

// recordChange counts and logs an endpoint that is set aside or returns, with the figures that decided it.
func recordChange(change evidence.Change, m *telemetry.Metrics, log *logrus.Logger) {
	entry := log.WithFields(logrus.Fields{
		"service": change.Service, "route": change.Route, "endpoint": change.Endpoint, "kind": change.Kind,
	})
	if !change.SetAside {
		m.Count(telemetry.Evidence, "returned")
		entry.WithFields(logrus.Fields{"trials": change.Trials, "after-ms": change.After.Milliseconds()}).
			Info("endpoint returns")
		return
	}
	m.Count(telemetry.Evidence, change.Kind)
	entry.WithFields(logrus.Fields{
		"requests": change.Requests, "bad": change.Bad, "other-requests": change.OtherRequests, "other-bad": change.OtherBad,
		"daemons": change.Daemons,
	}).Warn("endpoint set aside")
}

// useEvidence makes the server and the sender of plain calls record the results of their attempts.
func useEvidence(server *forward.Server, sender *booking.Sender, judge *evidenceJudge, detector *reach.Detector) {
	if judge.register == nil {
		return
	}
	failures := &failureRecorder{detector: detector}
	server.ObserveResult = streamResultRecorder(judge.register, failures)
	sender.Send = recordingSend(judge.register, failures, platform.Format(), sender.Send)
}

// failureRecorder records failures only where this daemon reaches endpoints. Its own lost links would otherwise count
// against sound endpoints at all daemons.
type failureRecorder struct{ detector *reach.Detector }

// record calls the function, in the background once it is known that this daemon is not stranded, or at once if an endpoint
// has just responded.
func (f *failureRecorder) record(function func()) {
	if age, known := f.detector.Contact(); known && age < responseSpan {
		function()
		return
	}
	go f.run(function)
}

// responseSpan is the time within which the result of a response is recorded after its arrival.
const responseSpan = 20 * time.Millisecond

func (f *failureRecorder) run(function func()) {
	if !f.detector.Verify(context.Background()) {
		function()
	}
}

// streamResultRecorder returns a function that records the results of attempts of streams.
func streamResultRecorder(r *evidence.Register, failures *failureRecorder) func(choice route.Choice, result forward.StreamResult, wait time.Duration) {
	return func(choice route.Choice, result forward.StreamResult, wait time.Duration) {
		key := evidenceKey(choice)
		switch result {
		case forward.StreamAnswered:
			r.Record(key, false, r.IsSlow(key, wait), wait)
		case forward.StreamFailed:
			failures.record(func() { r.Record(key, true, false, wait) })
		case forward.StreamBroken:
			failures.record(func() { r.RecordBroken(key) })
		}
	}
}

// sendFunc is the type of booking.Sender.Send.
type sendFunc = func(ctx context.Context, choice route.Choice, r booking.Request) (booking.Response, error)

// recordingSend returns a function that records the results of a function that sends plain calls.
func recordingSend(register *evidence.Register, failures *failureRecorder, format forward.Format, send sendFunc) sendFunc {
	return func(ctx context.Context, choice route.Choice, r booking.Request) (booking.Response, error) {
		response, err := send(ctx, choice, r)
		if failed, known := format.BufferedResult(choice, response.Status, response.Header, err); known {
			key, d := evidenceKey(choice), time.Since(choice.PickedAt())
			record := func() { register.Record(key, failed, !failed && register.IsSlow(key, d), d) }
			if err == nil {
				record()
			} else {
				failures.record(record)
			}
		}
		return response, err
	}
}

func evidenceKey(choice route.Choice) evidence.Key {
	return evidence.Key{
		Service: choice.Service(), Route: choice.Route(), Version: choice.Version(), Endpoint: choice.Incarnation(),
	}
}
