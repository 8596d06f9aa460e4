package route

import (
	"math/rand/v2"
	"time"
)

// Announcement is what an endpoint states about itself in the head of a response.
type Announcement struct {
	// Leaving states that the endpoint leaves.
	Leaving bool
	// Rest is the time for which the endpoint wants no requests from this daemon; 0 means that it did not ask for any.
	Rest time.Duration
}

// MaxRest bounds the time for which an endpoint rests, so that a wrong number does not lose it until its next start.
const MaxRest = time.Hour

// maxRestSpread bounds the random time that is added to a rest, so that daemons do not return together.
const maxRestSpread = time.Second

// RecordAnnouncement applies what the endpoint of a choice has announced, and returns the part that is news. It holds for
// the start of the endpoint that was chosen: one that has started again since is not affected. A leaving endpoint gets no
// new work until its next start, whatever the instance list says. A rest does not end before one that was announced
// earlier.
func (t *Table) RecordAnnouncement(c Choice, a Announcement) (news Announcement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[c.address]; e != nil && e.listing.Incarnation == c.incarnation && e.listing.StartedAtMS != c.startedAtMS {
		return Announcement{}
	}
	now, key := time.Now(), markKey{c.address, c.incarnation}
	if a.Leaving && !t.marks[key].leaving {
		news.Leaving = true
		t.setMark(key, false, now)
	}
	if a.Rest > 0 {
		news.Rest = t.setRest(key, min(a.Rest, MaxRest), now)
	}
	if state, exists := t.marks[key]; exists && a != (Announcement{}) {
		state.startedAtMS = c.startedAtMS
		t.marks[key] = state
	}
	return news
}

// setRest keeps requests from an incarnation for a time, and returns that time if the incarnation was not resting.
func (t *Table) setRest(key markKey, rest time.Duration, now time.Time) (news time.Duration) {
	state, exists := t.marks[key]
	if !exists {
		state.at = now
		t.dropOldestMark()
	}
	if !state.isResting(now) {
		news = rest
	}
	if now.Add(rest).After(state.restUntil) {
		state.restUntil = now.Add(rest + rand.N(min(rest/10, maxRestSpread)+1))
	}
	t.marks[key] = state
	return news
}

// Resting reports whether the listed endpoint at an address wants no requests from this daemon at present.
func (t *Table) Resting(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[address]
	return e != nil && t.restLeft(e, time.Now()) > 0
}

// restLeft returns the time for which the endpoint wants no requests yet.
func (t *Table) restLeft(e *endpoint, now time.Time) time.Duration {
	return max(t.marks[markKey{e.listing.Address, e.listing.Incarnation}].restUntil.Sub(now), 0)
}

// shortestRest returns the time until the first of the resting endpoints of a name returns.
func (t *Table) shortestRest(criteria Criteria, now time.Time) time.Duration {
	shortest := MaxRest
	for _, e := range t.endpoints {
		if e.listing.Kind != criteria.Kind || e.listing.Name != criteria.Name {
			continue
		}
		if left := t.restLeft(e, now); left > 0 {
			shortest = min(shortest, left)
		}
	}
	return shortest
}

// CountAnnounced returns the numbers of listed endpoints that leave and that rest.
func (t *Table) CountAnnounced() (leaving, resting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, e := range t.endpoints {
		if leaves, _ := t.markStatus(e, now); leaves {
			leaving++
		}
		if t.restLeft(e, now) > 0 {
			resting++
		}
	}
	return leaving, resting
}

// Listed returns the endpoint that the instance list has at an address, without a reservation.
func (t *Table) Listed(address string) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[address]
	if e == nil {
		return Choice{}, false
	}
	return e.choice(nil), true
}

// choice returns a Choice of the endpoint that calls release on Release.
func (e *endpoint) choice(release func()) Choice {
	c := NewChoice(e.listing.Address, e.listing.Incarnation, e.listing.Place, release)
	c.startedAtMS, c.pickedAt, c.version = e.listing.StartedAtMS, time.Now(), e.listing.Version
	return c
}
