package member

import (
	"math/rand/v2"
	"slices"
	"time"
)

// maxMarks is the maximum number of marks. At the planned size, marks on all endpoints of one place are about 450.
// Daemons of this version send marks only on leaving endpoints.
const maxMarks = 8192

type markKey struct{ address, incarnation string }

type markState struct {
	dead  bool
	since time.Time
}

// Mark records this daemon's own observation that an incarnation of an endpoint is leaving or dead. Daemons of this
// version record only leaving ones.
func (t *Table) Mark(address, incarnation string, dead bool) {
	m := Mark{Address: address, Incarnation: incarnation, Dead: dead}
	t.mu.Lock()
	changed := t.mergeMark(m, time.Now())
	t.mu.Unlock()
	if changed {
		t.notifyMarks([]Mark{m})
	}
}

// mergeMark adds a mark and reports whether it is new or changes the endpoint from leaving to dead. The earlier of two
// times is kept; otherwise daemons that send a mark to each other would renew it forever.
func (t *Table) mergeMark(m Mark, now time.Time) bool {
	if m.Age < 0 || m.Age > t.MarkExpiry {
		return false
	}
	if t.marks == nil {
		t.marks = map[markKey]markState{}
	}
	key := markKey{address: m.Address, incarnation: m.Incarnation}
	since := now.Add(-m.Age)
	known, found := t.marks[key]
	if !found {
		if len(t.marks) >= maxMarks {
			t.evictOldestMark()
		}
		t.marks[key] = markState{dead: m.Dead, since: since}
		return true
	}
	becameDead := m.Dead && !known.dead
	if since.Before(known.since) {
		known.since = since
	}
	known.dead = known.dead || m.Dead
	t.marks[key] = known
	return becameDead
}

func (t *Table) evictOldestMark() {
	var oldest markKey
	var since time.Time
	for key, m := range t.marks {
		if since.IsZero() || m.since.Before(since) {
			oldest, since = key, m.since
		}
	}
	delete(t.marks, oldest)
}

func (t *Table) notifyMarks(marks []Mark) {
	if t.OnMark == nil {
		return
	}
	for _, m := range marks {
		t.OnMark(m)
	}
}

// Marked returns the mark on an incarnation of an endpoint, and false if there is none or it has expired.
func (t *Table) Marked(address, incarnation string) (Mark, bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	m, found := t.marks[markKey{address: address, incarnation: incarnation}]
	if !found || now.Sub(m.since) > t.MarkExpiry {
		return Mark{}, false
	}
	return Mark{Address: address, Incarnation: incarnation, Dead: m.dead, Age: now.Sub(m.since)}, true
}

const (
	// recentMarkAge is the age below which a mark is recent. It is five times the 2 s that a mark takes to reach 440
	// daemons.
	recentMarkAge = 10 * time.Second
	// maxOlderMarks is the maximum number of older marks in a view. Only daemons that were partitioned need them.
	// Without the limit they would fill every view: the planned 4,760 leaving or lost endpoints per day mean up to 33
	// marks that have not expired at the default MarkExpiry of 10 minutes. Only leaving endpoints are marked.
	maxOlderMarks = 2
)

// Marks returns up to n random marks: recent ones first, then at most maxOlderMarks older ones. The choice is random
// because a fixed one would never send some of many recent marks, such as those on all endpoints of a place.
func (t *Table) Marks(n int) []Mark {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var recent, older []Mark
	for key, m := range t.marks {
		mark := Mark{Address: key.address, Incarnation: key.incarnation, Dead: m.dead, Age: now.Sub(m.since)}
		if mark.Age < recentMarkAge {
			recent = append(recent, mark)
		} else {
			older = append(older, mark)
		}
	}
	for _, list := range [][]Mark{recent, older} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	list := slices.Concat(recent, older[:min(maxOlderMarks, len(older))])
	return list[:min(n, len(list))]
}
