package connlimit

import (
	"bytes"
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// phase is what a connection does.
type phase int

const (
	readsHead phase = iota // from the start, or the first byte of a head, until it is whole
	serves                 // from a whole head until the response is complete
	idles                  // until the first byte of the next head
	lingers                // from the end of the last response until the connection is closed
)

// Conn is what the Limiter knows of one connection. Its Read passes a head on only when it is whole and has its memory. The
// exported fields must be set before Open.
type Conn struct {
	Limiter *Limiter
	Limits  Limits
	// Internal is set where peers, operators or the platform connect.
	Internal bool
	// Source reads from the connection. OnHead is called when the first bytes of a head are there, with used set if a request
	// was served before. Refuse writes a response, and Abort closes the connection at once.
	Source func(p []byte) (int, error)
	OnHead func(used bool)
	Refuse func(response string)
	Abort  func()
	// Received returns the number of bytes that the kernel has received, whether they were read or not. It may be nil.
	Received func() int64

	// The next fields are used by the goroutine that reads, which net/http never lets overlap with another read or a change of
	// state. buffer holds what was read and not passed on. The head has seen scanned bytes of it, and net/http may read ready ones.
	buffer         []byte
	scanned, ready int
	head           scanner
	// read is the number of bytes that were read.
	read int64
	// begun is set from the first byte of a head, passed while net/http has a head with its memory, serving while a request is
	// served, and used after the first request.
	begun, passed, serving, used bool
	// pipelined is set where a part of the head came with the head before.
	pipelined bool
	// early counts what net/http may hold of the head since the body before.
	early int64
	// ahead is set while what the caller has sent beyond the request counts.
	ahead bool
	// followed is set while the caller is known to have sent more than the request that is served. The handler may read it.
	followed atomic.Bool
	// left is the number of bytes of the body that were not read, or unknownBody, and tail what was read last of such a body.
	left int64
	tail []byte

	// The next fields are guarded by Limiter.mu. pending is set while a part of the body is missing, as far as that is known.
	held    int64
	since   time.Time
	phase   phase
	pending bool
	evicted bool
	// known is the number of received bytes that phase and held account for. What was read but is not yet accounted for must keep
	// the connection from being evicted, as what the kernel still has.
	known int64
	// admitted is set while what the connection holds counts as that of a request.
	admitted bool
	// waiting is set while a whole head waits for memory, and counted in Limiter.waiting.
	waiting bool
}

// hasReceived reports whether more than n bytes have been received.
func (c *Conn) hasReceived(n int64) bool { return c.Received != nil && c.Received() > n }

// hasArrived reports whether something was received that is not accounted for. Limiter.mu must be held.
func (c *Conn) hasArrived() bool { return c.hasReceived(c.known) }

// setKnown changes the number of received bytes that are accounted for.
func (c *Conn) setKnown(n int64) {
	c.Limiter.mu.Lock()
	defer c.Limiter.mu.Unlock()
	c.known = n
}

// enter changes the phase, unless the connection was evicted.
func (c *Conn) enter(next phase, pending bool) bool {
	c.Limiter.mu.Lock()
	defer c.Limiter.mu.Unlock()
	c.phase, c.pending, c.since = next, pending, time.Now()
	return !c.evicted
}

// Open reports whether there is memory for the connection. Close must be called once it is closed.
func (c *Conn) Open() bool { return c.Limiter.open(c) }

// Close returns the memory of the connection.
func (c *Conn) Close() { c.Limiter.close(c) }

// Serving must be called when net/http has parsed a head, and before it calls the handler.
func (c *Conn) Serving() {
	c.serving = true
	if !c.passed {
		// A part of the head came with the body before.
		c.left, c.head = unknownBody, scanner{}
		c.enter(serves, true)
		c.setKnown(c.read)
	}
	c.passed = false
}

// Idle must be called when a response is complete, before net/http reads the next head.
func (c *Conn) Idle() {
	c.serving, c.used, c.pipelined = false, true, len(c.buffer) > 0
	c.early = 0
	if c.left == unknownBody {
		// A part of the next head may be in the buffer of net/http. Its end shows whether a line is at its end.
		c.early = chunkedBytes
		c.head = scanner{}
		if !bytes.HasSuffix(c.tail, []byte("\n")) {
			c.head.scan(c.tail)
			c.head.unframed = true
		}
		c.tail = nil
	}
	c.Limiter.grow(c, c.heldByHead(), evictHead)
	// What is buffered may be a whole request.
	c.setKnown(c.read - int64(len(c.buffer)))
	c.enter(idles, false)
}

// heldByHead returns what the connection holds until its head is whole.
func (c *Conn) heldByHead() int64 { return int64(connBytes+cap(c.buffer)) + c.early }

// Linger must be called when the connection only awaits its caller's end, and the caller has acknowledged its last response. It then
// holds what an open connection does, and is the first to be closed for others.
func (c *Conn) Linger() { c.Limiter.linger(c) }

// BodyRead must be called when the handler has read the body to its end.
func (c *Conn) BodyRead() { c.enter(serves, false) }

// Read reads for net/http.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if c.serving {
		return c.readBody(p)
	}
	for c.ready == 0 {
		if err := c.readHead(p); err != nil {
			return 0, err
		}
	}
	n := c.takeBuffered(p[:min(len(p), c.ready)])
	if c.ready -= n; c.ready == 0 {
		// The rest, which is short, must not keep the memory of the head.
		c.buffer = append([]byte(nil), c.buffer...)
	}
	return n, nil
}

