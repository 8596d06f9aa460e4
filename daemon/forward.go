package daemon

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"radishhollow/core/booking"
	"radishhollow/core/config"
	"radishhollow/core/kv"
	"radishhollow/core/member"
	"radishhollow/core/retry"
	"radishhollow/core/route"
	"radishhollow/io/forward"
	"radishhollow/io/keyvalue"
	"radishhollow/io/peer"
	"radishhollow/io/service"
	"radishhollow/io/settings"
	"radishhollow/io/telemetry"
	"radishhollow/platform"
)

// forwardParts serve requests that are passed on by the routes of the operators' platform.
var forwardParts = fx.Provide(
	newForwardKV, newForwardPolicy, newFollowedConfig, newListing, newWindow, newForwardClient, newForward,
	newForwardSupervisor,
)

const (
	// retryMargin is the part of the shared slack that is divided, so that a daemon which is not known yet has some. The
	// ratio needs no margin: each daemon's window is longer than the platform's by a tenth.
	retryMargin = 0.9
	// reachableTimeout tells a reachable endpoint from a dead one; a round trip within a region takes a few ms.
	reachableTimeout = 100 * time.Millisecond
	// bodyShare is the part of the instance's memory, in percent, that requests' bodies may take. Reading them takes up to
	// twice their size.
	bodyShare = 20
	// memoryShare is the part of the instance's memory, in percent, that the Go heap may take.
	memoryShare = 65
)

func newForwardKV(s settings.Settings, m *telemetry.Metrics) kv.Store {
	store := &platform.Store{Caller: &keyvalue.Client{
		Address: s.Platform, HTTP: keyvalue.NewHTTPClient(), Timeout: s.Timeouts.Platform.Duration, IsNotRun: platform.Refused,
		OnCall: func(kind string) { m.Count(telemetry.KeyValueCalls, kind) },
	}}
	return store.KV()
}

// newForwardPolicy returns the parameters for endpoints that do not report their load to this daemon.
func newForwardPolicy(s settings.Settings) route.Policy {
	policy := newPolicy(s)
	policy.Candidates, policy.ResumeCandidates, policy.PrefixAware = 0, 0, false
	policy.ListIsCurrent = true
	policy.UnreachableTTL = 600 * time.Millisecond
	policy.BreakerMinOpen, policy.BreakerMaxOpen = 500*time.Millisecond, 2*time.Second
	policy.SubsetSize = 0
	policy.OtherPlacePenalty = 0.01
	policy.ProbeTTL, policy.ProbeLag = 500*time.Millisecond, 250*time.Millisecond
	policy.AffinityTolerance = 0.03
	return policy
}

// followedConfig keeps the configuration up to date from the store.
type followedConfig struct {
	follower *kv.Follower
	syncer   *config.Syncer
}

func newFollowedConfig(
	s settings.Settings, store kv.Store, current *config.Store, reach *member.IsolationDetector, m *telemetry.Metrics, log *logrus.Logger,
) *followedConfig {
	syncer := &config.Syncer{
		Store: current, Decode: platform.Config,
		Count:    func(class string) { m.Count(telemetry.Revisions, class) },
		Rejected: func(err error) { log.WithError(err).Warn("configuration is refused; the last one stays in force") },
	}
	return &followedConfig{syncer: syncer, follower: &kv.Follower{
		Store: store, Prefix: platform.ConfigPrefix, WatchTimeout: s.Timeouts.WatchWait.Duration,
		RelistInterval: s.Timeouts.ConfigPoll.Duration,
		Apply: func(entries []kv.Entry, _ uint64, whole bool) {
			reach.RecordContact()
			for _, entry := range entries {
				if entry.Key() != platform.ConfigKey || entry.Deleted() {
					continue
				}
				class := config.FromWatch
				if whole {
					class = config.FromPoll
				}
				syncer.Offer(entry.Value(), class)
			}
		},
	}}
}

func newListing(
	s settings.Settings, store kv.Store, peers *peer.Exchanger, table *route.Table, reach *member.IsolationDetector,
	log *logrus.Logger,
) *listing {
	l := &listing{
		parse: platform.Listing, peers: peers, table: table, reach: reach, log: log,
		rows: map[string]route.Listing{}, missing: map[string]time.Time{},
	}
	l.follower = &kv.Follower{
		Store: store, Prefix: platform.ListingPrefix, WatchTimeout: s.Timeouts.WatchWait.Duration,
		RelistInterval: s.Timeouts.InstancePoll.Duration, BatchDelay: changePause, Apply: l.apply, OnError: l.fail,
	}
	peers.Node.Listings, peers.Node.OnInstanceListRevision = l.Listings, l.heard
	return l
}

