// Package connlimit bounds the memory that the connections of HTTP servers hold together, before net/http parses their heads.
package connlimit

import (
	"math"
	"sync"
	"time"
)

// Causes of closed connections and refused heads, as passed to Limiter.Count.
const (
	CauseLines       = "lines"        // 431: a head has too many lines
	CauseHeadSize    = "head-size"    // 431: a head is too long
	CauseMemory      = "memory"       // 503: no memory for a whole head
	CauseConnection  = "connection"   // no memory for a new connection
	CauseEvictedHead = "evicted-head" // closed without a whole head
	CauseEvictedBody = "evicted-body" // closed while its body did not arrive
	CauseEvictedIdle = "evicted-idle" // closed between two requests
	CauseEvictedLast = "evicted-last" // closed after its last response, before its caller has ended its side
	CauseAhead       = "ahead"        // closed because it sent more before the response
)

const (
	// connBytes is what an open connection holds: its goroutine's stack, and the buffers of net/http for reads and writes.
	connBytes = 20 << 10
	// requestBytes is what a request holds beside its head: buffers, a second goroutine, and the state of its handler.
	requestBytes = 16 << 10
	// BytesPerDescriptor is the least that a connection counts as for each of its descriptors, which are two where its request is
	// sent to an endpoint.
	BytesPerDescriptor = (connBytes + requestBytes) / 2
	// windowBytes is what the kernel keeps of what a caller sends while nobody reads it, by the default size of its buffer.
	windowBytes = 128 << 10
	// lineBytes is what a line holds beside its text, in the maps of the request and of its copy for the endpoint. net/http
	// assumes 200 bytes for an entry of one map of which most values are shorter.
	lineBytes = 256
	// chunkedBytes is what net/http may hold of the head that follows a body without a length, or of its trailer. It reads up
	// to 4 KB beyond such a body, which may be a thousand short lines.
	chunkedBytes = 64 << 10
	// largePercent and requestPercent are the shares of the memory up to which requests are admitted: large ones and those whose
	// body is missing, and ordinary ones. What is left is the reserve for ordinary requests, and for connections that have not
	// sent one.
	largePercent   = 70
	requestPercent = 90
	allPercent     = 100
	// internalPercent is the share that requests of internal connections, and those connections before their first request, find
	// also while those of callers use up theirs: the daemon must answer its peers and the platform's readiness checks in an overload.
	internalPercent = 5
	// waitPercent is the share that requests and the heads that wait for memory may hold together, so that new connections
	// find some.
	waitPercent = 95
	// A request is large if its head is over these limits, or if more than the request was sent before its response. It does not
	// wait for memory: a crowd of such heads would hold what is left for ordinary requests.
	ordinaryHeadBytes = 4 << 10
	ordinaryLines     = 128
	// youngFor is the time within which a caller sends a head that it has at hand, with a lost packet.
	youngFor = 400 * time.Millisecond
	// bodyPause is the time without a byte after which a connection whose body is missing may be closed.
	bodyPause = time.Second
	// memoryWait bounds the wait of a whole head for memory, which a missing body gives back after bodyPause.
	// memoryPollInterval is the time between two looks for it.
	memoryWait         = 2 * time.Second
	memoryPollInterval = 5 * time.Millisecond
	// calmAfter is the time without a refusal after which the Limiter counts as calm again.
	calmAfter = 10 * time.Second
	// maxReadable bounds the connections that one eviction passes over because something has arrived on them. On a busy machine
	// it may be most of them.
	maxReadable = 256
	// openWait bounds the wait of a new connection for memory, which is short unless the machine is too busy to read what has
	// arrived. The kernel keeps the connections that come meanwhile.
	openWait = time.Second
)

// Limiter is the memory that the connections of several servers share. A nil Limiter has no limits. It is safe for concurrent use.
type Limiter struct {
	// Memory is the number of bytes, and zero means no limit. Count is called with the cause of each refusal, and OnChange when
	// refusals begin and after they have ended. These fields must be set before use; the functions must not call the Limiter.
	Memory   int64
	Count    func(cause string)
	OnChange func(refusing bool, cause string)

	mu sync.Mutex
	// used is what all connections hold, requests what those with admitted requests hold, internal the part of it of internal
	// connections, and waiting what those hold whose whole heads wait for memory.
	used, requests, internal, waiting int64

	conns map[*Conn]struct{}
	// refusing is set from the first refusal until calmAfter has passed since the last one.
	refusing    bool
	lastRefusal time.Time
}

// Used returns the number of bytes that the connections hold, and Conns that of connections.
func (l *Limiter) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// Conns returns the number of open connections.
func (l *Limiter) Conns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// open adds a new connection. It reports false if there is no memory for it within openWait.
func (l *Limiter) open(c *Conn) bool {
	for end := time.Now().Add(openWait); !l.add(c); time.Sleep(memoryPollInterval) {
		if time.Now().After(end) {
			l.record(CauseConnection)
			return false
		}
	}
	return true
}

func (l *Limiter) add(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.since = time.Now()
	if !l.take(c, connBytes, evictYoung) {
		return false
	}
	if l.conns == nil {
		l.conns = map[*Conn]struct{}{}
	}
	l.conns[c] = struct{}{}
	return true
}

