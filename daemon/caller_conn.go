package daemon

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"radishhollow/io/connlimit"
)

// finalReadTimeout is the time limit of the last read before an idle connection is closed, and of the last accepts of a
// socket. They only collect what isReadable has found, so they return at once. A short limit may expire on a busy machine
// before the call has begun.
const finalReadTimeout = time.Second

// isReadable reports whether the kernel has received data or the end of the connection, or has established a connection
// of a listening socket. Unlike a read, it does not depend on a deadline.
func isReadable(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		var pollErr error
		for ready, pollErr = unix.Poll(events, 0); errors.Is(pollErr, unix.EINTR); {
			ready, pollErr = unix.Poll(events, 0)
		}
	})
	return err == nil && ready > 0
}

// callerConn is a connection of a caller. It is idle while no byte of a request has been read from it. An idle
// connection ends through its read deadline, after closeIfIdle or after idleTimeout, in such a way that a request that
// was received is served. It is safe for concurrent use.
type callerConn struct {
	*net.TCPConn
	// idleTimeout returns the time for which the connection may be idle, if net/http's own timeout ends before. It may
	// be nil. headerTimeout is the time limit of a request's header.
	idleTimeout   func() time.Duration
	headerTimeout time.Duration
	// onClose is called when the connection is closed. It may be nil.
	onClose func(end connEnd)
	// stops reports whether a planned stop has begun. It may be nil.
	stops func() bool
	// limits bounds what the connection holds. It may be nil.
	limits *connlimit.Conn

	mu sync.Mutex
	// idleSince is the time at which the connection became idle, or zero while it is not idle.
	idleSince time.Time
	// used is set after the first request, and awaiting once net/http has set the deadline of the wait for a later one.
	used, awaiting bool
	// closing is set while a read of the idle connection is made to fail, and extended after a deadline has been replaced.
	closing, extended bool
	// readDeadline is the read deadline that applies if a request arrives. It is that of net/http unless extended is set.
	readDeadline time.Time
	// resets is set while Close is to reset the connection, and closed once Close need not wait.
	resets, closed bool
	// waits is set while Close waits for the caller, until waitEnd at the latest.
	waits   bool
	waitEnd time.Time
	// closedBy is who has ended the connection, or empty while that is the daemon in the course of its work.
	closedBy connCloser
	// reported is set when onClose has been called.
	reported bool
	// requestID is that of the latest request, and requests counts them.
	requestID string
	requests  int
	// stopping is set if a request was in flight during a planned stop.
	stopping bool
}

// Read reads from the connection, within its limits.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.limits == nil {
		return c.readSocket(p)
	}
	return c.limits.Read(p)
}

// Limited returns the limits of the connection, or nil.
func (c *callerConn) Limited() *connlimit.Conn { return c.limits }

// beginHead is called when a part of a head is there, whether it was read now or with the request before.
func (c *callerConn) beginHead(used bool) {
	c.setBusy()
	if !used {
		// net/http has set the deadline of the first head.
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = time.Now().Add(c.headerTimeout)
	_ = c.TCPConn.SetReadDeadline(c.readDeadline)
}

// abort closes the connection without a wait for what was written, because of the limits.
func (c *callerConn) abort() {
	c.closeAtOnce(closedByLimits, 0)
	c.reportClose()
	_ = c.TCPConn.Close()
}

// SetRequestID sets the id of the request that is being served.
func (c *callerConn) SetRequestID(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestID = id
	c.requests++
}

// readSocket reads from the connection. While the connection is idle, the read fails only if the kernel has received
// nothing, so that net/http closes the connection without having read a request.
func (c *callerConn) readSocket(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	for errors.Is(err, os.ErrDeadlineExceeded) {
		last, ok := c.extendDeadline()
		if !ok {
			break
		}
		if n, err = c.TCPConn.Read(p); last {
			break
		}
	}
	if n > 0 {
		c.setBusy()
	}
	c.noteEnd(err)
	return n, err
}

// extendDeadline replaces the deadline of an idle connection if that may be idle for longer. Otherwise it allows one more
// read if something was received, because an expired deadline fails a read although data is available. That read is then
// the last one.
func (c *callerConn) extendDeadline() (last, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() {
		return false, false
	}
	c.extended = true
	if c.idleTimeout != nil && !c.closing {
		if end := c.idleSince.Add(c.idleTimeout()); time.Now().Before(end) {
			c.readDeadline = end
			return false, c.TCPConn.SetReadDeadline(end) == nil
		}
	}
	return true, isReadable(c.TCPConn) && c.TCPConn.SetReadDeadline(time.Now().Add(finalReadTimeout)) == nil
}

// SetReadDeadline sets the deadline of reads. While the connection is being closed, the deadline only takes effect if a
// request arrives. net/http sets a deadline for the wait for a request and another one when its first bytes are there,
// which it may have read together with the request before.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaiting && !c.idleSince.IsZero() {
		c.idleSince, c.closing = time.Time{}, false
	}
	c.awaiting = c.used
	c.readDeadline, c.extended = deadline, false
	if c.closing {
		return nil
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// busy reports whether a request is in flight. A connection that only awaits the delivery of its last response has none.
func (c *callerConn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince.IsZero() && !c.closed
}

// setIdle marks the connection as waiting for a request.
func (c *callerConn) setIdle(used bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince, c.used, c.awaiting = time.Now(), used, false
}

// setBusy marks the connection as used by a request.
func (c *callerConn) setBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Time{}
	if !c.closing && !c.extended {
		return
	}
	// net/http sets the deadline of the first header before the connection is idle, so extending it has replaced it.
	isFirstHeader := c.extended && !c.used
	c.closing, c.extended = false, false
	if isFirstHeader || (!c.readDeadline.IsZero() && time.Now().After(c.readDeadline)) {
		c.readDeadline = time.Now().Add(c.headerTimeout)
	}
	_ = c.TCPConn.SetReadDeadline(c.readDeadline)
}

// closeIfIdle ends a connection on which no request has begun for newTimeout after it was opened, or for idleTimeout
// after the last response.
func (c *callerConn) closeIfIdle(newTimeout, idleTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout := newTimeout
	if c.used {
		timeout = idleTimeout
	}
	if c.closing || c.idleSince.IsZero() || time.Since(c.idleSince) < timeout {
		return
	}
	c.closing = true
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
}
