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
	"radishhollow/core/generation"
	"radishhollow/core/member"
	"radishhollow/core/quarantine"
	"radishhollow/core/reach"
	"radishhollow/core/relay"
	"radishhollow/core/retry"
	"radishhollow/core/route"
	"radishhollow/core/throttle"
	"radishhollow/core/version"
	"radishhollow/io/connlimit"
	"radishhollow/io/forward"
	"radishhollow/io/keyvalue"
	"radishhollow/io/memory"
	"radishhollow/io/peer"
	"radishhollow/io/service"
	"radishhollow/io/settings"
	"radishhollow/io/telemetry"
	"radishhollow/platform"
)

// forwardProviders provides the components that forward requests along the routes of the operators' platform.
var forwardProviders = fx.Provide(
	newForwardStoreClient, newRelay, (*relay.Store).KV, newVersions, newForwardPolicy, newConfigFollower, newEndpointList, newRetryWindow, newForwardClient,
	newRegister, newLimits, newRollouts, newJudging, newDetector, newDelegator, newEvidenceJudge, newForwardServer, newForwardSupervisors,
)

const (
	// retrySlackFraction is the fraction of the shared retry slack that is divided among the known daemons. The rest is
	// left for daemons that are not known yet, and for retries that were taken but have not reached their endpoint.
	retrySlackFraction = 0.9
	// fetchDelayDivisor is the part of the bound for configurations after which a daemon that hears of a newer one fetches it
	// from a peer. A reader of the store passes a change on within a few ms, or is given up within three eighths of the bound.
	fetchDelayDivisor = 4
	// reachabilityTimeout limits the connection attempt to an endpoint that may be dead. A round trip within a region
	// takes a few ms.
	reachabilityTimeout = 100 * time.Millisecond
	// bodyMemoryPercent is the share of the instance's memory that request bodies may use. Until its garbage is collected,
	// a body may take up to twice its size.
	bodyMemoryPercent = 20
	// responseMemoryPercent is the share of the instance's memory that response bodies may use until they are written to
	// their callers, apart from a small part of each. Growing a body takes half of its size more for a moment.
	responseMemoryPercent = 15
	// heapPercent is the share of the instance's memory that the Go heap may use.
	heapPercent = 65
)

// newForwardStoreClient returns the client of the platform's store.
func newForwardStoreClient(s settings.Settings, m *telemetry.Metrics, log *logrus.Logger) *keyvalue.Client {
	client := &keyvalue.Client{
		Address: s.Platform, HTTP: keyvalue.NewHTTPClient(), Timeout: s.Timeouts.Platform.Duration, IsNotRun: platform.IsRefusal, ReadEra: platform.ReadEra,
		OnCall: func(kind string) { m.Count(telemetry.KeyValueCalls, kind) },
	}
	client.OnTransfer = transferLogger{metrics: m, log: log}.fromStore
	reportEras(client, m, log)
	return client
}

// newRelay returns the daemon's access to the platform's store. Lists and watches of the followed prefixes go through
// readers among the daemons.
func newRelay(
	s settings.Settings, id Identity, client *keyvalue.Client, members *member.Table, peers *peer.Exchanger, m *telemetry.Metrics,
	log *logrus.Logger,
) *relay.Store {
	relayed := &relay.Store{
		Direct: (&platform.Store{Client: client}).KV(), Self: id.address, Peers: members.ListedAddresses, Ask: peers.Changes,
		MembersPrefix: peer.MembersPrefix,
		LinkMbps: func(address string) float64 {
			if address == id.address {
				return s.Forward.LinkMbps
			}
			return members.LinkMbps(address)
		},
		Timings: map[string]relay.Timing{
			platform.ListingPrefix: relay.NewTiming(s.Forward.DrainBound.Duration),
			platform.ConfigPrefix:  relay.NewTiming(s.Forward.ConfigBound.Duration),
			peer.MembersPrefix:     relay.NewTiming(s.Timeouts.LeaseTTL.Duration),
		},
		OnTransfer: transferLogger{metrics: m, log: log}.fromReader,
		Count:      func(event string) { m.Count(telemetry.Relay, event) },
		OnRole: func(prefix string, reads bool) {
			log.WithFields(logrus.Fields{"prefix": prefix, "reads": reads}).Info("reader of the store for other daemons")
		},
	}
	peers.FetchDelay = s.Forward.ConfigBound.Duration / fetchDelayDivisor
	peers.Receiving = func() bool { return relayed.Receiving(platform.ConfigPrefix) }
	return relayed
}

