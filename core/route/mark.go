package route

import "time"

// Mark says that an incarnation of an endpoint is leaving or dead. The marks of a Table decide what Pick may choose;
// those that daemons exchange are in member.Table.
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

// Dead reports whether the endpoint is dead rather than leaving.
func (m Mark) Dead() bool { return m.dead }

// Age returns the time since the mark was first set, here or at the peer that it came from.
func (m Mark) Age() time.Duration { return m.age }

// markRetentionFactor times Policy.MarkExchangeTTL is the age up to which the mark of an unlisted incarnation is kept,
// because the instance list lags.
const markRetentionFactor = 10

type markKey struct{ address, incarnation string }

// markState is the mark of one incarnation, which may be leaving, dead and resting at the same time.
type markState struct {
	leaving bool
	dead    bool
	// at is the time of the first mark as leaving or dead, or of the first rest before it, unless setMark has renewed it
	// for a dead mark.
	at time.Time
	// restUntil is the time until which the incarnation wants no requests from this daemon. Peers do not get it.
	restUntil time.Time
	// startedAtMS is Listing.StartedAtMS of the endpoint when it was marked last, or 0 if it was not known.
	startedAtMS int64
}

// MarkLeaving stops new work on an incarnation at once. The incarnation need not be listed yet.
func (t *Table) MarkLeaving(address, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setMark(markKey{address, incarnation}, false, time.Now())
}

// MarkDead stops new work on an incarnation and makes Alive return false, until a later report from it or until the
// mark expires.
func (t *Table) MarkDead(address, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setMark(markKey{address, incarnation}, true, time.Now())
}

// MergeMark applies a peer's mark of the given age. A dead mark that has expired or is older than the incarnation's
// last report is ignored. Without the age, peers would renew one another's marks indefinitely.
func (t *Table) MergeMark(address, incarnation string, dead bool, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := time.Now().Add(-age)
	e := t.endpoints[address]
	reported := e != nil && e.reported && e.listing.Incarnation == incarnation && e.reportedAt.After(at)
	if dead && (reported || age >= t.policy.DeadMarkTTL) {
		return
	}
	t.setMark(markKey{address, incarnation}, dead, at)
}

// Marks returns the active marks that are recent enough to send to peers. It first calls dropExpiredMarks.
func (t *Table) Marks() []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.dropExpiredMarks(now)
	marks := make([]Mark, 0, len(t.marks))
	for key, state := range t.marks {
		dead := state.dead && now.Sub(state.at) < t.policy.DeadMarkTTL
		if now.Sub(state.at) < t.policy.MarkExchangeTTL && (dead || state.leaving) {
			marks = append(marks, Mark{key.address, key.incarnation, dead, now.Sub(state.at)})
		}
	}
	return marks
}

// setMark adds a mark. An existing mark keeps its time, so that repeated marks do not extend it, unless it is too old
// for the new dead mark to take effect.
func (t *Table) setMark(key markKey, dead bool, at time.Time) {
	state, exists := t.marks[key]
	if exists && !state.leaving && !state.dead {
		state.at = at
	}
	if exists && dead && at.Sub(state.at) >= t.policy.DeadMarkTTL {
		state.at = at
	}
	if !exists {
		state.at = at
		t.dropOldestMark()
	}
	state.dead = state.dead || dead
	state.leaving = state.leaving || !dead
	if e := t.endpoints[key.address]; e != nil && e.listing.Incarnation == key.incarnation {
		state.startedAtMS = e.listing.StartedAtMS
	}
	t.marks[key] = state
}

// dropMarkOfEarlierStart removes the mark of an incarnation that has started again since, which is how an endpoint comes back
// from a planned restart. A row of the start that was marked, or of an earlier one, changes nothing.
func (t *Table) dropMarkOfEarlierStart(l Listing) {
	key := markKey{l.Address, l.Incarnation}
	if state := t.marks[key]; state.startedAtMS != 0 && l.StartedAtMS > state.startedAtMS {
		delete(t.marks, key)
	}
}

// dropExpiredMarks removes the marks of unlisted incarnations that exceed the age set by markRetentionFactor. A leaving
// mark of a listed incarnation does not expire. Only Marks calls this method. With
// settings.InterfaceForward, nothing calls Marks, and only Policy.MaxMarks bounds the number of marks.
func (t *Table) dropExpiredMarks(now time.Time) {
	for key, state := range t.marks {
		e := t.endpoints[key.address]
		current := e != nil && e.listing.Incarnation == key.incarnation
		if !current && now.Sub(state.at) > markRetentionFactor*t.policy.MarkExchangeTTL {
			delete(t.marks, key)
		}
	}
}

// dropOldestMark evicts the oldest mark if Policy.MaxMarks is reached.
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

func (s markState) isResting(now time.Time) bool { return now.Before(s.restUntil) }

func (t *Table) markStatus(e *endpoint, now time.Time) (leaving, dead bool) {
	state, ok := t.marks[markKey{e.listing.Address, e.listing.Incarnation}]
	if !ok {
		return false, false
	}
	return state.leaving, state.dead && now.Sub(state.at) < t.policy.DeadMarkTTL
}
