package test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"radishhollow/platform/platformtest"
)

const (
	// mixedDeadline is the time that callers wait for a response.
	mixedDeadline = 25 * time.Second
	// slowReceiveBuffer is the receive buffer in bytes of callers that read slowly.
	slowReceiveBuffer = 4096
	// slowPauses is the number of pauses in reading a response. Those of slowStreamPause at most end long before a stream
	// does. Those of slowPause at most are shorter together than the time that a stopping daemon requires for a request.
	slowPauses      = 8
	slowStreamPause = 600 * time.Millisecond
	slowPause       = 50 * time.Millisecond
)

// mixedRequest is a request of a caller with its result.
type mixedRequest struct {
	id, path string
	// last is the id of the last event that the caller of a stream has.
	last int
	// habits are the caller's, for messages.
	habits          string
	daemon          int
	process         *mixedProcess
	sentAt, endedAt time.Time
	// status is 0 without a response head. body is a part of the response if err is set.
	status int
	body   string
	err    error
}

// mixedCaller sends requests on connections that it keeps as long as they last.
type mixedCaller struct {
	play   *mixedStops
	n      int
	random *rand.Rand
	count  int
	// rest is the stream of which the caller has a part, or nil.
	rest *mixedRequest
}

func (c *mixedCaller) run() {
	for !c.play.isStopped() {
		conn := c.dial()
		if conn == nil {
			c.play.sleep(mixedDuration(c.random, 10*time.Millisecond, 100*time.Millisecond))
			continue
		}
		conn.run()
		_ = conn.Close()
	}
}

// mixedConn is a connection of a caller with the caller's habits on it.
type mixedConn struct {
	net.Conn

	caller  *mixedCaller
	reader  *bufio.Reader
	daemon  int
	process *mixedProcess
	// slow callers pause while they read, pipelining ones send the next request before the response is complete, and others
	// send a line end after the body.
	slow, pipelines, lineEnd bool
	// relayed is set if a relay is between the caller and the daemon.
	relayed bool

	mu sync.Mutex
	// next is a request that has been sent before the response to the one before it was complete.
	next *mixedRequest
}

// dial opens a connection to any daemon, and returns nil if that accepts none.
func (c *mixedCaller) dial() *mixedConn { return c.dialTo(c.random.IntN(len(c.play.daemons))) }

func (c *mixedCaller) dialTo(daemon int) *mixedConn {
	conn := &mixedConn{
		caller: c, daemon: daemon, slow: c.random.IntN(5) == 0, pipelines: c.random.IntN(4) == 0,
		lineEnd: c.random.IntN(5) == 0,
	}
	dialer := &net.Dialer{Timeout: time.Second}
	if conn.slow {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowReceiveBuffer)
			})
		}
	}
	d := c.play.daemons[conn.daemon]
	address := d.address
	if len(d.relays) > 0 && c.random.IntN(2) == 0 {
		address, conn.relayed = d.relays[c.random.IntN(len(d.relays))].Address(), true
	}
	var err error
	if conn.Conn, err = dialer.DialContext(c.play.t.Context(), "tcp", address); err != nil {
		return nil
	}
	// The process before has ended when the next one starts.
	conn.process = d.current()
	conn.reader = bufio.NewReader(conn.Conn)
	return conn
}

// run sends requests until the connection ends.
func (c *mixedConn) run() {
	for {
		q := c.takeNext()
		if q == nil {
			if c.caller.play.isStopped() {
				return
			}
			q = c.caller.request()
			c.send(q)
		}
		stop := c.sendEarly()
		usable := q.err == nil && c.read(q)
		stop()
		c.caller.finish(q)
		if !usable {
			// The connection ends for a request that was sent early, too.
			if next := c.takeNext(); next != nil {
				next.err = errors.New("the connection ended with the response before")
				c.caller.finish(next)
			}
			return
		}
		c.caller.play.sleep(time.Duration(c.caller.random.Int64N(int64(50 * time.Millisecond))))
	}
}

func (c *mixedConn) takeNext() *mixedRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.next
	c.next = nil
	return q
}

