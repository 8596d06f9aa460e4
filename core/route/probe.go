package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// LoadProbe is the load of an endpoint that was asked for just before a choice.
type LoadProbe struct {
	// Running and Waiting are requests.
	Running, Waiting int
	// Prefilling are the running requests that have made no output yet.
	Prefilling int
	// NextPromptTokens is the prompt of the first waiting request in tokens.
	NextPromptTokens int
	// StartID tells the start of the endpoint that has answered; 0 where it does not tell.
	StartID int64
	// Leaving tells that the endpoint is about to leave.
	Leaving bool
}

// leavingPenalty is added to the estimate, in seconds, of an endpoint that says that it is about to leave. It still serves:
// while the store is down, none is gone before the store has taken its word, and without them too few may be left.
const leavingPenalty = 0.5

// assumedPrefillTokens stands for the rest of a prompt that is being read, in tokens, which reports don't tell.
const assumedPrefillTokens = 4000

// prefillTokens returns the work that waits before a new prompt is read, in tokens.
func (p LoadProbe) prefillTokens() int {
	return p.Prefilling*assumedPrefillTokens + p.Waiting*p.NextPromptTokens
}

// recordedProbe is a Peek with the time at which it was taken.
type recordedProbe struct {
	LoadProbe
	receivedAt time.Time
}

// RecordProbe takes the load of an endpoint. It counts for Policy.PeekFor, beside what this daemon has sent since. An answer of
// another start shows that the listed incarnation is gone; its successor is listed a little later.
func (t *Table) RecordProbe(address string, load LoadProbe) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[address]
	if e == nil {
		return
	}
	now := time.Now()
	e.probe = recordedProbe{LoadProbe: load, receivedAt: now}
	if load.StartID != 0 && e.listing.StartID != 0 && load.StartID != e.listing.StartID {
		t.setMark(markKey{address, e.listing.Incarnation}, true, now)
	}
}

// ProbeCandidates returns up to n addresses that are worth a Peek: of the endpoints that look about equal, those that all
// daemons name for the need's affinity, or random ones without it.
func (t *Table) ProbeCandidates(criteria Criteria, n int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	pool, _ := t.eligiblePool(criteria, time.Now())
	if len(pool) == 0 {
		return nil
	}
	score := func(e *endpoint) float64 { return t.score(e, criteria, 0) }
	limit := score(t.lowestScore(pool, score)) + t.affinityTolerance(criteria)
	pool = filterOrAll(pool, func(e *endpoint) bool { return score(e) <= limit })
	t.random.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	if criteria.AffinityKey != "" {
		slices.SortFunc(pool, func(a, b *endpoint) int {
			return cmp.Compare(rendezvousHash(criteria.AffinityKey, b), rendezvousHash(criteria.AffinityKey, a))
		})
	}
	var addresses []string
	for _, e := range pool[:min(n, len(pool))] {
		addresses = append(addresses, e.listing.Address)
	}
	return addresses
}

// rendezvousHash is the weight of an endpoint for an affinity.
func rendezvousHash(affinity string, e *endpoint) uint64 {
	return xxhash.Sum64String(affinity + "\x00" + e.listing.Address)
}

// isFresh tells whether the last peek still counts.
func (p recordedProbe) isFresh(policy Policy) bool {
	return !p.receivedAt.IsZero() && time.Since(p.receivedAt) <= policy.ProbeTTL
}

// observedLoad returns the load and the prefill work of an endpoint: what this daemon knows of its own, or what a fresh peek
// shows with what was sent after it.
func (e *endpoint) observedLoad(p Policy) (load, prefill int) {
	load, prefill = e.load(), e.waitingPrefill()
	if !e.probe.isFresh(p) {
		return load, prefill
	}
	sent, tokens := 0, 0
	for _, c := range e.corrections {
		// A peek is as old as a report.
		if c.slots > 0 && c.at.After(e.probe.receivedAt.Add(-p.ProbeLag)) {
			sent, tokens = sent+1, tokens+c.prefill
		}
	}
	return max(load, e.probe.Running+e.probe.Waiting+sent), max(prefill, e.probe.prefillTokens()+tokens)
}
