package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"radishhollow/io/caller"
	"radishhollow/io/connlimit"
	"radishhollow/io/operator"
	"radishhollow/io/peer"
	"radishhollow/io/settings"
	"radishhollow/io/telemetry"
)

// Timeouts of the internal listeners, which serve only short requests.
const (
	// headerTimeout limits the time to read the headers of a request.
	headerTimeout = 5 * time.Second
	// shutdownTimeout limits the wait of each listener for its requests in flight in a planned stop. It is also the
	// part of the daemon's stop timeout that is left for the hooks other than the drain.
	shutdownTimeout = 5 * time.Second
)

// listener is an HTTP server with its address.
type listener struct {
	address    string
	server     *http.Server
	log        *logrus.Logger
	wrapSocket func(net.Listener) net.Listener
}

// Start opens the socket and serves in the background.
func (l *listener) Start(ctx context.Context) error {
	socket, err := listen(ctx, l.address)
	if err != nil {
		return err
	}
	if l.wrapSocket != nil {
		socket = l.wrapSocket(socket)
	}
	l.server.ErrorLog = newServerLog(l.log)
	go l.run(func() error { return l.server.Serve(socket) })
	return nil
}

// run serves until the server is closed. It only logs the error of a listener that fails; the daemon keeps running
// without that listener.
func (l *listener) run(serve func() error) {
	if err := serve(); err != nil && err != http.ErrServerClosed { //nolint:errorlint // Serve returns it unwrapped.
		l.log.WithField("address", l.address).WithError(err).Error("listener ended")
	}
}

// responseEndTimeout bounds the wait for the ends of responses in stop, which net/http writes after their handlers have returned.
const responseEndTimeout = 50 * time.Millisecond

// stop closes the listener. If there is time, the responses whose handlers have returned are complete before: those of requests of
// peers' callers count as served from then on. Calls that wait for changes are cut.
func (l *listener) stop(ctx context.Context, drain *Drain) error {
	if left, limited := drain.TimeLeft(); !limited || left > 0 {
		ctx, cancel := context.WithTimeout(ctx, responseEndTimeout)
		defer cancel()
		if l.server.Shutdown(ctx) == nil {
			return nil
		}
	}
	return l.server.Close()
}

// registerListeners registers the listeners. fx stops them in reverse order, so the listener for callers drains first,
// while peers and operators are still served. Their listeners then wait for the requests in flight, up to
// shutdownTimeout each; registerForwardListeners closes them soon.
func registerListeners(
	lifecycle fx.Lifecycle, s settings.Settings, log *logrus.Logger, drain *Drain,
	callers *caller.Server, operators *operator.Server, peers *peer.Server, limiter *connlimit.Limiter, m *telemetry.Metrics,
) {
	for _, l := range []*listener{
		{address: s.PeerListen, log: log, server: &http.Server{
			Handler: peers.Handler(), ReadHeaderTimeout: headerTimeout,
		}, wrapSocket: func(socket net.Listener) net.Listener { return peer.NewCountingListener(socket, peers.Node.Metrics) }},
		{address: s.OperatorListen, log: log, server: &http.Server{
			Handler: operators.Handler(), ReadHeaderTimeout: headerTimeout,
		}},
	} {
		limitInternal(l, limiter)
		lifecycle.Append(fx.Hook{OnStart: l.Start, OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
			defer cancel()
			return l.server.Shutdown(ctx)
		}})
	}
	server := callers.NewHTTPServer()
	server.Handler = drain.closeWhenDraining(server.Handler)
	l := newCallerListener(s.Listen, server, log)
	l.limiter, l.draining, l.countClosed = limiter, drain.Draining, closeCounter(m)
	lifecycle.Append(fx.Hook{OnStart: l.Start, OnStop: func(ctx context.Context) error {
		return drain.stop(ctx, l, log)
	}})
}

// closeCounter returns a function that counts the connections that end in a planned stop.
func closeCounter(m *telemetry.Metrics) func(class string) {
	return func(class string) { m.Count(telemetry.ClosedConns, class) }
}

// closeTimeout bounds the wait for the handlers of connections that are closed at the end of a planned stop, which log
// the end of their requests. It is a part of killMargin.
const closeTimeout = 200 * time.Millisecond

// finalDeliveryTimeout is the part of closeTimeout for connections that only await the end of their caller's side.
const finalDeliveryTimeout = 150 * time.Millisecond

// minAcceptTime is the time before the end of a planned stop at which new connections are no longer accepted. Their
// requests would come too late to be served.
const minAcceptTime = 1500 * time.Millisecond

// stop keeps serving until drainDelay has passed since begin. With a stopGrace it also accepts connections for as long as
// requests in flight keep the daemon running anyway, because the load balancer may have no other daemon. It then waits for
// the requests in flight, and until no connection can bring another one, up to the limit of untilClose if there is one.
// When the time is over, stop closes the remaining connections and waits for their handlers, up to
// closeTimeout. Callers can resume their generations at another daemon; the idempotency record of a booking in flight may
// stay without an outcome.
func (d *Drain) stop(ctx context.Context, l *callerListener, log *logrus.Logger) error {
	defer d.end()
	log.WithField("connections", l.openCount()).Info("draining")
	delays := &timerDelays{}
	defer delays.Close()
	delays.Start()
	if left, limited := d.untilClose(); limited {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left)
		defer cancel()
	}
	select {
	case <-time.After(time.Until(d.beganAt.Add(d.drainDelay))):
	case <-ctx.Done():
	}
	if left, limited := d.TimeLeft(); limited && d.stopGrace > 0 {
		l.serveWhileBusy(ctx, left-minAcceptTime)
	}
	if err := l.drain(ctx); err != nil {
		d.closing.Store(true)
		log.WithError(err).WithFields(logrus.Fields{
			"connections": l.openCount(), "timer-delay-ms": delays.Longest().Milliseconds(),
		}).Warn("drain timeout expired; closing connections in use")
		err := l.closeConns()
		l.waitClosed(closeTimeout)
		return err
	}
	d.awaitDelegated(ctx)
	log.WithField("timer-delay-ms", delays.Longest().Milliseconds()).Info("drained")
	return nil
}

// awaitDelegated waits for the requests of peers' callers, which come through the listener for peers.
func (d *Drain) awaitDelegated(ctx context.Context) {
	ticker := time.NewTicker(delegatedCheckInterval)
	defer ticker.Stop()
	for d.delegated != nil && d.delegated() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// delegatedCheckInterval is the time between checks for requests of peers' callers in a planned stop.
const delegatedCheckInterval = 20 * time.Millisecond
