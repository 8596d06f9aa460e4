package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"radishhollow/core/clock"
	"radishhollow/io/connlimit"
)

const (
	// newConnTimeout and idleConnTimeout limit the wait for a request on an open connection in a planned stop. Callers
	// send the first request about a round trip after a connection is accepted, and a caller that sends requests without
	// pause sends the next one about a round trip after a response.
	newConnTimeout  = time.Second
	idleConnTimeout = 500 * time.Millisecond
	// drainPollInterval is the interval at which a planned stop looks for idle connections.
	drainPollInterval = 20 * time.Millisecond
	// acceptQueueTimeout bounds the time in which a planned stop accepts the connections that the kernel has established
	// before.
	acceptQueueTimeout = 100 * time.Millisecond
)

// callerListener is the HTTP server for callers with its connections.
//
// http.Server.Shutdown does not fit a planned stop: net/http closes each connection whose request it has read after the
// call without a response, and closes a connection as soon as a response is complete, even if the caller was not told.
// Therefore drain waits until there is no connection, before it calls Shutdown.
type callerListener struct {
	address string
	server  *http.Server
	log     *logrus.Logger
	// idleTimeout returns the time for which a connection may be idle, where that is longer than the server's
	// IdleTimeout. It may be nil and must be set before Start.
	idleTimeout func() time.Duration
	// limiter bounds what the connections hold. It may be nil and must be set before Start.
	limiter *connlimit.Limiter

	// draining reports whether a planned stop has begun, and countClosed counts the connections that end in it. They may be nil
	// and must be set before Start.
	draining    func() bool
	countClosed func(class string)
	// closeLines counts the lines of recordClose.
	closeLines atomic.Int32

	socket *net.TCPListener
	// ended is closed when the server accepts no more connections.
	ended chan struct{}
	mu    sync.Mutex
	conns map[*callerConn]struct{}
	// acceptUntil is the time until which established connections are accepted. It is zero before the planned stop.
	acceptUntil time.Time
	// closing is set when closeConns begins.
	closing bool
	// requests is the context of all requests, which cancelRequests ends.
	requests       context.Context
	cancelRequests context.CancelFunc
}

// expiredDeadline makes calls of a socket fail at once.
var expiredDeadline = time.Unix(1, 0)

func newCallerListener(address string, server *http.Server, log *logrus.Logger) *callerListener {
	l := &callerListener{
		address: address, server: server, log: log, ended: make(chan struct{}), conns: map[*callerConn]struct{}{},
	}
	server.ConnState = l.recordState
	l.requests, l.cancelRequests = context.WithCancel(context.Background())
	server.BaseContext = func(net.Listener) context.Context { return l.requests }
	server.ErrorLog = newServerLog(log)
	return l
}

// Start opens the socket and serves in the background.
func (l *callerListener) Start(ctx context.Context) error {
	socket, err := listen(ctx, l.address)
	if err != nil {
		return err
	}
	l.socket = socket.(*net.TCPListener) // listen opens only TCP sockets.
	if l.limiter != nil {
		connlimit.Install(l.server)
	}
	go l.run()
	return nil
}

func (l *callerListener) run() {
	defer close(l.ended)
	if err := l.server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		l.log.WithField("address", l.address).WithError(err).Error("listener ended")
	}
}

// Accept returns the next connection for which there is memory. In a planned stop, it returns the connections that are
// already established, whose callers may have sent a request, and then net.ErrClosed.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.acceptTCP()
		if err != nil {
			return nil, err
		}
		c := &callerConn{TCPConn: conn, idleTimeout: l.idleTimeout, headerTimeout: l.server.ReadHeaderTimeout, onClose: l.recordClose, stops: l.isDraining}
		if l.limiter == nil {
			return c, nil
		}
		c.limits = &connlimit.Conn{
			Limiter: l.limiter, Limits: headLimits(l.server), Source: c.readSocket, OnHead: c.beginHead,
			Refuse: connlimit.RefuseFunc(conn), Abort: c.abort, Received: func() int64 { return received(conn) },
		}
		if c.limits.Open() {
			return c, nil
		}
		_ = conn.Close()
	}
}

func (l *callerListener) acceptTCP() (*net.TCPConn, error) {
	conn, err := l.socket.AcceptTCP()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// Only stopAccepting sets a deadline. An expired deadline fails Accept although a connection is established.
		if !isReadable(l.socket) {
			return nil, net.ErrClosed
		}
		_ = l.socket.SetDeadline(time.Now().Add(finalReadTimeout))
		conn, err = l.socket.AcceptTCP()
		// Without an expired deadline, the next call would wait for connections that are established later.
		_ = l.socket.SetDeadline(expiredDeadline)
		if errors.Is(err, os.ErrDeadlineExceeded) || l.acceptTimedOut() {
			if conn != nil {
				_ = conn.Close()
			}
			return nil, net.ErrClosed
		}
	}
	return conn, err
}

// Addr returns the address of the socket.
func (l *callerListener) Addr() net.Addr { return l.socket.Addr() }

// Close closes the socket.
func (l *callerListener) Close() error { return l.socket.Close() }

func (l *callerListener) acceptTimedOut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().After(l.acceptUntil)
}

// recordState is the server's ConnState. net/http calls it before it reads the next request of a connection, and before
// it calls the handler.
func (l *callerListener) recordState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		c.setIdle(false)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conns[c] = struct{}{}
		if l.closing {
			c.closeAtOnce(closedByStop, 0)
		}
	case http.StateActive:
		c.setBusy()
		c.noteStop(l.isDraining())
	case http.StateIdle:
		c.noteStop(l.isDraining())
		c.setIdle(true)
	case http.StateHijacked, http.StateClosed:
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, c)
	}
}

// drain stops to accept connections and waits until all connections are closed. Idle ones are closed after a short
// time. It returns the error of ctx if that ends before.
func (l *callerListener) drain(ctx context.Context) error {
	l.stopAccepting()
	select {
	case <-l.ended:
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for l.closeIdle() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
	return l.server.Shutdown(ctx)
}

// serveWhileBusy keeps accepting connections until none has a request in flight or the timeout has passed.
func (l *callerListener) serveWhileBusy(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for l.busy() && clock.Sleep(ctx, drainPollInterval) == nil {
	}
}

// busy reports whether a connection has a request in flight.
func (l *callerListener) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.busy() {
			return true
		}
	}
	return false
}

func (l *callerListener) stopAccepting() {
	l.mu.Lock()
	l.acceptUntil = time.Now().Add(acceptQueueTimeout)
	l.mu.Unlock()
	if err := l.socket.SetDeadline(expiredDeadline); err != nil {
		_ = l.socket.Close()
	}
}

// waitClosed waits until the handlers of all connections have ended, or until the timeout has passed.
func (l *callerListener) waitClosed(timeout time.Duration) {
	// net/http does not cancel the context of a request if data of the next one has arrived when its connection is closed.
	l.cancelRequests()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for l.openCount() > 0 && clock.Sleep(ctx, drainPollInterval) == nil {
	}
}

// closeConns closes all connections, also those with requests in flight.
func (l *callerListener) closeConns() error {
	l.closeAtOnce()
	return l.server.Close()
}

// closeAtOnce keeps http.Server.Close, which closes one connection after the other, from waiting for each.
func (l *callerListener) closeAtOnce() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for c := range l.conns {
		c.closeAtOnce(closedByStop, finalDeliveryTimeout)
	}
}

func (l *callerListener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// closeIdle closes the idle connections and returns the number of open ones.
func (l *callerListener) closeIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.closeIfIdle(newConnTimeout, idleConnTimeout)
	}
	return len(l.conns)
}