// newForwardPolicy returns the routing policy for endpoints that do not report their load to this daemon.
func newForwardPolicy(s settings.Settings) route.Policy {
	policy := newPolicy(s)
	// Each pick compares all endpoints, without an estimate of their cached prefixes.
	policy.SampleSize, policy.ResumeSampleSize, policy.PrefixAware = 0, 0, false
	// The instance list follows the store by watch, so its incarnations count as current.
	policy.ListIsCurrent = true
	// An unreachable endpoint, which sends no report, is eligible again after this time.
	policy.UnreachableTTL = 600 * time.Millisecond
	policy.BreakerMinOpen, policy.BreakerMaxOpen = 500*time.Millisecond, 2*time.Second
	// There is no preferred subset of the endpoints.
	policy.SubsetSize = 0
	policy.OtherPlacePenalty = 0.01
	// Load reports of the platform's engines are 0.2 s to 0.3 s old on arrival.
	policy.QueriedLoadTTL, policy.QueriedLoadLag = 500*time.Millisecond, 250*time.Millisecond
	// With a tolerance of 0.5 s, too many requests went to the same engine.
	policy.AffinityTolerance = 0.03
	return policy
}

// newRetryWindow returns the retry budgets of the services. The number of daemons is unknown before the platform's list.
func newRetryWindow(s settings.Settings, members *member.Table) *retry.Window {
	f := s.Forward
	return &retry.Window{
		Span: f.RetryWindow.Duration, Ratio: f.RetryRatio, Slack: float64(f.RetrySlack) * retrySlackFraction,
		Started: time.Now(),
		Daemons: func() int {
			if !members.HasList() {
				return 0
			}
			return members.Count() + 1
		},
	}
}

func newForwardClient(lifecycle fx.Lifecycle, s settings.Settings) *service.Client {
	client := service.New(s.Timeouts.Connect.Duration, s.Timeouts.EndpointIdle.Duration)
	client.Check = platform.Format().Check
	client.Memory = &memory.Budget{Limit: int64(s.Forward.MemoryMB) << 20 * responseMemoryPercent / 100}
	lifecycle.Append(fx.Hook{OnStop: func(context.Context) error { return client.Close() }})
	return client
}

func newForwardServer(
	s settings.Settings, documents *config.Store, freshness *config.Freshness, table *route.Table, members *member.Table, client *service.Client,
	window *retry.Window, endpoints *endpointList, register *quarantine.Register, _ *throttle.Limits, judge *evidenceJudge,
	rollouts *rollouts, versions *version.Register, detector *reach.Detector, delegator *peer.Delegator, drain *Drain,
	m *telemetry.Metrics, log *logrus.Logger,
) *forward.Server {
	format := platform.Format()
	announced := newAnnouncements(table, m, log)
	server := &forward.Server{
		IsBehind: freshness.IsBehind,
		Format:   format, Document: documents.Current, Pick: table.Pick, Open: client.Open, ReadBody: client.ReadBody, ResponseMemory: client.Memory,
		InstanceListRevision: endpoints.listRevision,
		Reachable: func(ctx context.Context, address string) bool {
			return client.Reachable(ctx, address, reachabilityTimeout)
		},
		ConnectTimesOut: func(ctx context.Context, address string) bool {
			return client.ConnectTimesOut(ctx, address, reachabilityTimeout)
		},
		LoadQueryCandidates: table.LoadQueryCandidates, RefreshLoad: loadRefresher(table, client, announced, log),
		CacheCandidates: table.CacheCandidates, StatesSlowdown: table.StatesSlowdown, CachedTokens: cachedTokens(table, client, announced, log),
		Usable: table.Usable, NewKVCopier: newKVCopiers(client, announced, log),
		BeginStream: versions.Begin, FindVersion: versions.Find, ListsVersion: table.ListsVersion, VersionIsListed: table.VersionIsListed,
		ObserveHead: announced.observe, ObserveAttempt: streamObserver(table),
		RecordRequest: window.RecordRequest, TakeRetry: window.TakeRetry, ReturnRetry: window.ReturnRetry,
		DaemonCount: func() int { return members.Count() + 1 }, TimeLeft: drain.TimeLeft, Ending: drain.Ending(),
		RequestMemory: memory.Budget{Limit: int64(s.Forward.MemoryMB) << 20 * bodyMemoryPercent / 100},
		Place:         s.Place, Metrics: m, Log: log,
	}
	sender := &booking.Sender{
		Pick: table.Pick, Send: announced.send(format.RequestID, format.SendFunc(client, markingAttemptLogger(table, server))),
		Classify: format.Classify, ObserveSend: sendObserver(table),
		TakeRetry: func(call booking.Call) bool { return window.TakeRetry(call.Service.Name) },
	}
	useEvidence(server, sender, judge, detector)
	useRegister(server, register, m)
	useDetector(server, sender, detector, delegator, members, s)
	server.Do = sender.Do
	rollouts.restrict(server, judge.register)
	return server
}

// markingAttemptLogger returns a function that logs each attempt of a request whose response is not streamed. After
// status 421, it also marks the endpoint as dead, because another endpoint responds at its address. It reports nothing
// to the circuit breaker.
func markingAttemptLogger(
	table *route.Table, server *forward.Server,
) func(r booking.Request, choice route.Choice, status int, err error) {
	return func(r booking.Request, choice route.Choice, status int, err error) {
		if status == http.StatusMisdirectedRequest {
			table.MarkDead(choice.Address(), choice.Incarnation())
		}
		server.LogAttempt(r, choice, status, err)
	}
}

