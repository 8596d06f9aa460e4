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
	"radishhollow/io/service"
	"radishhollow/io/settings"
	"radishhollow/io/telemetry"
)

var callerParts = fx.Provide(newKeeper, newSender, newAdmission, newCaller)

func newKeeper(s settings.Settings, store kv.Store, m *telemetry.Metrics) *claim.Recorder {
	return &claim.Recorder{
		Store: store, AwaitTimeout: s.Timeouts.ClaimWait.Duration,
		Expiry:      s.Timeouts.ClaimExpiry.Duration,
		CallTimeout: min(s.Timeouts.Platform.Duration, claim.DefaultCallTimeout),
		Observe:     func(class string) { m.Count(telemetry.Claims, class) },
	}
}

func newSender(
	table *route.Table, services *service.Client, keeper *claim.Recorder, budgets *retry.Budgets, log *logrus.Logger,
) *booking.Sender {
	return &booking.Sender{
		Pick: table.Pick,
		Send: func(ctx context.Context, choice route.Choice, r booking.Request) (booking.Response, error) {
			return services.Send(ctx, choice.Address(), r)
		},
		Sent:  observeSent(table),
		Claim: keeper.Claim,
		MayRetry: func(call booking.Call) bool {
			return budgets.TakeRetry("booking/" + call.Workspace)
		},
		Unrecorded: func(err error) { log.WithError(err).Warn("outcome of a booking is not recorded yet") },
	}
}

// observeSent stops new work for a runner that can't be connected to until its next load report. The pollers notice it
// only after three failures, and until then its refusals would use up the retry budget. A call that its caller gave up
// says nothing about the runner.
func observeSent(table *route.Table) func(choice route.Choice, err error) {
	return func(choice route.Choice, err error) {
		sent, failed := errors.AsType[service.SendError](err)
		if failed && !sent.Written && !errors.Is(err, context.Canceled) {
			table.SetUnreachable(choice.Address(), choice.Incarnation())
		}
	}
}

// admission passes a request through the workspace's limits and the fair queue.
type admission struct {
	limiter *limit.Limiter
	queue   *share.Queue
	budgets *retry.Budgets
	wait    time.Duration
}

func newAdmission(
	s settings.Settings, limiter *limit.Limiter, queue *share.Queue, budgets *retry.Budgets,
) *admission {
	return &admission{limiter: limiter, queue: queue, budgets: budgets, wait: s.Timeouts.QueueWait.Duration}
}

// generation admits a generation. A resumed one was admitted before and waits for nothing.
func (a *admission) generation(
	ctx context.Context, workspace config.Workspace, cost int, resume bool,
) (func(used int), error) {
	a.budgets.RecordRequest(workspace.Name)
	ask := share.Request{Workspace: workspace.Name, Share: workspace.Share, Tokens: cost, Class: share.ClassResume}
	if resume {
		release, err := a.queue.Acquire(ctx, ask)
		return func(int) { release() }, err
	}
	settle, err := a.limiter.Admit(workspace.Name, cost)
	if err != nil {
		return nil, err
	}
	ask.Class, ask.Deadline = share.ClassGeneration, time.Now().Add(a.wait)
	release, err := a.queue.Acquire(ctx, ask)
	if err != nil {
		settle(0)
		return nil, err
	}
	return func(used int) {
		release()
		settle(used)
	}, nil
}

// booking admits a plain-service call, which never waits behind generations.
func (a *admission) booking(ctx context.Context, workspace config.Workspace) (func(), error) {
	a.budgets.RecordRequest("booking/" + workspace.Name)
	settle, err := a.limiter.Admit(workspace.Name, 0)
	if err != nil {
		return nil, err
	}
	release, err := a.queue.Acquire(ctx, share.Request{
		Workspace: workspace.Name, Share: workspace.Share, Tokens: 1, Class: share.ClassBooking,
		Deadline: time.Now().Add(a.wait),
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

// callerDeps are the parts that the server for callers needs.
type callerDeps struct {
	fx.In

	Identity  Identity
	Settings  settings.Settings
	Store     *config.Store
	Table     *route.Table
	Engines   *engine.Client
	Canceler  *generation.Canceler
	Suspects  *suspects
	Admission *admission
	Budgets   *retry.Budgets
	Sender    *booking.Sender
	Drain     *Drain
	Metrics   *telemetry.Metrics
}

func newCaller(d callerDeps) *caller.Server {
	services := &caller.ServiceHandler{
		Do:          d.Sender.Do,
		Admit:       d.Admission.booking,
		ServiceOf:   func(name string) (config.Service, bool) { return d.Store.Current().Service(name) },
		WorkspaceOf: caller.WorkspaceOf,
		WriteError:  func(c *gin.Context, err error) { caller.WriteError(c, err) },
		Metrics:     d.Metrics,
		MaxBodyBytes:     d.Settings.Limits.BookingBytes,
	}
	return &caller.Server{
		Document:   d.Store.Current,
		Admit:      d.Admission.generation,
		Pick:       d.Table.Pick,
		Open:       d.Engines.Open,
		Attach:     d.Engines.Attach,
		Cancel:     d.Canceler.Cancel,
		Tokenize:   d.Engines.Tokenize,
		HasIncarnation:      d.Table.HasIncarnation,
		Alive:      d.Table.Health,
		Stalled:    d.Table.Stalled,
		Queued:     d.Table.HasQueuedWork,
		QueueWaitBound: d.Settings.Timeouts.QueueWait.Duration,
		ObserveAttempt:     d.observeResult,
		ObserveSilence:     d.Suspects.Add,
		MayRetry:   d.Budgets.TakeRetry,
		Ready:      d.Drain.Ready,
		Stopping:   d.Drain.Closing,
		Services:   services.Handle,
		Metrics:    d.Metrics,
		MaxBodyBytes:    d.Settings.Limits.PromptBytes,
		MaxHeaderBytes:  d.Settings.Limits.HeaderBytes,
		CursorKeys: d.Identity.cursorKeys,
		CursorTTL: d.Settings.Timeouts.CursorExpiry.Duration,
	}
}

// observeResult feeds the circuit breaker. A refused connection or a silent stream also stops new work until the
// endpoint's next load report, because a first token would be waited for in vain.
func (d callerDeps) observeResult(choice route.Choice, err error) {
	if err == nil {
		d.Table.RecordResult(choice, route.ResultOK)
		return
	}
	if _, refused := errors.AsType[engine.RefusedError](err); refused {
		d.Table.RecordResult(choice, route.ResultRefused)
		return
	}
	_, gone := errors.AsType[engine.ConnectError](err)
	_, silent := errors.AsType[generation.SilenceError](err)
	if gone || silent {
		d.Table.SetUnreachable(choice.Address(), choice.Incarnation())
	}
	d.Table.RecordResult(choice, route.ResultFailed)
}