// wait lets a connection wait with its whole head for memory. It reports false if those that wait would leave too little for new
// connections, or if the connection was evicted.
func (l *Limiter) wait(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.waiting || c.evicted {
		return !c.evicted
	}
	if l.requests+l.waiting+c.held > l.limit(waitPercent) {
		return false
	}
	c.waiting, l.waiting = true, l.waiting+c.held
	return true
}

// endWait ends what wait began.
func (l *Limiter) endWait(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopWaiting(c)
}

// stopWaiting must be called with l.mu held, and before what the connection holds is changed.
func (l *Limiter) stopWaiting(c *Conn) {
	if c.waiting {
		c.waiting, l.waiting = false, l.waiting-c.held
	}
}

// close returns what a connection holds.
func (l *Limiter) close(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release(c)
}

func (l *Limiter) limit(percent int64) int64 {
	if l.Memory <= 0 {
		return math.MaxInt64
	}
	return l.Memory * percent / 100
}

// grow changes what a connection without a request holds to n bytes. If that is more than before, it evicts other connections up to
// a class, and reports false if there are none. An evicted connection gets nothing.
func (l *Limiter) grow(c *Conn, n int64, upTo evictionClass) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endRequest(c)
	return l.take(c, n, upTo)
}

// admit changes what a connection with a whole head holds to n bytes, if all requests then hold no more than a percentage of the
// memory. To keep that, it evicts only requests whose bodies do not arrive.
func (l *Limiter) admit(c *Conn, n, percent int64, upTo evictionClass) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endRequest(c)
	for l.requests+n > l.limit(percent) {
		if !l.evictOne(c, evictBody, evictBody) {
			return false
		}
	}
	if !l.take(c, n, upTo) {
		return false
	}
	l.beginRequest(c)
	return true
}

// exceeds reports whether requests would hold more than a percentage of the memory with n more bytes.
func (l *Limiter) exceeds(n, percent int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests+n > l.limit(percent)
}

// addWindow adds windowBytes to what a connection with an admitted request holds, within the share of large requests. Where they
// do not fit, it closes the connection.
func (l *Limiter) addWindow(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	fits := l.requests+windowBytes <= l.limit(largePercent)
	l.endRequest(c)
	if fits && l.take(c, c.held+windowBytes, evictIdle) {
		l.beginRequest(c)
		return true
	}
	if !c.evicted {
		l.evict(c, CauseAhead)
	}
	return false
}

// admitInternal is admit within the share of internal connections, for which the requests of callers do not count.
func (l *Limiter) admitInternal(c *Conn, n int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endRequest(c)
	if l.internal+n > l.limit(internalPercent) || !l.take(c, n, evictYoung) {
		return false
	}
	l.beginRequest(c)
	return true
}

// beginRequest must be called with l.mu held, after take.
func (l *Limiter) beginRequest(c *Conn) {
	c.admitted, l.requests = true, l.requests+c.held
	if c.Internal {
		l.internal += c.held
	}
}

// endRequest must be called with l.mu held.
func (l *Limiter) endRequest(c *Conn) {
	if !c.admitted {
		return
	}
	c.admitted, l.requests = false, l.requests-c.held
	if c.Internal {
		l.internal -= c.held
	}
}

// take must be called with l.mu held.
func (l *Limiter) take(c *Conn, n int64, upTo evictionClass) bool {
	if c.evicted {
		return false
	}
	for n > c.held && l.used+n-c.held > l.limit(allPercent) {
		if !l.evictOne(c, evictLingering, upTo) {
			return false
		}
	}
	l.stopWaiting(c)
	l.used += n - c.held
	c.held = n
	return true
}

// linger makes a connection the first to be closed for others.
func (l *Limiter) linger(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endRequest(c)
	// It holds no more than before, so this evicts nothing.
	_ = l.take(c, min(c.held, connBytes), evictLingering)
	c.phase, c.pending, c.since = lingers, false, time.Now()
}

// release takes everything from a connection. l.mu must be held.
func (l *Limiter) release(c *Conn) {
	l.endRequest(c)
	l.stopWaiting(c)
	l.used -= c.held
	c.held = 0
	delete(l.conns, c)
}

// recordOnce counts a refusal, unless the connection was evicted, which has been counted.
func (l *Limiter) recordOnce(c *Conn, cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.evicted {
		l.refuse(cause)
	}
}

// record counts a refusal.
func (l *Limiter) record(cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuse(cause)
}

// refuse counts a refusal. l.mu must be held.
func (l *Limiter) refuse(cause string) {
	if l.Count != nil {
		l.Count(cause)
	}
	l.lastRefusal = time.Now()
	if l.refusing {
		return
	}
	l.refusing = true
	if l.OnChange != nil {
		l.OnChange(true, cause)
	}
	time.AfterFunc(calmAfter, l.checkCalm)
}

// checkCalm ends the state that refuse began, or checks again later.
func (l *Limiter) checkCalm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if left := calmAfter - time.Since(l.lastRefusal); left > 0 {
		time.AfterFunc(left, l.checkCalm)
		return
	}
	l.refusing = false
	if l.OnChange != nil {
		l.OnChange(false, "")
	}
}