// sendEarly sends the next request after a random time, unless the returned function is called before.
func (c *mixedConn) sendEarly() (stop func()) {
	if !c.pipelines {
		return func() {}
	}
	q := c.caller.request()
	done := make(chan struct{})
	timer := time.AfterFunc(time.Duration(c.caller.random.Int64N(int64(4*time.Second))), func() {
		defer close(done)
		c.send(q)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.next = q
	})
	return func() {
		if timer.Stop() {
			c.caller.returnRequest(q)
			return
		}
		<-done
	}
}

func (c *mixedConn) send(q *mixedRequest) {
	q.daemon, q.process, q.sentAt = c.daemon, c.process, time.Now()
	q.habits = fmt.Sprintf("slow %t, pipelines %t, line end %t, relayed %t", c.slow, c.pipelines, c.lineEnd, c.relayed)
	end := ""
	if c.lineEnd {
		end = "\r\n"
	}
	_ = c.SetDeadline(time.Now().Add(2 * mixedDeadline))
	_, q.err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Token k\r\n%s: %s\r\nX-Radishhollow-Deadline-Ms: %d\r\n"+
		"X-Radishhollow-Token-Usage: 300,240\r\nLast-Event-Id: %d\r\nContent-Length: 4\r\n\r\nbody%s", q.path,
		platformtest.RequestIDHeader, q.id, mixedDeadline.Milliseconds(), q.last, end)
}

// read reads the response and reports whether the connection may be used again.
func (c *mixedConn) read(q *mixedRequest) (usable bool) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		q.err = err
		return false
	}
	q.status = response.StatusCode
	var body strings.Builder
	if c.slow {
		pause := slowPause
		if q.path == "/stream/x" {
			pause = slowStreamPause
		}
		c.readSlowly(&body, response.Body, pause)
	}
	_, q.err = io.Copy(&body, response.Body)
	_ = response.Body.Close()
	q.body = body.String()
	return q.err == nil && !response.Close
}

// readSlowly reads the first part of a body with pauses.
func (c *mixedConn) readSlowly(to io.Writer, body io.Reader, longestPause time.Duration) {
	random := mixedRandom(c.caller.play.seed, fmt.Sprint(c.caller.n, c.caller.count))
	for range slowPauses {
		time.Sleep(time.Duration(random.Int64N(int64(longestPause))))
		if _, err := io.CopyN(to, body, int64(1+random.IntN(2*slowReceiveBuffer))); err != nil {
			return
		}
	}
}

// request returns the next request: the rest of a stream if there is one, or a new request.
func (c *mixedCaller) request() *mixedRequest {
	c.count++
	if q := c.rest; q != nil {
		c.rest = nil
		key, _, _ := strings.Cut(q.id, ".")
		return &mixedRequest{id: fmt.Sprintf("%s.%d", key, c.count), path: q.path, last: q.last}
	}
	path := "/stream/x"
	switch c.random.IntN(10) {
	case 0, 1:
		path = "/once/x"
	case 2, 3:
		path = "/safe/x"
	case 4:
		path = fmt.Sprintf("/extra-%d/x", c.random.IntN(mixedExtraRoutes))
	case 5:
		path = "/none/x"
	}
	return &mixedRequest{id: fmt.Sprintf("q%d-%d.0", c.n, c.count), path: path}
}

// returnRequest takes back a request that was not sent.
func (c *mixedCaller) returnRequest(q *mixedRequest) {
	if q.last > 0 {
		c.rest = q
	}
}

// finish records the end of a request and keeps the rest of a stream.
func (c *mixedCaller) finish(q *mixedRequest) {
	q.endedAt = time.Now()
	c.play.record(q)
	if q.path == "/stream/x" && (q.err != nil || q.status != http.StatusOK) {
		q := *q
		q.last += strings.Count(q.body, "\n\n")
		c.rest = &q
	}
	if q.status == http.StatusServiceUnavailable || errors.Is(q.err, os.ErrDeadlineExceeded) {
		c.play.sleep(mixedDuration(c.random, 50*time.Millisecond, 150*time.Millisecond))
	}
}
