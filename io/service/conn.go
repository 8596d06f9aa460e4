package service

import (
	"net"
	"sync"
)

// gatedConn knows whether the current request has begun to be written, and can refuse that it begins.
type gatedConn struct {
	net.Conn
	mu     sync.Mutex
	begun  bool
	sealed bool
}

// Write implements net.Conn.
func (c *gatedConn) Write(data []byte) (int, error) {
	if !c.begin() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}

func (c *gatedConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = c.begun || !c.sealed
	return !c.sealed
}

// arm starts a new request on the connection.
func (c *gatedConn) arm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = false
}

// seal reports whether a byte of the request may have been written. Where none was, none will be: net/http may still
// be about to write when it returns an error to the caller.
func seal(conn net.Conn) bool {
	if conn == nil {
		return false
	}
	gated, ok := conn.(*gatedConn)
	if !ok {
		return true
	}
	gated.mu.Lock()
	defer gated.mu.Unlock()
	gated.sealed = !gated.begun
	return gated.begun
}
