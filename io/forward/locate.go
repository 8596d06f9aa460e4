package forward

import (
	"context"
	"sync"
	"time"

	"radishhollow/core/guard"
	"radishhollow/core/route"
	"radishhollow/io/telemetry"
)

const (
	// locateEngines is the number of engines, besides the first ones of each place, that are asked for the prompt of a caller
	// that has connected again.
	locateEngines = 4
	// locateTimeout bounds these calls. It is short compared with another prefill of the prompt.
	locateTimeout = 60 * time.Millisecond
)

// locatesPrompt reports whether the engines are asked which of them has the prompt of a caller that has connected again,
// because its daemon has failed. Where streams compete for the engines, or some engines are slow, another prefill costs the
// others' time, too.
func (h *streamHandler) locatesPrompt() bool {
	q := h.request
	if h.server.CachedTokens == nil || q.promptTokens < loadQueryMinTokens {
		return false
	}
	return q.document.Urgency(q.service.Name).IsContended() || h.server.StatesSlowdown(q.service.Name)
}

// locatePrompt returns the address of the engine that has the most tokens of the prompt in its cache, or an empty string.
// That is the engine of the run that the caller has lost, or the one with the copy of its KV cache.
func (h *streamHandler) locatePrompt(ctx context.Context, criteria route.Criteria) string {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	addresses := h.server.CacheCandidates(criteria, locateEngines)
	tokens := make([]int, len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			err := guard.Call(func() error {
				tokens[i] = h.server.CachedTokens(ctx, address, criteria.AffinityKey)
				return nil
			}, nil)
			if err != nil {
				h.server.recordPanic(h.request.id, err)
			}
		})
	}
	group.Wait()
	best := -1
	for i, n := range tokens {
		if n > 0 && (best < 0 || n > tokens[best]) {
			best = i
		}
	}
	if best < 0 {
		h.server.Metrics.Count(telemetry.LocatedPrompts, "not-found")
		return ""
	}
	h.server.Metrics.Count(telemetry.LocatedPrompts, "found")
	return addresses[best]
}
