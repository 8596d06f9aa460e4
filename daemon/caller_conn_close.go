package daemon

import (
	"io"
	"net"
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
	// relayTimeout is the time after which a relay between the caller and the daemon has passed on what it has acknowledged.
	// It applies in a planned stop only: at other times, a crowd of callers that don't end their side would hold memory.
	relayTimeout = 800 * time.Millisecond
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

// Close closes the connection after the caller has acknowledged everything that was written, and has ended its side or had the
// time to receive it. The kernel would reset a connection with unread bytes, or one that gets more after it is closed, and
// drop what it has not delivered; a relay would drop what it holds. A call after closeAtOnce does not wait, and one during
// another call leaves the connection to that.
func (c *callerConn) Close() error {
	first, waits, resets := c.beginClose()
	switch {
	case waits:
		return nil
	case resets:
	case first:
		c.awaitDelivery()
		c.endWait()
	default:
		c.endInOrder()
	}
	c.reportClose()
	return c.TCPConn.Close()
}

// closeAtOnce makes Close return without a wait. A call of Close that waits for the caller ends after finalWait.
func (c *callerConn) closeAtOnce(by connCloser, finalWait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.closedBy == "" {
		c.closedBy = by
	}
	if end := time.Now().Add(finalWait); c.waits && end.Before(c.waitEnd) {
		c.waitEnd = end
		_ = c.TCPConn.SetReadDeadline(end)
	}
}

// beginClose reports whether this is the first call, which then may wait, whether another call waits, and whether Close is to reset
// the connection.
func (c *callerConn) beginClose() (first, waits, resets bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, waits = !c.closed, c.waits
	c.closed = true
	if first && !c.resets {
		c.waits, c.waitEnd = true, time.Now().Add(deliveryTimeout)
	}
	return first, waits, c.resets
}

// endWait notes that Close does not wait any more.
func (c *callerConn) endWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waits = false
}

// setWait sets the deadline of the next read of a call of Close that waits. It reports false if the time is over.
func (c *callerConn) setWait(until time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waitEnd.Before(until) {
		until = c.waitEnd
	}
	_ = c.TCPConn.SetReadDeadline(until)
	return time.Now().Before(c.waitEnd)
}

// awaitDelivery ends the sending side and waits until the caller has ended its side and acknowledged everything, until the
// connection is over, or until the time is over: deliveryTimeout, relayTimeout once everything is acknowledged in a planned stop, or
// that of closeAtOnce. Until then it discards what the caller sends, which are requests that nobody serves, up to maxDiscardedBytes.
// After that the caller can't send more, but still receives, and only its acknowledgement is awaited.
func (c *callerConn) awaitDelivery() {
	// The caller of an idle connection has its last response if it sends the next request. Outside a planned stop, a relay lives on,
	// and a connection that waits for its caller would keep its memory from others.
	idle := c.isIdleAndDelivered()
	if (idle || !c.inStop()) && !isReadable(c.TCPConn) && unacknowledged(c.TCPConn) == 0 {
		return
	}
	// An error means that the connection has ended, which the read reports.
	_ = c.CloseWrite()
	d := &discarder{conn: c.TCPConn, buffer: make([]byte, 4<<10)}
	var heldUntil time.Time
	// After a reset that was reported to a write, reads report the end of the caller's side, and the kernel still counts what was
	// not acknowledged.
	for !isOver(c.TCPConn) {
		until := time.Now().Add(deliveryPollInterval)
		if unacknowledged(c.TCPConn) == 0 {
			if heldUntil.IsZero() {
				heldUntil = time.Now()
				if c.inStop() {
					heldUntil = heldUntil.Add(relayTimeout)
					c.linger()
				}
			}
			if idle || d.ended || d.isFull() || time.Now().After(heldUntil) {
				return
			}
			until = heldUntil
		}
		if !c.setWait(until) || !d.discard() {
			return
		}
	}
}

// linger lets the limits close the connection for others, as its caller, or a relay, has everything.
func (c *callerConn) linger() {
	if c.limits != nil {
		c.limits.Linger()
	}
}

// inStop reports whether a planned stop has begun.
func (c *callerConn) inStop() bool { return c.stops != nil && c.stops() }

// isIdleAndDelivered reports whether the connection is idle and its caller has acknowledged everything.
func (c *callerConn) isIdleAndDelivered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.idleSince.IsZero() && unacknowledged(c.TCPConn) == 0
}

// endInOrder ends the sending side and discards what has been received, without a wait, so that the kernel goes on to deliver
// after the close.
func (c *callerConn) endInOrder() {
	_ = c.CloseWrite()
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	buffer := make([]byte, 4<<10)
	// Unlike a Read, it does not wait for one that net/http has begun.
	_ = raw.Control(func(fd uintptr) {
		for discarded := 0; discarded < maxDiscardedBytes; {
			n, _, err := unix.Recvfrom(int(fd), buffer, unix.MSG_DONTWAIT)
			if n <= 0 || err != nil {
				return
			}
			discarded += n
		}
	})
}

// discarder reads what a caller sends on a connection that ends.
type discarder struct {
	conn   *net.TCPConn
	buffer []byte
	count  int
	// ended is set when the caller has ended its side.
	ended bool
}

// isFull reports whether the caller has sent as much as may be discarded. What it sends next stays in the kernel's memory.
func (d *discarder) isFull() bool { return d.count >= maxDiscardedBytes }

// discard reads once, or waits where nothing more may be read. It reports false after an error.
func (d *discarder) discard() bool {
	if d.ended || d.isFull() {
		time.Sleep(deliveryPollInterval)
		return true
	}
	n, err := d.conn.Read(d.buffer)
	d.count += n
	d.ended = errors.Is(err, io.EOF)
	return err == nil || d.ended || errors.Is(err, os.ErrDeadlineExceeded)
}

// unacknowledged returns the number of written bytes that the peer has not acknowledged, including the end of the
// connection, or zero if that is unknown.
func unacknowledged(conn syscall.Conn) int { return queued(conn, unix.SIOCOUTQ) }

// unread returns the number of bytes that the kernel has received and nobody has read, or zero if that is unknown.
func unread(conn syscall.Conn) int { return queued(conn, unix.SIOCINQ) }

// received returns the number of bytes that the kernel has received, including the end of the connection, or zero if that is
// unknown. Unlike unread, it also counts what was read.
func received(conn syscall.Conn) int64 {
	info, ok := tcpInfo(conn)
	if !ok {
		return 0
	}
	return int64(info.Bytes_received)
}

// tcpClosed is the state of a connection that was reset, or that both sides have ended.
const tcpClosed = 7

// isOver reports whether nothing can be received or delivered any more.
func isOver(conn syscall.Conn) bool {
	info, ok := tcpInfo(conn)
	return ok && info.State == tcpClosed
}

// tcpInfo returns the kernel's state of a connection, and false if that is unknown.
func tcpInfo(conn syscall.Conn) (info *unix.TCPInfo, ok bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, false
	}
	infoErr := error(nil)
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return info, err == nil && infoErr == nil
}

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
