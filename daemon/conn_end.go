package daemon

import (
	"io"
	"net"
	"syscall"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// connCloser is who has ended a connection of a caller.
type connCloser string

// Who ends connections, as the log and the metrics name them.
const (
	closedByDaemon connCloser = "daemon" // between two requests, or after a response
	closedByCaller connCloser = "caller"
	closedByReset  connCloser = "reset"  // the caller has reset it
	closedByLimits connCloser = "limits" // for its memory
	closedByStop   connCloser = "stop"   // the time of a planned stop was over
)

// maxCloseLines bounds the lines about connections that one planned stop writes.
const maxCloseLines = 200

// connEnd describes the end of a connection.
type connEnd struct {
	caller net.Addr
	by     connCloser
	// requestID is that of the latest request, and requests counts them.
	requestID string
	requests  int
	// inStop is set if a request was in flight during a planned stop.
	inStop bool
	// unacknowledged is the number of bytes that the caller has not acknowledged, and unread of those that the kernel has
	// received and nobody has read, for which it resets the connection.
	unacknowledged, unread int
}

// noteEnd notes who has ended the connection, by the error of a read.
func (c *callerConn) noteEnd(err error) {
	by := closedByCaller
	switch {
	case errors.Is(err, syscall.ECONNRESET):
		by = closedByReset
	case !errors.Is(err, io.EOF):
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedBy == "" && !c.closed {
		c.closedBy = by
	}
}

// noteStop notes whether a request is in flight during a planned stop.
func (c *callerConn) noteStop(draining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = c.stopping || draining
}

// reportClose calls onClose, once.
func (c *callerConn) reportClose() {
	c.mu.Lock()
	reported := c.reported
	c.reported = true
	end := connEnd{
		caller: c.RemoteAddr(), by: c.closedBy, requestID: c.requestID, requests: c.requests, inStop: c.stopping || c.idleSince.IsZero(),
	}
	c.mu.Unlock()
	if reported || c.onClose == nil {
		return
	}
	if end.by == "" {
		end.by = closedByDaemon
	}
	end.unacknowledged, end.unread = unacknowledged(c.TCPConn), unread(c.TCPConn)
	c.onClose(end)
}

// recordClose counts a connection that ends in a planned stop, and logs it if a request was in flight meanwhile. Its caller may
// not get the end of its last response, which was complete for the daemon unless it was cut, if bytes are not acknowledged. The
// lines are warnings, so that a log collector that keeps only warnings tells such a response from a lost one.
func (l *callerListener) recordClose(end connEnd) {
	if !l.isDraining() {
		return
	}
	if l.countClosed != nil {
		l.countClosed(string(end.by))
	}
	if (!end.inStop && end.unacknowledged == 0) || l.closeLines.Add(1) > maxCloseLines {
		return
	}
	message := "connection closed"
	if end.unacknowledged > 0 {
		message = "connection closed with undelivered bytes"
	}
	l.log.WithFields(logrus.Fields{
		"caller": end.caller.String(), "by": end.by, "request": end.requestID, "requests": end.requests, "bytes": end.unacknowledged,
		"unread": end.unread,
	}).Warn(message)
}

func (l *callerListener) isDraining() bool { return l.draining != nil && l.draining() }
