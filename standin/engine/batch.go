package engine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"radishhollow/standin"
)

// runBatch runs the continuous batch: each step advances all running streams. A stalled engine runs no steps.
func (s *Server) runBatch(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		s.admitWaiting()
		d := s.stepDuration()
		s.mu.Unlock()
		if d == 0 {
			select {
			case <-ctx.Done():
			case <-s.batchWake:
			}
			continue
		}
		if !standin.Sleep(ctx.Done(), d) || !s.awaitUnfrozen(ctx) {
			return
		}
		s.mu.Lock()
		if time.Now().After(s.stalledUntil) {
			s.runStep(d)
		}
		s.mu.Unlock()
	}
}

// admitWaiting moves waiting streams into free slots, lowest priority value first.
func (s *Server) admitWaiting() {
	if len(s.waiting) == 0 {
		return
	}
	slices.SortStableFunc(s.waiting, func(a, b *stream) int { return cmp.Compare(a.priority, b.priority) })
	n := min(s.Slots-len(s.running), len(s.waiting))
	for _, st := range s.waiting[:n] {
		// At least one prompt token is prefilled, even if the whole prompt is cached.
		cached := min(s.cache.cachedPrefix(st.prompt), max(0, len(st.prompt)-1))
		st.remainingPrefillTokens = max(1, len(st.prompt)-cached)
		s.stats.CachedPrefillTokens += cached
		s.running = append(s.running, st)
	}
	s.waiting = slices.Delete(s.waiting, 0, n)
}

// stepDuration returns the duration of the next step, which grows with the batch, or 0 if no stream runs.
func (s *Server) stepDuration() time.Duration {
	if len(s.running) == 0 {
		return 0
	}
	return s.tokenGap()
}

// tokenGap returns the time between two tokens of a stream at the current size of the batch, at least 1 ms.
func (s *Server) tokenGap() time.Duration {
	gap := s.TokenGap + time.Duration(max(0, len(s.running)-1))*s.TokenGapPerStream
	return max(time.Millisecond, time.Duration(float64(gap)*s.slowFactor))
}

// runStep runs one step of duration d. It spends the prefill tokens of the step on the streams in their order, and adds
// one token to each stream whose prefill is complete.
func (s *Server) runStep(d time.Duration) {
	prefillBudget := max(1, int(s.PrefillRate*d.Seconds()/s.slowFactor))
	for _, st := range s.running {
		if st.remainingPrefillTokens > 0 {
			n := min(prefillBudget, st.remainingPrefillTokens)
			prefillBudget -= n
			st.remainingPrefillTokens -= n
			s.stats.PrefilledTokens += n
			if st.remainingPrefillTokens > 0 {
				continue
			}
		}
		s.advance(st)
	}
	s.running = slices.DeleteFunc(s.running, func(st *stream) bool { return st.finishReason != "" || st.cancelled })
}

// advance adds one token to a stream. If an earlier attempt has delivered all tokens, it only sets the finish reason.
func (s *Server) advance(st *stream) {
	if st.finishReason = s.finishReason(st); st.finishReason == "" {
		if st.startOffset+len(st.output) == 0 {
			s.startCount++
			st.appendOutput(firstToken(s.Seed, s.startCount))
		} else {
			st.appendOutput(st.digest.nextToken())
		}
		s.stats.GeneratedTokens++
		st.finishReason = s.finishReason(st)
	}
	st.storeBlocks(s.cache)
	st.notifyConnections()
}

// finishReason returns why a stream ends at its current length: "stop" at its natural length, "length" at max_tokens.
// It returns "" if the stream continues.
func (s *Server) finishReason(st *stream) string {
	first, ok := st.firstOutputID()
	if ok && s.MaxNaturalLength > 0 && st.startOffset+len(st.output) >= NaturalLength(first, s.MinNaturalLength, s.MaxNaturalLength) {
		return "stop"
	}
	if len(st.output) >= st.maxTokens {
		return "length"
	}
	return ""
}

// wakeBatchLoop wakes runBatch, which waits while no stream runs. It does not block.
func (s *Server) wakeBatchLoop() {
	select {
	case s.batchWake <- struct{}{}:
	default:
	}
}
