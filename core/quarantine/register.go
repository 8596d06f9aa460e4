package quarantine

import (
	"slices"
	"sync"
	"time"
)

// floodAge is the age up to which a peer's evidence that is new here is passed on at once.
const floodAge = 5 * time.Second

// Register holds one daemon's evidence and its verdict. Its exported fields must be set before use. It is safe for
// concurrent use.
type Register struct {
	// Self is the daemon's own address.
	Self string
	// Peers returns the addresses of all other daemons that are known, reachable or not.
	Peers func() []string
	// Leaving reports whether this daemon is stopping. It then starts no trials, because its peers may already have chosen
	// another owner. It may be nil.
	Leaving func() bool
	// OnChange is called for each group that is quarantined or released. It may be nil, and may call the register.
	OnChange func(change Change)
	// OnTrial is called with the parts of a request that is admitted as a trial. It may be nil, and may call the register.
	OnTrial func(parts []Part)
	// OnEvidence is called when there is evidence that peers should get soon. It may be nil, and may call the register.
	OnEvidence func()

	// shuffle replaces rand.Shuffle in tests.
	shuffle func(n int, swap func(i, j int))

	mu         sync.Mutex
	ends       ends
	clearances clearances
	groups     []*group
	// byPart holds the groups by their first part.
	byPart map[Part][]*group
}

// RecordEnd records that an endpoint ended. The parts are those of the requests that waited there for their first event,
// without each request's last part. There may be none: such an end only shows an outage.
func (r *Register) RecordEnd(endpoint string, parts []Part) {
	now := time.Now()
	r.mu.Lock()
	changed := r.ends.add(endpoint, now, r.suspects(parts, now))
	changes := r.evaluate(now, changed)
	r.mu.Unlock()
	r.notify(changes, changed && len(parts) > 0)
}

// suspects returns the parts that were not cleared after a time, at most maxParts of them. If there are more, those
// whose last clearance is the oldest are returned, because common parts are cleared again soon.
func (r *Register) suspects(parts []Part, at time.Time) []Part {
	list := slices.DeleteFunc(sortedParts(parts), func(p Part) bool { return !r.clearances.last(p).Before(at) })
	if len(list) > maxParts {
		slices.SortFunc(list, func(a, b Part) int { return r.clearances.last(a).Compare(r.clearances.last(b)) })
		list = list[:maxParts]
	}
	return list
}

// RecordLived records that an engine began an answer on the parts and lived.
func (r *Register) RecordLived(parts []Part) {
	now := time.Now()
	r.mu.Lock()
	changed := false
	for _, p := range parts {
		if r.ends.clear(p, now) {
			r.clearances.setCleared(p, now, now)
			changed = true
		} else {
			r.clearances.setLived(p, now)
		}
	}
	changes := r.evaluate(now, changed)
	r.mu.Unlock()
	r.notify(changes, changed)
}

// Merge adds a peer's evidence.
func (r *Register) Merge(e Evidence) {
	now := time.Now()
	r.mu.Lock()
	changed, urgent := false, false
	for _, c := range e.Clearances[:min(len(e.Clearances), maxCleared)] {
		if c.Age < 0 || c.Age > evidenceExpiry {
			continue
		}
		at := now.Add(-c.Age)
		if r.clearances.setCleared(c.Part, at, now) && r.ends.clear(c.Part, at) {
			changed, urgent = true, urgent || c.Age < floodAge
		}
	}
	for _, reported := range e.Ends[:min(len(e.Ends), maxEnds)] {
		added, answer := r.mergeEnd(reported, now)
		changed = changed || added
		urgent = urgent || answer || added && reported.Age < floodAge
	}
	changes := r.evaluate(now, changed)
	r.mu.Unlock()
	r.notify(changes, urgent)
}

// mergeEnd adds a peer's end. It reports whether it is new here, and whether a clearance that the peer may not know is
// the answer to it.
func (r *Register) mergeEnd(reported End, now time.Time) (added, answer bool) {
	if reported.Age < 0 || reported.Age > evidenceExpiry || len(reported.Endpoint) > maxEndpointLength {
		return false, false
	}
	at := now.Add(-reported.Age)
	reported.Parts = reported.Parts[:min(len(reported.Parts), maxParts)]
	for _, p := range reported.Parts {
		if !r.clearances.last(p).Before(at) {
			answer = !r.clearances.answer(p, now) || answer
		}
	}
	parts := r.suspects(reported.Parts, at)
	if len(parts) == 0 {
		return false, answer
	}
	return r.ends.add(reported.Endpoint, at, parts), answer
}

