package connlimit

import (
	"cmp"
	"slices"
	"time"
)

// evictionClass orders the connections that may be closed before they have a whole request.
type evictionClass int

// The classes begin with the least advanced.
const (
	evictLingering evictionClass = iota // only the caller's end is awaited
	evictHead                           // no whole head
	evictBody                           // a body that does not arrive
	evictIdle                           // between two requests
	evictYoung                          // as heads and bodies, but there was little time for the rest
	keep                                // a whole request
)

// class returns the class of the connection. Limiter.mu must be held.
func (c *Conn) class(now time.Time) evictionClass {
	switch {
	case c.phase == lingers:
		return evictLingering
	case c.phase == readsHead && now.Sub(c.since) < youngFor:
		return evictYoung
	case c.phase == readsHead:
		return evictHead
	case c.phase == idles:
		return evictIdle
	case c.pending && now.Sub(c.since) >= bodyPause:
		return evictBody
	case c.pending && c.waiting:
		return evictYoung
	}
	return keep
}

// candidate is a connection that may be closed.
type candidate struct {
	conn  *Conn
	class evictionClass
}

// mayComplete reports whether something has arrived that may complete a request.
func (a candidate) mayComplete() bool { return a.class != evictLingering && a.conn.hasArrived() }

// compare orders the least advanced and then the oldest first.
func (a candidate) compare(b candidate) int {
	return cmp.Or(cmp.Compare(a.class, b.class), a.conn.since.Compare(b.conn.since))
}

// evictOne closes the least advanced connection within the classes other than c, and the oldest of these. It passes over connections
// on which something has arrived, as that may complete a request, and young internal connections within their share.
func (l *Limiter) evictOne(c *Conn, from, upTo evictionClass) bool {
	var candidates, internal []candidate
	internalHeld := int64(0)
	now := time.Now()
	for other := range l.conns {
		class := other.class(now)
		switch {
		case other == c || class < from || class > upTo:
		case class == evictYoung && other.Internal:
			internal = append(internal, candidate{other, class})
			internalHeld += other.held
		default:
			candidates = append(candidates, candidate{other, class})
		}
	}
	if internalHeld > l.limit(internalPercent) {
		candidates = append(candidates, internal...)
	}
	if len(candidates) == 0 {
		return false
	}
	// Most evictions take the first one, for which there is no need to sort.
	if first := slices.MinFunc(candidates, candidate.compare); !first.mayComplete() {
		l.evict(first.conn, evictionCauses[first.class])
		return true
	}
	slices.SortFunc(candidates, candidate.compare)
	for _, next := range candidates[:min(len(candidates), maxReadable)] {
		if !next.mayComplete() {
			l.evict(next.conn, evictionCauses[next.class])
			return true
		}
	}
	return false
}

// evictionCauses are the causes by class.
var evictionCauses = []string{
	evictLingering: CauseEvictedLast, evictHead: CauseEvictedHead, evictBody: CauseEvictedBody, evictIdle: CauseEvictedIdle, evictYoung: CauseEvictedHead,
}

func (l *Limiter) evict(c *Conn, cause string) {
	c.evicted = true
	// What the connection held is free at once, although its goroutine ends a little later.
	l.release(c)
	l.refuse(cause)
	c.Abort()
}
