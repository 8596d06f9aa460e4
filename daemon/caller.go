package daemon

import (
	"context"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"radishhollow/core/booking"
	"radishhollow/core/claim"
	"radishhollow/core/config"
	"radishhollow/core/generation"
	"radishhollow/core/kv"
	"radishhollow/core/limit"
	"radishhollow/core/retry"
	"radishhollow/core/route"
	"radishhollow/core/share"
	"radishhollow/io/caller"
	"radishhollow/io/engine"
	"radishhollow/io/keyvalue"
	"radishhollow/io/service"
	"radishhollow/io/settings"
	"radishhollow/io/telemetry"
)

var callerProviders = fx.Provide(newClaimRecorder, newBookingSender, newAdmission, newCallerServer)

func newClaimRecorder(
	s settings.Settings, store kv.Store, client *keyvalue.Client, m *telemetry.Metrics, log *logrus.Logger,
) *claim.Recorder {
	return &claim.Recorder{
		Store: store, AwaitTimeout: s.Timeouts.ClaimWait.Duration,
		Expiry:      s.Timeouts.ClaimExpiry.Duration,
		CallTimeout: min(s.Timeouts.Platform.Duration, claim.DefaultCallTimeout),
		Observe:     func(class string) { m.Count(telemetry.Claims, class) },
		Era:         client.Eras.Current,
		OnEra: func(before, after uint64, records int) {
			log.WithFields(logrus.Fields{"before": before, "era": after, "records": records}).Warn("idempotency records are written again")
		},
	}
}

func newBookingSender(
	table *route.Table, services *service.Client, recorder *claim.Recorder, budgets *retry.Budgets, log *logrus.Logger,
) *booking.Sender {
	return &booking.Sender{
		Pick: table.Pick,
		Send: func(ctx context.Context, choice route.Choice, r booking.Request) (booking.Response, error) {
			return services.Send(ctx, choice.Address(), r)
		},
		ObserveSend: sendObserver(table),
		Claim:       recorder.Claim,
		// The prefix separates the budget of a workspace's bookings from that of its generations.
		TakeRetry: func(call booking.Call) bool {
			return budgets.TakeRetry("booking/" + call.Workspace)
		},
		OnUnrecorded: func(err error) { log.WithError(err).Warn("outcome of a booking is not recorded yet") },
	}
}

// sendObserver returns a function that marks an endpoint as unreachable when a request could not be sent to it. The
// pollers of load reports detect that only after three failures, and until then the failed attempts would use up the
// retry budget. Requests canceled by their caller are ignored, because they say nothing about the endpoint. Nothing
// else is reported to the table, so the circuit breaker gets no results of these requests.
func sendObserver(table *route.Table) func(choice route.Choice, err error) {
	return func(choice route.Choice, err error) {
		sendError, failed := errors.AsType[service.SendError](err)
		if failed && !sendError.Written && !errors.Is(err, context.Canceled) {
			table.SetUnreachable(choice.Address(), choice.Incarnation())
		}
	}
}

// admission applies the workspace's limits and the fair queue to each request.
type admission struct {
	limiter      *limit.Limiter
	queue        *share.Queue
	budgets      *retry.Budgets
	queueTimeout time.Duration
}

func newAdmission(
	s settings.Settings, limiter *limit.Limiter, queue *share.Queue, budgets *retry.Budgets,
) *admission {
	return &admission{limiter: limiter, queue: queue, budgets: budgets, queueTimeout: s.Timeouts.QueueWait.Duration}
}

// admitGeneration admits a generation. The returned function releases its slot and reports the tokens used to the
// limiter. A resumed generation was admitted before, so it neither counts against the limits again nor waits in the
// queue.
func (a *admission) admitGeneration(
	ctx context.Context, workspace config.Workspace, cost int, resume bool,
) (func(used int), error) {
	a.budgets.RecordRequest(workspace.Name)
	request := share.Request{Workspace: workspace.Name, Share: workspace.Share, Tokens: cost, Class: share.ClassResume}
	if resume {
		release, err := a.queue.Acquire(ctx, request)
		return func(int) { release() }, err
	}
	settle, err := a.limiter.Admit(workspace.Name, cost)
	if err != nil {
		return nil, err
	}
	request.Class, request.Deadline = share.ClassGeneration, time.Now().Add(a.queueTimeout)
	release, err := a.queue.Acquire(ctx, request)
	if err != nil {
		settle(0)
		return nil, err
	}
	return func(used int) {
		release()
		settle(used)
	}, nil
}

