package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"radishhollow/io/caller"
	"radishhollow/io/operator"
	"radishhollow/io/peer"
	"radishhollow/io/settings"
)

// Bounds of the listeners for peers and operators, which serve short requests only.
const (
	headerTimeout = 5 * time.Second
	finalTimeout  = 5 * time.Second
)

// listener is one HTTP server with its address.
type listener struct {
	address string
	server  *http.Server
	log     *logrus.Logger
	wrap    func(net.Listener) net.Listener
}

// Start listens and serves in the background.
func (l *listener) Start(ctx context.Context) error {
	socket, err := listen(ctx, l.address)
	if err != nil {
		return err
	}
	if l.wrap != nil {
		socket = l.wrap(socket)
	}
	go l.run(func() error { return l.server.Serve(socket) })
	return nil
}

func (l *listener) run(serve func() error) {
	if err := serve(); err != nil && err != http.ErrServerClosed { //nolint:errorlint // Serve returns it unwrapped.
		l.log.WithField("address", l.address).WithError(err).Error("listener ended")
	}
}

// serveAll registers the listeners. fx stops them in reverse order: callers drain first, while peers and operators are
// still served.
func serveAll(
	lifecycle fx.Lifecycle, s settings.Settings, log *logrus.Logger, drain *Drain,
	callers *caller.Server, operators *operator.Server, peers *peer.Server,
) {
	for _, l := range []*listener{
		{address: s.PeerListen, log: log, server: &http.Server{
			Handler: peers.Handler(), ReadHeaderTimeout: headerTimeout,
		}, wrap: func(socket net.Listener) net.Listener { return peer.NewCountingListener(socket, peers.Node.Metrics) }},
		{address: s.OperatorListen, log: log, server: &http.Server{
			Handler: operators.Handler(), ReadHeaderTimeout: headerTimeout,
		}},
	} {
		lifecycle.Append(fx.Hook{OnStart: l.Start, OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, finalTimeout)
			defer cancel()
			return l.server.Shutdown(ctx)
		}})
	}
	server := callers.NewHTTPServer()
	server.Handler = drain.closeIdle(server.Handler)
	l := &listener{address: s.Listen, log: log, server: server}
	lifecycle.Append(fx.Hook{OnStart: l.Start, OnStop: func(ctx context.Context) error {
		return drain.stop(ctx, server, s.Timeouts.Drain.Duration, log)
	}})
}

// stop leaves readiness first, keeps serving while the load balancer notices, and then waits for the requests in
// flight. A bound of 0 waits without limit; a bound that passes closes the connections, whose callers can resume at
// another entry.
func (d *Drain) stop(ctx context.Context, server *http.Server, bound time.Duration, log *logrus.Logger) error {
	d.draining.Store(true)
	log.Info("draining")
	select {
	case <-time.After(d.delay):
	case <-ctx.Done():
	}
	if bound > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, bound)
		defer cancel()
	}
	if err := server.Shutdown(ctx); err != nil {
		d.closing.Store(true)
		log.WithError(err).Warn("drain time has passed; closing connections in use")
		return server.Close()
	}
	log.Info("drained")
	return nil
}
