package service

import (
	"net"
	"sync"
)

// writeTrackingConn knows whether the current request has begun to be written, and can refuse that it begins.
type writeTrackingConn struct {
	net.Conn
	mu            sync.Mutex
	written       bool
	writesBlocked bool
}

// Write implements net.Conn.
func (c *writeTrackingConn) Write(data []byte) (int, error) {
	if !c.allowWrite() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}

func (c *writeTrackingConn) allowWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = c.written || !c.writesBlocked
	return !c.writesBlocked
}

// startRequest starts a new request on the connection.
func (c *writeTrackingConn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
}

// blockIfUnwritten reports whether a byte of the request may have been written. Where none was, none will be: net/http may still
// be about to write when it returns an error to the caller.
func blockIfUnwritten(conn net.Conn) bool {
	if conn == nil {
		return false
	}
	tracked, ok := conn.(*writeTrackingConn)
	if !ok {
		return true
	}
	tracked.mu.Lock()
	defer tracked.mu.Unlock()
	tracked.writesBlocked = !tracked.written
	return tracked.written
}
