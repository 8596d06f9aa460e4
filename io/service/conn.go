package service

import (
	"net"
	"sync"
)

// writeTrackingConn records whether a write of the current request has started, and can block writes if none has.
type writeTrackingConn struct {
	net.Conn
	mu            sync.Mutex
	writeStarted  bool
	writesBlocked bool
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

// startRequest resets writeStarted for a new request on the connection.
func (c *writeTrackingConn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeStarted = false
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
