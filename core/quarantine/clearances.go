package quarantine

import "time"

const (
	// maxCleared is the maximum number of clearances of parts that an end contained.
	maxCleared = 4096
	// maxLived is the number of other parts with a recent answer after which the older half is forgotten.
	maxLived = 8192
)

// clearances holds the time of each part's last clearance. Clearances of parts that an end contained are kept until they
// expire; those of other parts only as long as there is room, for an end that arrives late from a peer.
type clearances struct {
	cleared map[Part]cleared
	// lived holds the newer and the older half of the other clearances.
	lived [2]map[Part]time.Time
}

// cleared is the last clearance of a part.
type cleared struct {
	at time.Time
	// wanted is when it became known, or when a peer last sent an end that it clears.
	wanted time.Time
}

func (c *clearances) setLived(p Part, at time.Time) {
	if c.lived[0] == nil || len(c.lived[0]) >= maxLived/2 {
		c.lived[0], c.lived[1] = make(map[Part]time.Time, len(c.lived[0])), c.lived[0]
	}
	c.lived[0][p] = at
}

// last returns the time of the last clearance of a part, which is zero if there is none.
func (c *clearances) last(p Part) time.Time {
	last := c.cleared[p].at
	for _, half := range c.lived {
		if at := half[p]; at.After(last) {
			last = at
		}
	}
	return last
}

// setCleared keeps a clearance and reports whether it is later than the one known before.
func (c *clearances) setCleared(p Part, at, now time.Time) bool {
	known, found := c.cleared[p]
	if found && !at.After(known.at) {
		return false
	}
	if c.cleared == nil {
		c.cleared = map[Part]cleared{}
	}
	if !found && len(c.cleared) >= maxCleared {
		c.evictOldest()
	}
	c.cleared[p] = cleared{at: at, wanted: now}
	return true
}

// answer keeps the last clearance of a part that a peer does not know, and reports whether it was kept before.
func (c *clearances) answer(p Part, now time.Time) (known bool) {
	if c.setCleared(p, c.last(p), now) {
		return false
	}
	c.cleared[p] = cleared{at: c.cleared[p].at, wanted: now}
	return true
}

func (c *clearances) evictOldest() {
	var oldest Part
	var since time.Time
	for p, known := range c.cleared {
		if since.IsZero() || known.at.Before(since) || known.at.Equal(since) && p < oldest {
			oldest, since = p, known.at
		}
	}
	delete(c.cleared, oldest)
}

func (c *clearances) expire(now time.Time) {
	for p, known := range c.cleared {
		if now.Sub(known.at) > evidenceExpiry {
			delete(c.cleared, p)
		}
	}
}
