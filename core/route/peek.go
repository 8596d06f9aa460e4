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
	// StartedAtMS tells the start of the endpoint that has answered; 0 where it does not tell.
	StartedAtMS int64
	// Leaving tells that the endpoint is about to leave.
	Leaving bool
}

// leavingCost is added to the estimate, in seconds, of an endpoint that says that it is about to leave. It still serves:
// while the store is down, none is gone before the store has taken its word, and without them too few may be left.
const leavingCost = 0.5

// halfPrompt stands for the rest of a prompt that is being read, in tokens, which reports don't tell.
const halfPrompt = 4000

// prefill returns the work that waits before a new prompt is read, in tokens.
func (p LoadProbe) prefill() int { return p.Prefilling*halfPrompt + p.Waiting*p.NextPromptTokens }

// peek is a Peek with the time at which it was taken.
type peek struct {
	LoadProbe
	at time.Time
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
	e.peek = peek{LoadProbe: load, at: now}
	if load.StartedAtMS != 0 && e.listing.StartedAtMS != 0 && load.StartedAtMS != e.listing.StartedAtMS {
		t.mark(markKey{address, e.listing.Incarnation}, true, now)
	}
}

// ProbeCandidates returns up to n addresses that are worth a Peek: of the endpoints that look about equal, those that all
// daemons name for the need's affinity, or random ones without it.
func (t *Table) ProbeCandidates(need Criteria, n int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	pool, _ := t.pool(need, time.Now())
	if len(pool) == 0 {
		return nil
	}
	score := func(e *endpoint) float64 { return t.score(e, need, 0) }
	limit := score(t.lowest(pool, score)) + t.tolerance(need)
	pool = prefer(pool, func(e *endpoint) bool { return score(e) <= limit })
	t.random.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	if need.AffinityKey != "" {
		slices.SortFunc(pool, func(a, b *endpoint) int {
			return cmp.Compare(rendezvous(need.AffinityKey, b), rendezvous(need.AffinityKey, a))
		})
	}
	var addresses []string
	for _, e := range pool[:min(n, len(pool))] {
		addresses = append(addresses, e.listing.Address)
	}
	return addresses
}

// rendezvous is the weight of an endpoint for an affinity.
func rendezvous(affinity string, e *endpoint) uint64 {
	return xxhash.Sum64String(affinity + "\x00" + e.listing.Address)
}

// fresh tells whether the last peek still counts.
func (p peek) fresh(policy Policy) bool { return !p.at.IsZero() && time.Since(p.at) <= policy.ProbeTTL }

// observed returns the load and the prefill work of an endpoint: what this daemon knows of its own, or what a fresh peek
// shows with what was sent after it.
func (e *endpoint) observed(p Policy) (load, prefill int) {
	load, prefill = e.load(), e.waitingPrefill()
	if !e.peek.fresh(p) {
		return load, prefill
	}
	sent, tokens := 0, 0
	for _, c := range e.corrections {
		// A peek is as old as a report.
		if c.slots > 0 && c.at.After(e.peek.at.Add(-p.ProbeLag)) {
			sent, tokens = sent+1, tokens+c.prefill
		}
	}
	return max(load, e.peek.Running+e.peek.Waiting+sent), max(prefill, e.peek.prefill()+tokens)
}
