package service

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Detection of endpoints that fall silent without closing their connections. A stream that waits for its first output
// has nothing else that would show it, and its objective is a few seconds.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 1
	// userTimeout bounds the time for which written bytes stay unacknowledged.
	userTimeout = 1500 * time.Millisecond
)

func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: limitSilence,
	}
}

func limitSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err == nil {
		err = failed
	}
	return errors.Trace(err)
}

// Reachable tells whether the endpoint accepts a new connection in time. It opens none that is kept.
func (c *Client) Reachable(ctx context.Context, address string, timeout time.Duration) bool {
	return probe(ctx, address, timeout) == nil
}

// ConnectTimesOut tells whether the endpoint's machine leaves new connections without any answer. A refusal shows that the machine
// runs; the connections that were open to a process that has ended are then reset by it.
func (c *Client) ConnectTimesOut(ctx context.Context, address string, timeout time.Duration) bool {
	failed, ok := errors.AsType[net.Error](probe(ctx, address, timeout))
	return ok && failed.Timeout() && ctx.Err() == nil
}

// probe opens a connection and closes it again.
func probe(ctx context.Context, address string, timeout time.Duration) error {
	conn, err := (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Trace(err)
	}
	_ = conn.Close()
	return nil
}