// takeBuffered passes on what is buffered.
func (c *Conn) takeBuffered(p []byte) int {
	n := copy(p, c.buffer)
	c.scanned = max(c.scanned-n, 0)
	if c.buffer = c.buffer[n:]; len(c.buffer) == 0 {
		c.buffer = nil
	}
	return n
}

// readSource reads from the connection.
func (c *Conn) readSource(p []byte) (int, error) {
	n, err := c.Source(p)
	c.read += int64(n)
	return n, err
}

// readBody reads no further than the end of the body, as far as that is known. After it, one byte at a time is enough to find
// out whether the caller has left.
func (c *Conn) readBody(p []byte) (int, error) {
	if c.left >= 0 {
		p = p[:min(int64(len(p)), max(c.left, 1))]
	}
	var err error
	n := c.takeBuffered(p)
	if n == 0 {
		n, err = c.readSource(p)
	}
	switch {
	case c.left > 0:
		c.left -= int64(n)
	case c.left == 0:
		if n > 0 && !c.countAhead() {
			return 0, refusalError(CauseAhead)
		}
		if c.head.scan(p[:n]); c.head.done {
			c.head = scanner{}
		}
	default:
		c.tail = append(c.tail, p[:n]...)
		c.tail = append([]byte(nil), c.tail[max(len(c.tail)-tailBytes, 0):]...)
	}
	if n > 0 {
		c.touch()
	}
	return n, err
}

// countAhead counts what the kernel may keep of a caller that sends more before the response. It reports false if there is no
// memory for it, and the connection is closed.
func (c *Conn) countAhead() bool {
	if !c.ahead {
		c.ahead = c.Limiter.addWindow(c)
		c.followed.Store(c.ahead)
	}
	return c.ahead
}

// tailBytes is enough to tell the end of a line from an empty line.
const tailBytes = 2

// touch notes that a part of the body has arrived.
func (c *Conn) touch() {
	c.Limiter.mu.Lock()
	defer c.Limiter.mu.Unlock()
	c.since, c.known = time.Now(), c.read
}

// readHead reads a part of a head. Once the head is whole it makes it ready.
func (c *Conn) readHead(p []byte) error {
	if c.scanned == len(c.buffer) {
		n, err := c.readSource(p)
		if n == 0 {
			return err
		}
		c.buffer = append(c.buffer, p[:n]...)
	}
	if !c.begin() {
		return c.refuseHead("", CauseEvictedHead)
	}
	c.scanned += c.head.scan(c.buffer[c.scanned:])
	if cause := c.head.exceeds(c.Limits); cause != "" {
		return c.refuseHead(statusTooLarge, cause)
	}
	if !c.head.done {
		upTo := evictYoung
		if isLarge(c.head) {
			upTo = evictHead
		}
		if !c.Limiter.grow(c, c.heldByHead(), upTo) {
			return c.refuseHead("", CauseEvictedHead)
		}
		c.setKnown(c.read)
		return nil
	}
	return c.finishHead()
}

