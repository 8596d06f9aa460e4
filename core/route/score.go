package route

import "time"

const (
	// defaultPrefillRate stands in for an engine that has not reported a rate, in tokens per second.
	defaultPrefillRate = 5000
	// defaultGap stands in for an engine that has not reported a token gap.
	defaultGap = 20 * time.Millisecond
	// slowCost bounds what is added to the estimate, in seconds, of an endpoint that has just started.
	slowCost = 0.5
	// tie is the relative difference below which two estimates count as equal.
	tie = 1e-9
)

func (t *Table) choose(pool []*endpoint, need Criteria, depth map[uint64]int) *endpoint {
	switch t.policy.Method {
	case MethodRandom:
		return pool[t.random.IntN(len(pool))]
	case MethodLeastReported:
		return t.lowest(pool, reportedLoad)
	default:
		score := func(e *endpoint) float64 { return t.score(e, need, depth[e.id]) }
		pool = t.sample(pool, need, depth)
		best := t.lowest(pool, score)
		if need.AffinityKey == "" {
			return best
		}
		return closest(pool, need.AffinityKey, score, score(best)+t.tolerance(need))
	}
}

// tolerance is the estimate, in seconds, by which the endpoint that the affinity names may be worse than the best. For a
// caller that returns it is what reading the prompt again takes.
func (t *Table) tolerance(need Criteria) float64 {
	if !need.Reconnected {
		return t.policy.AffinityTolerance
	}
	return max(t.policy.AffinityTolerance, float64(missing(need, 0))/defaultPrefillRate)
}

// sample returns a few random endpoints and the one with the deepest prefix match. Comparing all would send every
// daemon to the same endpoint until its next report.
func (t *Table) sample(pool []*endpoint, need Criteria, depth map[uint64]int) []*endpoint {
	k := t.policy.Candidates
	if need.Resume {
		k = t.policy.ResumeCandidates
	}
	if k <= 0 || k >= len(pool) {
		return pool
	}
	for i := range k {
		j := i + t.random.IntN(len(pool)-i)
		pool[i], pool[j] = pool[j], pool[i]
	}
	var deepest *endpoint
	for _, e := range pool[k:] {
		if depth[e.id] > 0 && (deepest == nil || depth[e.id] > depth[deepest.id]) {
			deepest = e
		}
	}
	chosen := pool[:k:k]
	if deepest != nil {
		chosen = append(chosen, deepest)
	}
	return chosen
}

// closest returns the endpoint with the highest rendezvous hash among those that score up to the limit.
func closest(pool []*endpoint, affinity string, score func(*endpoint) float64, limit float64) *endpoint {
	var best *endpoint
	var high uint64
	for _, e := range pool {
		if score(e) > limit {
			continue
		}
		if weight := rendezvous(affinity, e); best == nil || weight > high {
			best, high = e, weight
		}
	}
	return best
}

// lowest returns an endpoint of the lowest score; ties are broken at random.
func (t *Table) lowest(pool []*endpoint, score func(*endpoint) float64) *endpoint {
	var best *endpoint
	var low float64
	ties := 0
	for _, e := range pool {
		s := score(e)
		switch {
		case best == nil || s < low*(1-tie):
			best, low, ties = e, s, 1
		case s <= low*(1+tie):
			if ties++; t.random.IntN(ties) == 0 {
				best = e
			}
		}
	}
	return best
}

// score is the estimate and what another place costs.
func (t *Table) score(e *endpoint, need Criteria, depth int) float64 {
	score := t.estimate(e, need, depth)
	if need.LocalPlace != "" && e.listing.Place != need.LocalPlace {
		score += t.policy.OtherPlacePenalty
	}
	if left := time.Until(e.slowUntil); left > 0 {
		score += min(left.Seconds(), slowCost)
	}
	if e.peek.Leaving && e.peek.fresh(t.policy) {
		score += leavingCost
	}
	return score
}

// estimate returns the seconds that the request would lose to waiting and to a fuller batch.
func (t *Table) estimate(e *endpoint, need Criteria, depth int) float64 {
	running, waitingPrefill := e.observed(t.policy)
	load, slots := float64(running), float64(max(e.slotCount(), 1))
	if need.Kind == KindService {
		return load / slots
	}
	rate := e.report.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	gap := e.report.TokenGap
	if gap <= 0 {
		gap = defaultGap
	}
	output := float64(t.policy.TypicalOutput)
	if need.MaxTokens > 0 {
		output = min(output, float64(need.MaxTokens))
	}
	own := float64(missing(need, depth)) / rate
	prefill := float64(waitingPrefill)/rate + own
	turnover := float64(t.policy.TypicalOutput) * gap.Seconds() / slots
	queue := max(load+1-slots, 0) * turnover
	growth := output * gap.Seconds() * min(load/slots, 1)
	score := prefill + queue + growth
	if need.Resume {
		score += float64(e.resumes) * own
	}
	if t.policy.BalanceResources {
		score *= e.balance(rate)
	}
	return score
}

// balance returns the resource-balance index, max(W)/avg(W) over slots, cache memory and prefill work.
func (e *endpoint) balance(rate float64) float64 {
	w := [3]float64{
		float64(e.load()) / float64(max(e.report.Slots, 1)),
		float64(e.report.CacheBlocksUsed) / float64(max(e.report.CacheBlocks, 1)),
		float64(e.waitingPrefill()) / rate,
	}
	sum := w[0] + w[1] + w[2]
	if sum == 0 {
		return 1
	}
	return max(w[0], w[1], w[2]) / (sum / 3)
}

func reportedLoad(e *endpoint) float64 {
	return float64(e.report.Running+e.report.Waiting) / float64(max(e.report.Slots, 1))
}

// missing returns the prompt tokens that need prefill after a match of depth blocks.
func missing(need Criteria, depth int) int {
	return max(len(need.Prompt)+need.PromptTokens-depth*BlockTokens, 0)
}
