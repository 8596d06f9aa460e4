package service

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// longBodyBytes is the size above which a body may not fit into the buffers of an endpoint that reads it late. Its window is
// then closed, which the kernel counts like data that stays unacknowledged, although the endpoint answers each window probe.
const longBodyBytes = 16 << 10

// writeTrackingConn records whether a write of the current request has started, and can block writes if none has.
type writeTrackingConn struct {
	net.Conn
	mu            sync.Mutex
	writeStarted  bool
	writesBlocked bool
	// longBody is set while the connection has no tcpUserTimeout, for a request with a long body.
	longBody bool
}

// Write writes data, or returns net.ErrClosed if writes are blocked.
func (c *writeTrackingConn) Write(data []byte) (int, error) {
	if !c.allowWrite() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}

// allowWrite reports whether a write may start, and records it if so.
func (c *writeTrackingConn) allowWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeStarted = c.writeStarted || !c.writesBlocked
	return !c.writesBlocked
}

// startRequest resets writeStarted for a new request on the connection. A request with a long body has no tcpUserTimeout; a
// host that vanishes before it has the body is then found at the request's deadline, and later by keep-alive probes.
func (c *writeTrackingConn) startRequest(bodyBytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeStarted = false
	longBody := bodyBytes > longBodyBytes
	if longBody == c.longBody {
		return
	}
	c.longBody = longBody
	timeout := tcpUserTimeout
	if longBody {
		timeout = 0
	}
	setConnUserTimeout(c.Conn, timeout)
}

// setConnUserTimeout changes the user timeout of a connection. Zero is the kernel's default.
func setConnUserTimeout(conn net.Conn, timeout time.Duration) {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		// An error means that the connection has ended, which its next use reports.
		_ = setUserTimeout(raw, timeout)
	}
}

// writtenOrBlocked returns true if a byte of the request may have been written. Otherwise it blocks all later writes,
// because net/http may still start to write after RoundTrip has returned an error, and returns false. conn is nil if
// the transport never obtained a connection.
func writtenOrBlocked(conn net.Conn) bool {
	if conn == nil {
		return false
	}
	tracked, ok := conn.(*writeTrackingConn)
	if !ok {
		return true
	}
	tracked.mu.Lock()
	defer tracked.mu.Unlock()
	tracked.writesBlocked = !tracked.writeStarted
	return tracked.writeStarted
}