// begin notes the first bytes of a head. It reports false if the connection was evicted.
func (c *Conn) begin() bool {
	if c.begun {
		return true
	}
	c.begun = true
	c.OnHead(c.used)
	return c.enter(readsHead, false)
}

// isLarge reports whether a head may not use the reserve for ordinary requests.
func isLarge(head scanner) bool { return head.size > ordinaryHeadBytes || head.lines > ordinaryLines }

// finishHead makes a whole head ready once there is memory for what it becomes.
func (c *Conn) finishHead() error {
	head := c.head
	c.ready, c.begun, c.head = c.scanned, false, scanner{}
	if head.lines == 1 {
		// Only an empty line. net/http skips it or refuses it.
		c.setKnown(c.read)
		return nil
	}
	c.left = head.bodyLength(c.buffer[:c.ready])
	need := c.heldByHead() + int64(requestBytes+2*head.size+lineBytes*head.lines)
	if c.left == unknownBody {
		need += chunkedBytes
	}
	pending := c.left == unknownBody || c.left > int64(len(c.buffer)-c.ready)
	if !c.enter(serves, pending) {
		return c.refuseHead("", CauseEvictedHead)
	}
	c.setKnown(c.read)
	c.ahead = c.isFollowed()
	c.followed.Store(c.ahead)
	if c.ahead {
		need += windowBytes
	}
	large := isLarge(head) || c.pipelined || c.ahead
	defer c.Limiter.endWait(c)
	for end := time.Now().Add(memoryWait); !c.admit(need, large, pending); time.Sleep(memoryPollInterval) {
		if large || c.sendsAhead() || time.Now().After(end) || !c.Limiter.wait(c) {
			return c.refuseHead(statusNoMemory, CauseMemory)
		}
	}
	c.passed = true
	return nil
}

// admit reports whether there is memory for a request, in the share that it may use.
func (c *Conn) admit(need int64, large, pending bool) bool {
	l := c.Limiter
	switch {
	case large:
		return l.admit(c, need, largePercent, evictIdle)
	case c.Internal && l.admitInternal(c, need):
		return true
	case pending:
		return l.admit(c, need, largePercent, evictYoung)
	case l.exceeds(need, largePercent) && c.sendsAhead():
		return false
	}
	return l.admit(c, need, requestPercent, evictYoung)
}

// sendsAhead reports whether the kernel has received more than the request, which has no body.
func (c *Conn) sendsAhead() bool { return c.left == 0 && c.hasReceived(c.read) }

// isFollowed reports whether the caller has sent more than the request, without a wait for its response.
func (c *Conn) isFollowed() bool {
	return c.left != unknownBody && int64(len(c.buffer)-c.ready) > c.left
}

const (
	statusTooLarge = "431 Request Header Fields Too Large"
	statusNoMemory = "503 Service Unavailable"
)

// refuseHead refuses a request that net/http has not seen, unless the status is empty, and returns a refusalError.
func (c *Conn) refuseHead(status, cause string) error {
	c.buffer, c.scanned, c.ready = nil, 0, 0
	if status != "" {
		c.Refuse(fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nRetry-After: 1\r\n"+
			"Connection: close\r\n\r\n%s\n", status, len(cause)+1, cause))
		c.Limiter.record(cause)
	} else {
		c.Abort()
		c.Limiter.recordOnce(c, cause)
	}
	return refusalError(cause)
}

// refusalError returns an error for which net/http closes the connection without a response of its own.
func refusalError(cause string) error {
	return &net.OpError{Op: "read", Net: "tcp", Err: RefusedError{Cause: cause}}
}
