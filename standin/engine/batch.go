package engine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"radishhollow/standin"
)

// runBatch advances all running streams, one step of the continuous batch at a time.
func (s *Server) runBatch(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		s.admit()
		d := s.stepTime()
		s.mu.Unlock()
		if d == 0 {
			select {
			case <-ctx.Done():
			case <-s.wake:
			}
			continue
		}
		if !standin.Sleep(ctx.Done(), d) || !s.awaitWake(ctx) {
			return
		}
		s.mu.Lock()
		if time.Now().After(s.stalledUntil) {
			s.step(d)
		}
		s.mu.Unlock()
	}
}

// admit moves waiting streams into free slots, lowest priority number first.
func (s *Server) admit() {
	if len(s.waiting) == 0 {
		return
	}
	slices.SortStableFunc(s.waiting, func(a, b *stream) int { return cmp.Compare(a.priority, b.priority) })
	n := min(s.Slots-len(s.running), len(s.waiting))
	for _, st := range s.waiting[:n] {
		cached := min(s.cache.cached(st.prompt), max(0, len(st.prompt)-1))
		st.prefillLeft = max(1, len(st.prompt)-cached)
		s.stats.CachedPrefillTokens += cached
		s.running = append(s.running, st)
	}
	s.waiting = slices.Delete(s.waiting, 0, n)
}

// stepTime returns the time of the next step, which grows with the batch, or 0 where nothing runs.
func (s *Server) stepTime() time.Duration {
	if len(s.running) == 0 {
		return 0
	}
	return s.tokenGap()
}

func (s *Server) tokenGap() time.Duration {
	gap := s.TokenGap + time.Duration(max(0, len(s.running)-1))*s.TokenGapPerStream
	return max(time.Millisecond, time.Duration(float64(gap)*s.slowFactor))
}

// step spends the prefill of one step on the prefilling streams in order and adds a token to every other one.
func (s *Server) step(d time.Duration) {
	budget := max(1, int(s.PrefillRate*d.Seconds()/s.slowFactor))
	for _, st := range s.running {
		if st.prefillLeft > 0 {
			n := min(budget, st.prefillLeft)
			budget -= n
			st.prefillLeft -= n
			s.stats.PrefilledTokens += n
			if st.prefillLeft > 0 {
				continue
			}
		}
		s.advance(st)
	}
	s.running = slices.DeleteFunc(s.running, func(st *stream) bool { return st.finish != "" || st.cancelled })
}

// advance adds one token to a stream, or only its end where all tokens were delivered by an earlier attempt.
func (s *Server) advance(st *stream) {
	if st.finish = s.finishOf(st); st.finish == "" {
		if st.base+len(st.output) == 0 {
			s.starts++
			st.emit(firstToken(s.Seed, s.starts))
		} else {
			st.emit(st.state.next())
		}
		s.stats.GeneratedTokens++
		st.finish = s.finishOf(st)
	}
	st.storeBlocks(s.cache)
	st.notify()
}

func (s *Server) finishOf(st *stream) string {
	first, ok := st.first()
	if ok && s.MaxNaturalLength > 0 && st.base+len(st.output) >= NaturalLength(first, s.MinNaturalLength, s.MaxNaturalLength) {
		return "stop"
	}
	if len(st.output) >= st.maxTokens {
		return "length"
	}
	return ""
}

// signal wakes the batch loop.
func (s *Server) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
