package route

import "time"

// Mark tells that an incarnation of an endpoint is leaving or dead.
type Mark struct {
	address     string
	incarnation string
	dead        bool
	age         time.Duration
}

// Address returns the endpoint's IP address and port.
func (m Mark) Address() string { return m.address }

// Incarnation returns the marked incarnation.
func (m Mark) Incarnation() string { return m.incarnation }

// Dead tells whether the endpoint is dead rather than leaving.
func (m Mark) Dead() bool { return m.dead }

// Age returns the time since the mark was first set here.
func (m Mark) Age() time.Duration { return m.age }

type markKey struct{ address, incarnation string }

type markState struct {
	leaving bool
	dead    bool
	at      time.Time
}

// MarkLeaving stops new work for an incarnation at once. The incarnation may not be listed yet.
func (t *Table) MarkLeaving(address, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mark(markKey{address, incarnation}, false, time.Now())
}

// MarkDead stops all work for an incarnation, until a later report of it or until the mark ends.
func (t *Table) MarkDead(address, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mark(markKey{address, incarnation}, true, time.Now())
}

// Marks returns all marks in force.
func (t *Table) Marks() []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	marks := make([]Mark, 0, len(t.marks))
	for key, state := range t.marks {
		dead := state.dead && now.Sub(state.at) < t.policy.DeadFor
		if dead || state.leaving {
			marks = append(marks, Mark{key.address, key.incarnation, dead, now.Sub(state.at)})
		}
	}
	return marks
}

func (t *Table) mark(key markKey, dead bool, now time.Time) {
	state, exists := t.marks[key]
	if exists && dead && now.Sub(state.at) >= t.policy.DeadFor {
		state.at = now
	}
	if !exists {
		state.at = now
		t.dropOldestMark()
	}
	state.dead = state.dead || dead
	state.leaving = state.leaving || !dead
	t.marks[key] = state
}

// dropOldestMark makes space for a mark where the table is full.
func (t *Table) dropOldestMark() {
	if len(t.marks) < t.policy.MaxMarks {
		return
	}
	var oldest markKey
	var at time.Time
	for key, state := range t.marks {
		if at.IsZero() || state.at.Before(at) {
			oldest, at = key, state.at
		}
	}
	delete(t.marks, oldest)
}

func (t *Table) marked(e *endpoint, now time.Time) (leaving, dead bool) {
	state, ok := t.marks[markKey{e.listing.Address, e.listing.Incarnation}]
	if !ok {
		return false, false
	}
	return state.leaving, state.dead && now.Sub(state.at) < t.policy.DeadFor
}
