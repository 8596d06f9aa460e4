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

// markRetention is the multiple of Policy.MarkFor for which a mark outlives its listing, because the list lags.
const markRetention = 10

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

// MergeMark takes a peer's mark of the given age. A dead mark older than the last report of that incarnation is
// ignored; without the age, peers would renew one another's marks for ever.
func (t *Table) MergeMark(address, incarnation string, dead bool, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := time.Now().Add(-age)
	e := t.endpoints[address]
	reported := e != nil && e.reported && e.listing.Incarnation == incarnation && e.reportedAt.After(at)
	if dead && (reported || age >= t.policy.DeadFor) {
		return
	}
	t.mark(markKey{address, incarnation}, dead, at)
}

// Marks returns the recent marks in force, for the peers.
func (t *Table) Marks() []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.dropPastMarks(now)
	marks := make([]Mark, 0, len(t.marks))
	for key, state := range t.marks {
		dead := state.dead && now.Sub(state.at) < t.policy.DeadFor
		if now.Sub(state.at) < t.policy.MarkFor && (dead || state.leaving) {
			marks = append(marks, Mark{key.address, key.incarnation, dead, now.Sub(state.at)})
		}
	}
	return marks
}

func (t *Table) mark(key markKey, dead bool, at time.Time) {
	state, exists := t.marks[key]
	if exists && dead && at.Sub(state.at) >= t.policy.DeadFor {
		state.at = at
	}
	if !exists {
		state.at = at
		t.dropOldestMark()
	}
	state.dead = state.dead || dead
	state.leaving = state.leaving || !dead
	t.marks[key] = state
}

// dropPastMarks removes old marks of incarnations that are no longer listed.
func (t *Table) dropPastMarks(now time.Time) {
	for key, state := range t.marks {
		e := t.endpoints[key.address]
		current := e != nil && e.listing.Incarnation == key.incarnation
		if !current && now.Sub(state.at) > markRetention*t.policy.MarkFor {
			delete(t.marks, key)
		}
	}
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
