package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// QueriedLoad is an endpoint's load, queried just before a pick from endpoints that send no Report.
type QueriedLoad struct {
	// Running and Waiting are numbers of requests.
	Running, Waiting int
	// Prefilling is the number of running requests without output yet.
	Prefilling int
	// NextPromptTokens is the prompt length of the first waiting request.
	NextPromptTokens int
	// StartedAtMS is the Unix time, in milliseconds, at which the endpoint that responded was started; 0 if unknown.
	StartedAtMS int64
	// Leaving says that the endpoint is about to leave.
	Leaving bool
}

// leavingPenalty is added, in seconds, to the score of an endpoint that is about to leave. Such an endpoint stays
// eligible, because it serves until the store has recorded that it leaves. It therefore still serves during an
// outage of the store, when too few other endpoints may be left.
const leavingPenalty = 0.5

// assumedPrefillTokens is the number of tokens that are left of a prompt in prefill, about half a prompt. It is assumed
// because the queried load does not include the actual number.
const assumedPrefillTokens = 4000

// prefillTokens returns the estimated number of prompt tokens to be processed before a new prompt.
func (l QueriedLoad) prefillTokens() int {
	return l.Prefilling*assumedPrefillTokens + l.Waiting*l.NextPromptTokens
}

// recordedLoad is a QueriedLoad with the time at which it was received.
type recordedLoad struct {
	QueriedLoad
	receivedAt time.Time
}

// RecordQueriedLoad stores the load of an endpoint. It is used for Policy.QueriedLoadTTL, together with the requests
// sent since. A response with another start time shows that the listed incarnation is gone, so it is marked dead; its
// successor is listed a little later. If the list shows the new start under the same incarnation, it stays marked
// dead until the mark ends.
func (t *Table) RecordQueriedLoad(address string, load QueriedLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[address]
	if e == nil {
		return
	}
	now := time.Now()
	if e.silent {
		e.unreachable, e.silent = false, false
	}
	e.queriedLoad = recordedLoad{QueriedLoad: load, receivedAt: now}
	if load.StartedAtMS != 0 && e.listing.StartedAtMS != 0 && load.StartedAtMS != e.listing.StartedAtMS {
		t.setMark(markKey{address, e.listing.Incarnation}, true, now)
	}
}

// LoadQueryCandidates returns the addresses of up to n endpoints to query for their load before a pick. They are taken
// from the endpoints whose score exceeds the lowest one by no more than the affinity tolerance: with an affinity key
// those that all daemons select for the key, otherwise random ones.
func (t *Table) LoadQueryCandidates(criteria Criteria, n int) []string {
	if t.Rollouts != nil {
		criteria.rule = t.Rollouts.HolderRule(criteria.Name)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	pool, _ := t.eligiblePool(criteria, time.Now())
	pool = t.preferCopyTarget(pool, criteria)
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

// rendezvousHash returns the rendezvous hashing weight of an endpoint for an affinity key.
func rendezvousHash(affinityKey string, e *endpoint) uint64 {
	return xxhash.Sum64String(affinityKey + "\x00" + e.listing.Address)
}

// isFresh reports whether the load is no older than Policy.QueriedLoadTTL.
func (l recordedLoad) isFresh(policy Policy) bool {
	return !l.receivedAt.IsZero() && time.Since(l.receivedAt) <= policy.QueriedLoadTTL
}

// observedLoad returns an endpoint's number of requests and pending prefill tokens. Each is the larger of this daemon's
// estimate and a fresh queried load plus what was sent after it.
func (e *endpoint) observedLoad(p Policy) (load, prefill int) {
	load, prefill = e.load(), e.waitingPrefill()
	if !e.queriedLoad.isFresh(p) {
		return load, prefill
	}
	sent, tokens := 0, 0
	for _, c := range e.corrections {
		// A queried load is Policy.QueriedLoadLag old on arrival, so it misses requests sent since then.
		if c.slots > 0 && c.at.After(e.queriedLoad.receivedAt.Add(-p.QueriedLoadLag)) {
			sent, tokens = sent+1, tokens+c.prefill
		}
	}
	return max(load, e.queriedLoad.Running+e.queriedLoad.Waiting+sent), max(prefill, e.queriedLoad.prefillTokens()+tokens)
}