func newWindow(s settings.Settings, members *member.Table) *retry.Window {
	f := s.Forward
	return &retry.Window{
		Span: f.RetryWindow.Duration, Ratio: f.RetryRatio, Slack: float64(f.RetrySlack) * retryMargin,
		Daemons: func() int { return members.Count() + 1 },
	}
}

func newForwardClient(lifecycle fx.Lifecycle, s settings.Settings) *service.Client {
	client := service.New(s.Timeouts.Connect.Duration, s.Timeouts.EndpointIdle.Duration)
	client.Check = platform.Format().Check
	lifecycle.Append(fx.Hook{OnStop: func(context.Context) error { return client.Close() }})
	return client
}

func newForward(
	s settings.Settings, store *config.Store, table *route.Table, client *service.Client, window *retry.Window,
	list *listing, m *telemetry.Metrics, log *logrus.Logger,
) *forward.Server {
	format := platform.Format()
	server := &forward.Server{
		Format: format, Document: store.Current, Pick: table.Pick, Open: client.Open, EndpointListVersion: list.version,
		Reachable: func(ctx context.Context, address string) bool {
			return client.Reachable(ctx, address, reachableTimeout)
		},
		ConnectTimesOut: func(ctx context.Context, address string) bool {
			return client.ConnectTimesOut(ctx, address, reachableTimeout)
		},
		Candidates: table.ProbeCandidates, RefreshLoad: newPeek(table, client, log),
		Usable: table.Usable, CopyKVCache: moveWith(client), ReleaseKVCopy: dropWith(client, log),
		ObserveAttempt: observeStream(table), CountRequest: window.RecordRequest, MayRetry: window.TakeRetry, RefundRetry: window.ReturnRetry,
		DaemonCount:      window.Daemons,
		MaxBufferedBytes: int64(s.Forward.MemoryMB) << 20 * bodyShare / 100,
		Place:            s.Place, Metrics: m, Log: log,
	}
	sender := &booking.Sender{
		Pick: table.Pick, Send: format.SendFunc(client, sentTo(table, server)), Classify: format.Classify, Sent: observeSent(table),
		MayRetry: func(call booking.Call) bool { return window.TakeRetry(call.Service.Name) },
	}
	server.Do = sender.Do
	return server
}

// newPeek asks an engine for its load. One that can't be reached is not used for a moment; like in observeSent, a question
// that its caller gave up says nothing about the engine.
func newPeek(
	table *route.Table, client *service.Client, log *logrus.Logger,
) func(ctx context.Context, address string) {
	return func(ctx context.Context, address string) {
		response, err := client.Send(ctx, address, booking.Request{
			Method: http.MethodGet, Path: platform.ReportPath, ReuseConnection: true,
		})
		if errors.Is(err, context.Canceled) {
			return
		}
		if err != nil {
			log.WithField("address", address).WithError(err).Warn("engine does not report its load")
			table.SetAddressUnreachable(address)
			return
		}
		load, err := platform.Report(response.Body)
		if err != nil {
			log.WithField("address", address).WithError(err).Warn("load report is malformed")
			return
		}
		table.RecordProbe(address, load)
	}
}

// moveWith returns the call that copies a run's memory from its engine to another one.
func moveWith(client *service.Client) func(ctx context.Context, address, run, to string) (handle string, err error) {
	return func(ctx context.Context, address, run, to string) (string, error) {
		request, err := platform.MoveRequest(run, to)
		if err != nil {
			return "", errors.Trace(err)
		}
		response, err := client.Send(ctx, address, request)
		if err != nil {
			return "", err
		}
		return platform.Moved(response)
	}
}

// dropWith returns the call that frees a copy.
func dropWith(client *service.Client, log *logrus.Logger) func(ctx context.Context, address, handle string) {
	return func(ctx context.Context, address, handle string) {
		if _, err := client.Send(ctx, address, platform.DropRequest(handle)); err != nil {
			log.WithField("address", address).WithError(err).Info("copy is not freed before it expires")
		}
	}
}