// Admit returns nil if a request with these parts may be sent, and a SuspectError if all parts of a quarantined group are
// among them. A nil for such a request makes it the group's trial.
func (r *Register) Admit(parts []Part) error {
	now := time.Now()
	r.mu.Lock()
	changes := r.evaluate(now, false)
	matching := r.matching(parts)
	suspect := refusal(matching, now)
	r.mu.Unlock()
	r.notify(changes, false)
	if len(matching) == 0 {
		return nil
	}
	if suspect != nil {
		return *suspect
	}
	isTrial, err := r.try(parts, now)
	if isTrial && r.OnTrial != nil {
		r.OnTrial(parts)
	}
	return err
}

// matching returns the groups whose parts are all among parts.
func (r *Register) matching(parts []Part) []*group {
	if len(r.groups) == 0 {
		return nil
	}
	var list []*group
	for _, p := range parts {
		for _, g := range r.byPart[p] {
			if containsAll(parts, g.parts) {
				list = append(list, g)
			}
		}
	}
	return list
}

// refusal returns the error for a request with these groups, or nil if it may be their trial. A group that has settled
// decides before one that may still change.
func refusal(matching []*group, now time.Time) *SuspectError {
	var unsettled *SuspectError
	for _, g := range matching {
		if wait := g.unsettled(now); wait > 0 {
			unsettled = &SuspectError{Parts: g.parts, After: wait, Unsettled: true}
			continue
		}
		if wait := g.wait(now); wait > 0 {
			return &SuspectError{Parts: g.parts, After: wait}
		}
	}
	return unsettled
}

// try starts the trial of the groups that match if this daemon owns them all.
func (r *Register) try(parts []Part, now time.Time) (isTrial bool, err error) {
	peers, leaving := r.Peers(), r.Leaving != nil && r.Leaving()
	r.mu.Lock()
	defer r.mu.Unlock()
	// Another call may have started a trial, or changed the groups, in the meantime.
	matching := r.matching(parts)
	if err := refusal(matching, now); err != nil {
		return false, *err
	}
	for _, g := range matching {
		if leaving || owner(g.parts, r.Self, peers) != r.Self || !g.mayTry(parts, now) {
			return false, SuspectError{Parts: g.parts, After: trialTimeout}
		}
	}
	for _, g := range matching {
		g.trialEnd = now.Add(trialTimeout)
	}
	return len(matching) > 0, nil
}

// Quarantined returns the number of quarantined groups.
func (r *Register) Quarantined() int {
	r.mu.Lock()
	changes := r.evaluate(time.Now(), false)
	n := len(r.groups)
	r.mu.Unlock()
	r.notify(changes, false)
	return n
}

// evaluate derives the groups from the evidence if it has changed or expired, and returns what changed.
func (r *Register) evaluate(now time.Time, changed bool) []Change {
	if !r.ends.expire(now) && !changed {
		return nil
	}
	r.clearances.expire(now)
	before := r.groups
	r.groups = r.ends.verdict(&r.clearances, before)
	r.byPart = map[Part][]*group{}
	var changes []Change
	for _, g := range r.groups {
		r.byPart[g.parts[0]] = append(r.byPart[g.parts[0]], g)
		for _, known := range before {
			if known.sharesPart(g) && known.trialEnd.After(g.trialEnd) {
				g.trialEnd = known.trialEnd
			}
		}
		g.since = now
		if known := find(before, g.parts); known != nil {
			g.since = known.since
		} else {
			changes = append(changes, Change{Parts: g.parts, Quarantined: true, Ends: len(g.ends)})
		}
	}
	for _, g := range before {
		if find(r.groups, g.parts) == nil {
			changes = append(changes, Change{Parts: g.parts, Ends: len(g.ends)})
		}
	}
	return changes
}

func find(groups []*group, parts []Part) *group {
	for _, g := range groups {
		if slices.Equal(g.parts, parts) {
			return g
		}
	}
	return nil
}

func (r *Register) notify(changes []Change, urgent bool) {
	if r.OnChange != nil {
		for _, change := range changes {
			r.OnChange(change)
		}
	}
	if urgent && r.OnEvidence != nil {
		r.OnEvidence()
	}
}