// streamObserver returns a function that reports the result of each attempt of a stream to the routing table. An
// endpoint to which the request could not be sent is marked as unreachable, and its circuit breaker gets no result.
// Refusals other than status 421 count as ResultRefused. A silent stream counts as ResultSilent, as does an attempt without
// a response until its deadline. All other errors count as ResultFailed, including a lost stream and an error response of
// any status.
func streamObserver(table *route.Table) func(choice route.Choice, err error) {
	return func(choice route.Choice, err error) {
		refusal, refused := errors.AsType[forward.RefusedError](err)
		_, silent := errors.AsType[generation.SilenceError](err)
		silent = silent || errors.Is(err, context.DeadlineExceeded)
		sendError, failed := errors.AsType[service.SendError](err)
		switch {
		case err == nil:
			table.RecordResult(choice, route.ResultOK)
		case refused && refusal.Status == http.StatusMisdirectedRequest:
			// The address belongs to another endpoint, which the instance list does not show yet.
			table.MarkDead(choice.Address(), choice.Incarnation())
		case refused:
			table.RecordResult(choice, route.ResultRefused)
		case failed && !sendError.Written:
			table.SetUnreachable(choice.Address(), choice.Incarnation())
		case silent:
			table.RecordResult(choice, route.ResultSilent)
		default:
			table.RecordResult(choice, route.ResultFailed)
		}
	}
}

// initMonitor checks whether the daemon is initialized.
type initMonitor struct{ drain *Drain }

// Run checks until the daemon is initialized, and returns when ctx ends.
func (m *initMonitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(initCheckInterval)
	defer ticker.Stop()
	for !m.drain.initialized.Load() {
		m.drain.checkInitialized()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
	<-ctx.Done()
	return errors.Trace(ctx.Err())
}

// initCheckInterval is short compared with the start of a daemon, which should be ready as soon as it can serve.
const initCheckInterval = 20 * time.Millisecond

// newForwardSupervisors returns the supervisors of the components. There is no refresher among them, so this daemon
// announces no marks on endpoints to its peers.
func newForwardSupervisors(
	configuration *configFollower, revisions *revisionLogger, reload *peerKeyReloader, endpoints *endpointList,
	registrar *peer.Registrar, exchanger *peer.Exchanger, judge *evidenceJudge, rollouts *rollouts, versions *version.Register, detector *reach.Detector,
	drain *Drain, m *telemetry.Metrics, log *logrus.Logger,
) supervisors {
	return supervisors{
		duties: newLoggingSupervisor(m, log, Component{Name: "registration", Run: registrar.Run}),
		knowledge: newLoggingSupervisor(m, log, append(rollouts.components(),
			Component{Name: "configuration", Run: configuration.follower.Run},
			Component{Name: "revisions", Run: revisions.Run},
			Component{Name: "reload", Run: reload.Run},
			Component{Name: "listing", Run: endpoints.Run},
			Component{Name: "daemons", Run: registrar.RunList},
			Component{Name: "exchange", Run: exchanger.Run},
			Component{Name: "evidence", Run: judge.Run},
			Component{Name: "versions", Run: versions.Run},
			Component{Name: "reach", Run: detector.Run},
			Component{Name: "survey", Run: (&initMonitor{drain: drain}).Run},
		)...),
	}
}

// registerForwardListeners registers the listeners. fx stops them in reverse order, so the listener for callers drains
// first. The other listeners are closed soon, unlike in registerListeners, which waits longer for their requests.
func registerForwardListeners(
	lifecycle fx.Lifecycle, s settings.Settings, log *logrus.Logger, drain *Drain, server *forward.Server,
	peers *peer.Server, relayed *relay.Store, limiter *connlimit.Limiter, m *telemetry.Metrics,
) {
	peers.Serve, peers.Delegated, drain.delegated = relayed.Serve, server.DelegatedHandler(), server.DelegatedCount
	debug.SetMemoryLimit(int64(s.Forward.MemoryMB) << 20 * heapPercent / 100)
	for _, l := range []*listener{
		{address: s.PeerListen, log: log, server: newInternalServer(peers.Handler())},
		{address: s.OperatorListen, log: log, server: newInternalServer(metricsHandler(m))},
		{address: s.ReadinessListen, log: log, server: newInternalServer(readyHandler(drain))},
	} {
		limitInternal(l, limiter)
		lifecycle.Append(fx.Hook{OnStart: l.Start, OnStop: func(ctx context.Context) error { return l.stop(ctx, drain) }})
	}
	server.Closing = drain.Closing
	httpServer := server.NewHTTPServer()
	httpServer.Handler = drain.closeWhenDraining(httpServer.Handler)
	l := newCallerListener(s.Listen, httpServer, log)
	l.idleTimeout, l.limiter, l.draining, l.countClosed = server.IdleTimeout, limiter, drain.Draining, closeCounter(m)
	lifecycle.Append(fx.Hook{OnStart: l.Start, OnStop: func(ctx context.Context) error {
		defer server.Close()
		server.LogInFlight()
		defer server.LogUnfinished()
		return drain.stop(ctx, l, log)
	}})
}

func newInternalServer(handler http.Handler) *http.Server {
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