// sentTo logs each attempt, and marks an endpoint whose address another one has.
func sentTo(
	table *route.Table, server *forward.Server,
) func(r booking.Request, choice route.Choice, status int, err error) {
	return func(r booking.Request, choice route.Choice, status int, err error) {
		if status == http.StatusMisdirectedRequest {
			table.MarkDead(choice.Address(), choice.Incarnation())
		}
		server.LogAttempt(r, choice, status, err)
	}
}

// observeStream feeds the circuit breaker with the attempts of streams.
func observeStream(table *route.Table) func(choice route.Choice, err error) {
	return func(choice route.Choice, err error) {
		refusal, refused := errors.AsType[forward.RefusedError](err)
		sent, failed := errors.AsType[service.SendError](err)
		switch {
		case err == nil:
			table.RecordResult(choice, route.ResultOK)
		case refused && refusal.Status == http.StatusMisdirectedRequest:
			// Another endpoint has the address; the list does not tell yet.
			table.MarkDead(choice.Address(), choice.Incarnation())
		case refused:
			table.RecordResult(choice, route.ResultRefused)
		case failed && !sent.Written:
			table.SetUnreachable(choice.Address(), choice.Incarnation())
		default:
			table.RecordResult(choice, route.ResultFailed)
		}
	}
}

// surveyor tells the drain when the daemon knows enough to be ready.
type surveyor struct{ drain *Drain }

// Run looks until ctx ends.
func (r *surveyor) Run(ctx context.Context) error {
	ticker := time.NewTicker(surveyInterval)
	defer ticker.Stop()
	for !r.drain.surveyed.Load() {
		r.drain.survey()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
	<-ctx.Done()
	return errors.Trace(ctx.Err())
}

// surveyInterval is short against the start of a daemon, which should be ready as soon as it can serve.
const surveyInterval = 20 * time.Millisecond

func newForwardSupervisor(
	followed *followedConfig, revisions *revisions, reload *reload, list *listing, registrar *peer.Registrar,
	exchanger *peer.Exchanger, drain *Drain, m *telemetry.Metrics, log *logrus.Logger,
) *Supervisor {
	return supervise(m, log,
		Child{Name: "configuration", Run: followed.follower.Run},
		Child{Name: "revisions", Run: revisions.Run},
		Child{Name: "reload", Run: reload.Run},
		Child{Name: "listing", Run: list.Run},
		Child{Name: "registration", Run: registrar.Run},
		Child{Name: "exchange", Run: exchanger.Run},
		Child{Name: "survey", Run: (&surveyor{drain: drain}).Run},
	)
}

// serveForward registers the listeners. fx stops them in reverse order: callers drain first.
func serveForward(
	lifecycle fx.Lifecycle, s settings.Settings, log *logrus.Logger, drain *Drain, callers *forward.Server,
	peers *peer.Server, m *telemetry.Metrics,
) {
	debug.SetMemoryLimit(int64(s.Forward.MemoryMB) << 20 * memoryShare / 100)
	for _, l := range []*listener{
		{address: s.PeerListen, log: log, server: newInnerServer(peers.Handler())},
		{address: s.OperatorListen, log: log, server: newInnerServer(metricsHandler(m))},
		{address: s.ReadinessListen, log: log, server: newInnerServer(readyHandler(drain))},
	} {
		lifecycle.Append(fx.Hook{OnStart: l.Start, OnStop: func(context.Context) error { return l.server.Close() }})
	}
	server := callers.NewHTTPServer()
	server.Handler = drain.closeIdle(server.Handler)
	l := &listener{address: s.Listen, log: log, server: server}
	lifecycle.Append(fx.Hook{OnStart: l.Start, OnStop: func(ctx context.Context) error {
		defer callers.Close()
		return drain.stop(ctx, server, s.Timeouts.Drain.Duration, log)
	}})
}

func newInnerServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
}

func metricsHandler(m *telemetry.Metrics) http.Handler {
	router := gin.New()
	router.GET("/metrics", func(c *gin.Context) { m.WritePrometheus(c.Writer) })
	return router
}

func readyHandler(drain *Drain) http.Handler {
	router := gin.New()
	router.GET("/readyz", func(c *gin.Context) {
		if !drain.Ready() {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		c.Status(http.StatusOK)
	})
	return router
}
