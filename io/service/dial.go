package service

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// TCP parameters that end a connection within about 3 s after the endpoint's host has stopped responding. A sound host may
// be silent for a second or so, and a single probe or its response may be lost. An engine that has stopped responding is
// found sooner by connection attempts, which end no connection.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// tcpUserTimeout is the time for which sent data may stay unacknowledged before the connection is closed. It also takes
	// the place of keepAliveProbes: the connection is closed at the first probe that is due after it, so it must be above
	// keepAliveIdle + keepAliveInterval.
	tcpUserTimeout = 2500 * time.Millisecond
)

func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, tcpUserTimeout) },
	}
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err == nil {
		err = sockoptErr
	}
	return errors.Trace(err)
}

// Reachable reports whether the endpoint accepts a new connection within the timeout. The connection is closed at once.
func (c *Client) Reachable(ctx context.Context, address string, timeout time.Duration) bool {
	return tryConnect(ctx, address, timeout) == nil
}

// ConnectTimesOut reports whether a connection attempt gets no response at all from the endpoint's host. A refused
// connection shows that the host runs; the host then resets the open connections of a process that has ended.
func (c *Client) ConnectTimesOut(ctx context.Context, address string, timeout time.Duration) bool {
	netErr, ok := errors.AsType[net.Error](tryConnect(ctx, address, timeout))
	return ok && netErr.Timeout() && ctx.Err() == nil
}

// tryConnect opens a connection and closes it at once.
func tryConnect(ctx context.Context, address string, timeout time.Duration) error {
	conn, err := (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Trace(err)
	}
	_ = conn.Close()
	return nil
}
