package daemon

import (
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// deliveryTimeout bounds the wait of Close for a caller that reads slowly or has vanished. The kernel goes on to deliver
	// after it, but drops the rest if the caller sends anything.
	deliveryTimeout = 5 * time.Second
	// deliveryPollInterval is the interval at which Close looks for what the caller has not acknowledged.
	deliveryPollInterval = 10 * time.Millisecond
	// maxDiscardedBytes bounds what Close reads. It is the bound of net/http for the rest of a body that a handler has left.
	maxDiscardedBytes = 256 << 10
)

// SetLinger is that of net.TCPConn. With zero seconds, Close resets the connection at once.
func (c *callerConn) SetLinger(seconds int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets = seconds == 0
	return c.TCPConn.SetLinger(seconds)
}

// Close closes the connection after the caller has acknowledged everything that was written. The kernel would reset a
// connection with unread bytes, or one that gets more after it is closed, and drop what it has not delivered. A call
// during another one, or after closeAtOnce, does not wait.
func (c *callerConn) Close() error {
	if c.beginClose() && (isReadable(c.TCPConn) || unacknowledged(c.TCPConn) > 0) {
		c.awaitDelivery()
	}
	c.reportClose()
	return c.TCPConn.Close()
}

// closeAtOnce makes Close return without a wait.
func (c *callerConn) closeAtOnce(by connCloser) {
	_ = c.beginClose()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedBy == "" {
		c.closedBy = by
	}
}

// beginClose reports whether Close may wait, which it may only once.
func (c *callerConn) beginClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.closed
	c.closed = true
	return first && !c.resets
}

// awaitDelivery ends the sending side and waits until the caller has ended its side or acknowledged everything, or until
// deliveryTimeout has passed. Until then it discards what the caller sends, which are requests that nobody serves, up to
// maxDiscardedBytes. After that the caller can't send more, but still receives.
//
// What is acknowledged is in the caller's kernel. A reset, which follows if the caller sends after the close, doesn't take
// it from a caller on Linux, but other systems may drop what was not read. Therefore the bytes that have arrived are read
// before the close, within the bound.
func (c *callerConn) awaitDelivery() {
	// An error means that the connection has ended, which the read reports.
	_ = c.CloseWrite()
	buffer := make([]byte, 4<<10)
	discarded := 0
	for end := time.Now().Add(deliveryTimeout); time.Now().Before(end); {
		if discarded >= maxDiscardedBytes {
			if unacknowledged(c.TCPConn) == 0 {
				return
			}
			time.Sleep(deliveryPollInterval)
			continue
		}
		_ = c.TCPConn.SetReadDeadline(time.Now().Add(deliveryPollInterval))
		n, err := c.TCPConn.Read(buffer)
		discarded += n
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if n < len(buffer) && unacknowledged(c.TCPConn) == 0 {
			return
		}
	}
}

// unacknowledged returns the number of written bytes that the peer has not acknowledged, including the end of the
// connection, or zero if that is unknown.
func unacknowledged(conn syscall.Conn) int { return queued(conn, unix.SIOCOUTQ) }

// unread returns the number of bytes that the kernel has received and nobody has read, or zero if that is unknown.
func unread(conn syscall.Conn) int { return queued(conn, unix.SIOCINQ) }

// queued returns the number of bytes in a queue of a socket.
func queued(conn syscall.Conn, queue uint) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	count := 0
	// After an error, the count is zero.
	_ = raw.Control(func(fd uintptr) { count, _ = unix.IoctlGetInt(int(fd), queue) })
	return count
}
