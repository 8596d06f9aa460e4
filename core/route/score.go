package route

import "time"

const (
	// defaultPrefillRate is used for engines that have not reported a rate, in tokens per second.
	defaultPrefillRate = 5000
	// defaultTokenGap is used for engines that have not reported a token gap.
	defaultTokenGap = 20 * time.Millisecond
	// maxWarmUpPenalty bounds the penalty, in seconds, on the score of an endpoint that has just started.
	maxWarmUpPenalty = 0.5
	// tieTolerance is the relative difference up to which two scores count as equal.
	tieTolerance = 1e-9
)

// selectEndpoint picks an endpoint from the pool by Policy.Method. The map cachedBlocks holds the number of prompt
// blocks that each endpoint probably has in its cache, by endpoint.id.
func (t *Table) selectEndpoint(pool []*endpoint, criteria Criteria, cachedBlocks map[uint64]int) *endpoint {
	switch t.policy.Method {
	case MethodRandom:
		return pool[t.random.IntN(len(pool))]
	case MethodLeastReported:
		return t.lowestScore(pool, reportedLoad)
	default:
		score := func(e *endpoint) float64 { return t.score(e, criteria, cachedBlocks[e.id]) }
		if t.statesSlowdown(criteria.Kind, criteria.Name) {
			score = t.jitteredScore(pool, criteria.Kind, score)
		}
		pool = t.sampleEndpoints(pool, criteria, cachedBlocks)
		best := t.lowestScore(pool, score)
		if criteria.AffinityKey == "" {
			return best
		}
		return highestRendezvous(pool, criteria.AffinityKey, score, score(best)+t.affinityTolerance(criteria))
	}
}

// affinityTolerance returns the seconds by which the score of the endpoint selected by the affinity key may exceed the
// lowest score. For a reconnected caller this is at least the time that another prefill of the prompt takes.
func (t *Table) affinityTolerance(criteria Criteria) float64 {
	if !criteria.Reconnected {
		return t.policy.AffinityTolerance
	}
	return max(t.policy.AffinityTolerance, float64(uncachedTokens(criteria, 0))/defaultPrefillRate)
}

// sampleEndpoints returns Policy.SampleSize random endpoints, or ResumeSampleSize for a resume, and, of the others, the
// one with the longest prefix match. A size of 0 means all. If all endpoints were compared, every daemon would pick the
// same one until its next report.
func (t *Table) sampleEndpoints(pool []*endpoint, criteria Criteria, cachedBlocks map[uint64]int) []*endpoint {
	count := t.policy.SampleSize
	if criteria.Resume {
		count = t.policy.ResumeSampleSize
	}
	if count <= 0 || count >= len(pool) {
		return pool
	}
	for i := range count {
		j := i + t.random.IntN(len(pool)-i)
		pool[i], pool[j] = pool[j], pool[i]
	}
	var longestMatch *endpoint
	for _, e := range pool[count:] {
		if cachedBlocks[e.id] > 0 && (longestMatch == nil || cachedBlocks[e.id] > cachedBlocks[longestMatch.id]) {
			longestMatch = e
		}
	}
	chosen := pool[:count:count]
	if longestMatch != nil {
		chosen = append(chosen, longestMatch)
	}
	return chosen
}

// highestRendezvous returns the endpoint with the highest rendezvous hash among those whose score is at most limit.
func highestRendezvous(pool []*endpoint, affinityKey string, score func(*endpoint) float64, limit float64) *endpoint {
	var best *endpoint
	var high uint64
	for _, e := range pool {
		if score(e) > limit {
			continue
		}
		if weight := rendezvousHash(affinityKey, e); best == nil || weight > high {
			best, high = e, weight
		}
	}
	return best
}

// lowestScore returns an endpoint with the lowest score; ties are broken at random.
func (t *Table) lowestScore(pool []*endpoint, score func(*endpoint) float64) *endpoint {
	var best *endpoint
	var low float64
	ties := 0
	for _, e := range pool {
		s := score(e)
		switch {
		case best == nil || s < low*(1-tieTolerance):
			best, low, ties = e, s, 1
		case s <= low*(1+tieTolerance):
			if ties++; t.random.IntN(ties) == 0 {
				best = e
			}
		}
	}
	return best
}

// score returns the estimated delay plus the penalties for another place, warm-up and leaving; lower is better.
func (t *Table) score(e *endpoint, criteria Criteria, cachedBlocks int) float64 {
	score := t.estimatedDelay(e, criteria, cachedBlocks)
	if criteria.LocalPlace != "" && e.listing.Place != criteria.LocalPlace {
		score += t.policy.OtherPlacePenalty
	}
	if left := time.Until(e.warmUpUntil); left > 0 {
		score += min(left.Seconds(), maxWarmUpPenalty)
	}
	if e.queriedLoad.Leaving && e.queriedLoad.isFresh(t.policy) {
		score += leavingPenalty
	}
	return score
}

// estimatedDelay returns the seconds that a request is expected to lose to prefill, queueing and a larger batch. For
// services it returns the load per slot, or statedDelay if they state four figures.
func (t *Table) estimatedDelay(e *endpoint, criteria Criteria, cachedBlocks int) float64 {
	requests, waitingPrefill := e.observedLoad(t.policy)
	if criteria.Kind == KindService && t.statesSlowdown(criteria.Kind, criteria.Name) {
		return t.statedDelay(e, time.Now())
	}
	load, slots := float64(requests), float64(max(e.slotCount(), 1))
	if criteria.Kind == KindService {
		return load / slots
	}
	rate := e.report.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	tokenGap := e.report.TokenGap
	if tokenGap <= 0 {
		tokenGap = defaultTokenGap
	}
	output := float64(t.policy.TypicalOutputTokens)
	if criteria.MaxTokens > 0 {
		output = min(output, float64(criteria.MaxTokens))
	}
	ownPrefill := float64(uncachedTokens(criteria, cachedBlocks)) / rate
	prefill := float64(waitingPrefill)/rate + ownPrefill
	slotFreeInterval := float64(t.policy.TypicalOutputTokens) * tokenGap.Seconds() / slots
	queueDelay := max(load+1-slots, 0) * slotFreeInterval
	batchDelay := output * tokenGap.Seconds() * min(load/slots, 1)
	delay := prefill + queueDelay + batchDelay
	if criteria.Resume {
		// Spreads the resumes of a lost engine: each resume in flight counts as another prefill.
		delay += float64(e.resumes) * ownPrefill
	}
	if t.policy.BalanceResources {
		delay *= e.balanceIndex(rate)
	}
	return delay
}

// balanceIndex returns the resource-balance index max(W)/avg(W), where W are the loads of slots, KV cache and
// prefill.
func (e *endpoint) balanceIndex(rate float64) float64 {
	utilization := [3]float64{
		float64(e.load()) / float64(max(e.report.Slots, 1)),
		float64(e.report.CacheBlocksUsed) / float64(max(e.report.CacheBlocks, 1)),
		float64(e.waitingPrefill()) / rate,
	}
	sum := utilization[0] + utilization[1] + utilization[2]
	if sum == 0 {
		return 1
	}
	return max(utilization[0], utilization[1], utilization[2]) / (sum / 3)
}

func reportedLoad(e *endpoint) float64 {
	return float64(e.report.Running+e.report.Waiting) / float64(max(e.report.Slots, 1))
}

// uncachedTokens returns the number of prompt tokens that need prefill if the first cachedBlocks blocks are cached.
func uncachedTokens(criteria Criteria, cachedBlocks int) int {
	return max(len(criteria.Prompt)+criteria.PromptTokens-cachedBlocks*BlockTokens, 0)
}
