package member

import (
	"cmp"
	"slices"
	"time"
)

// maxMarks bounds the marks. The planned size loses about 450 endpoints with a data centre.
const maxMarks = 8192

type markKey struct{ address, incarnation string }

type markState struct {
	dead  bool
	since time.Time
}

// Mark records that an endpoint's incarnation is leaving or dead, as this daemon has seen it.
func (t *Table) Mark(address, incarnation string, dead bool) {
	m := Mark{Address: address, Incarnation: incarnation, Dead: dead}
	t.mu.Lock()
	fresh := t.mergeMark(m, time.Now())
	t.mu.Unlock()
	if fresh {
		t.announce([]Mark{m})
	}
}

// mergeMark reports whether the mark says something new. Of two times the earlier one stays, so that a mark that is
// passed around does not live for ever.
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
			t.dropOldest()
		}
		t.marks[key] = markState{dead: m.Dead, since: since}
		return true
	}
	turned := m.Dead && !known.dead
	if since.Before(known.since) {
		known.since = since
	}
	known.dead = known.dead || m.Dead
	t.marks[key] = known
	return turned
}

func (t *Table) dropOldest() {
	var oldest markKey
	var since time.Time
	for key, m := range t.marks {
		if since.IsZero() || m.since.Before(since) {
			oldest, since = key, m.since
		}
	}
	delete(t.marks, oldest)
}

func (t *Table) announce(marks []Mark) {
	if t.OnMark == nil {
		return
	}
	for _, m := range marks {
		t.OnMark(m)
	}
}

// Marked returns the mark on an endpoint's incarnation.
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

// Marks returns up to n marks, the newest first, because old ones are known everywhere by now.
func (t *Table) Marks(n int) []Mark {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	list := make([]Mark, 0, len(t.marks))
	for key, m := range t.marks {
		list = append(list, Mark{Address: key.address, Incarnation: key.incarnation, Dead: m.dead, Age: now.Sub(m.since)})
	}
	slices.SortFunc(list, func(a, b Mark) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Address, b.Address))
	})
	return list[:min(n, len(list))]
}
