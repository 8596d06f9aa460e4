package daemon

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// finalReadTimeout is the time limit of the last read before an idle connection is closed. The read only collects what
// the kernel has already received.
const finalReadTimeout = time.Millisecond

// callerConn is a connection of a caller. It is idle while no byte of a request has been read from it. In a planned
// stop, closeIfIdle ends an idle connection in such a way that a request that was read is always served. It is safe for
// concurrent use.
type callerConn struct {
	*net.TCPConn
	mu sync.Mutex
	// idleSince is the time at which the connection became idle, or zero while it is not idle.
	idleSince time.Time
	// used is set after the first request.
	used bool
	// closing is set while a read of the idle connection is made to fail. readDeadline is the read deadline that net/http
	// has set, which applies again if a request arrives nevertheless.
	closing      bool
	readDeadline time.Time
}

// Read reads from the connection. After closeIfIdle, it fails only if the kernel has received nothing, so that net/http
// closes the connection without having read a request.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isClosing() {
		// An expired deadline fails a read although data is available.
		_ = c.TCPConn.SetReadDeadline(time.Now().Add(finalReadTimeout))
		n, err = c.TCPConn.Read(p)
	}
	if n > 0 {
		c.setBusy()
	}
	return n, err
}

// SetReadDeadline sets the deadline of reads. While the connection is being closed, the deadline only takes effect if a
// request arrives.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	if c.closing {
		return nil
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

func (c *callerConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

func (c *callerConn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince.IsZero()
}

// setIdle marks the connection as waiting for a request.
func (c *callerConn) setIdle(used bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince, c.used = time.Now(), used
}

// setBusy marks the connection as used by a request.
func (c *callerConn) setBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Time{}
	if c.closing {
		c.closing = false
		_ = c.TCPConn.SetReadDeadline(c.readDeadline)
	}
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