// admitBooking admits a call to a plain service, which never waits behind generations. The returned function ends the
// admission.
func (a *admission) admitBooking(ctx context.Context, workspace config.Workspace) (func(), error) {
	a.budgets.RecordRequest("booking/" + workspace.Name)
	settle, err := a.limiter.Admit(workspace.Name, 0)
	if err != nil {
		return nil, err
	}
	release, err := a.queue.Acquire(ctx, share.Request{
		Workspace: workspace.Name, Share: workspace.Share, Tokens: 1, Class: share.ClassBooking,
		Deadline: time.Now().Add(a.queueTimeout),
	})
	if err != nil {
		settle(0)
		return nil, err
	}
	return func() {
		release()
		settle(0)
	}, nil
}

// callerDeps holds the dependencies of the server for callers.
type callerDeps struct {
	fx.In

	Identity          Identity
	Settings          settings.Settings
	Documents         *config.Store
	Table             *route.Table
	Engines           *engine.Client
	Canceler          *generation.Canceler
	SpuriousFailovers *spuriousFailovers
	Admission         *admission
	Budgets           *retry.Budgets
	Sender            *booking.Sender
	Drain             *Drain
	Metrics           *telemetry.Metrics
}

func newCallerServer(d callerDeps) *caller.Server {
	services := &caller.ServiceHandler{
		Do:           d.Sender.Do,
		Admit:        d.Admission.admitBooking,
		ServiceOf:    func(name string) (config.Service, bool) { return d.Documents.Current().Service(name) },
		WorkspaceOf:  caller.WorkspaceOf,
		WriteError:   func(c *gin.Context, err error) { caller.WriteError(c, err) },
		Metrics:      d.Metrics,
		MaxBodyBytes: d.Settings.Limits.BookingBytes,
		Ending:       d.Drain.Ending(),
	}
	return &caller.Server{
		Document:       d.Documents.Current,
		Admit:          d.Admission.admitGeneration,
		Pick:           d.Table.Pick,
		Open:           d.Engines.Open,
		Attach:         d.Engines.Attach,
		Cancel:         d.Canceler.Cancel,
		Tokenize:       d.Engines.Tokenize,
		HasIncarnation: d.Table.HasIncarnation,
		Health:         d.Table.Health,
		Stalled:        d.Table.Stalled,
		Queued:         d.Table.HasQueuedWork,
		QueueWaitBound: d.Settings.Timeouts.QueueWait.Duration,
		ObserveAttempt: d.observeResult,
		ObserveSilence: d.SpuriousFailovers.Add,
		TakeRetry:      d.Budgets.TakeRetry,
		ReturnRetry:    d.Budgets.ReturnRetry,
		Ready:          d.Drain.Ready,
		Closing:        d.Drain.Closing,
		Ending:         d.Drain.Ending(),
		Services:       services.Handle,
		Metrics:        d.Metrics,
		MaxBodyBytes:   d.Settings.Limits.PromptBytes,
		MaxHeaderBytes: d.Settings.Limits.HeaderBytes,
		CursorKeys:     d.Identity.cursorKeys,
		CursorTTL:      d.Settings.Timeouts.CursorExpiry.Duration,
	}
}

// observeResult reports the result of an attempt to the circuit breaker. An engine.RefusedError counts as
// ResultRefused, and every other error as ResultFailed. After a failed connection or a silent stream it also marks the
// endpoint as unreachable until its next load report, because a new generation would get no first token from it.
func (d callerDeps) observeResult(choice route.Choice, err error) {
	if err == nil {
		d.Table.RecordResult(choice, route.ResultOK)
		return
	}
	if _, refused := errors.AsType[engine.RefusedError](err); refused {
		d.Table.RecordResult(choice, route.ResultRefused)
		return
	}
	_, unreachable := errors.AsType[engine.ConnectError](err)
	_, silent := errors.AsType[generation.SilenceError](err)
	if unreachable || silent {
		d.Table.SetUnreachable(choice.Address(), choice.Incarnation())
	}
	d.Table.RecordResult(choice, route.ResultFailed)
}
