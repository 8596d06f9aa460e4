package engine

import (
	"context"
	"net/http"
	"time"

	"radishhollow/standin"
)

// Faults is the body of POST /faults. Absent fields leave a fault as it is.
type Faults struct {
	// Freeze stops all output and answers while connections stay open; false wakes the engine.
	Freeze *bool `json:"freeze,omitempty"`
	// SlowFactor stretches prefill and token gaps; 1 is normal.
	SlowFactor *float64 `json:"slow-factor,omitempty"`
	// StallMS stops all generations for a time while the engine still answers.
	StallMS *int `json:"stall-ms,omitempty"`
	// Crossed puts a chunk of another generation before each of the next chunks.
	Crossed *int `json:"crossed,omitempty"`
	// Duplicate repeats the chunk before each of the next chunks after it.
	Duplicate *int `json:"duplicate,omitempty"`
	// Drop leaves out the next chunks.
	Drop *int `json:"drop,omitempty"`
	// IgnoreAttempt accepts every attempt number in attach, cancel and start.
	IgnoreAttempt *bool `json:"ignore-attempt,omitempty"`
	Leaving       *bool `json:"leaving,omitempty"`
	// Die closes all connections and ends the engine.
	Die bool `json:"die,omitempty"`
}

// Stats are the engine's counters since its start.
type Stats struct {
	PrefilledTokens     int `json:"prefilled-tokens"`
	CachedPrefillTokens int `json:"cached-prefill-tokens"`
	GeneratedTokens     int `json:"generated-tokens"`
	Started             int `json:"streams-started"`
	Attached            int `json:"streams-attached"`
	Cancelled           int `json:"streams-cancelled"`
	// StaleCancels counts the refused cancels of older attempts.
	StaleCancels       int `json:"cancels-stale"`
	StaleOrders int `json:"stale-orders"`
	// RefusedLeaving counts the starts that the engine refused because it was leaving.
	RefusedLeaving int `json:"refused-leaving"`
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !standin.ReadJSON(w, r, &f) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Freeze != nil {
		s.setFrozen(*f.Freeze)
	}
	if f.StallMS != nil {
		s.stalledUntil = time.Now().Add(time.Duration(*f.StallMS) * time.Millisecond)
	}
	if f.SlowFactor != nil && *f.SlowFactor > 0 {
		s.slowFactor = *f.SlowFactor
	}
	setIfPresent(&s.remainingCrossed, f.Crossed)
	setIfPresent(&s.remainingDuplicates, f.Duplicate)
	setIfPresent(&s.remainingDrops, f.Drop)
	setIfPresent(&s.ignoreAttempt, f.IgnoreAttempt)
	setIfPresent(&s.leaving, f.Leaving)
	w.WriteHeader(http.StatusNoContent)
	if f.Die {
		// The answer leaves before the connections close.
		_ = http.NewResponseController(w).Flush()
		s.cancel()
	}
}

func setIfPresent[T any](target, newValue *T) {
	if newValue != nil {
		*target = *newValue
	}
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	stats := s.stats
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, stats)
}

func (s *Server) setFrozen(freeze bool) {
	switch {
	case freeze && s.frozen == nil:
		s.frozen = make(chan struct{})
	case !freeze && s.frozen != nil:
		close(s.frozen)
		s.frozen = nil
	}
}

// awaitUnfrozen waits while the engine is frozen and reports false where ctx ended first.
func (s *Server) awaitUnfrozen(ctx context.Context) bool {
	for {
		s.mu.Lock()
		frozen := s.frozen
		s.mu.Unlock()
		if frozen == nil {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-frozen:
		}
	}
}

// applyChunkFaults applies the faults of chunks to the next frame of a connection.
func (s *Server) applyChunkFaults(c *connection, next chunk) []chunk {
	var chunks []chunk
	if s.remainingCrossed > 0 {
		if other, ok := s.otherStreamChunk(c.stream, next.Offset); ok {
			s.remainingCrossed--
			chunks = append(chunks, other)
		}
	}
	if s.remainingDrops > 0 && len(next.Choices[0].TokenIDs) > 0 && !c.done {
		s.remainingDrops--
	} else {
		chunks = append(chunks, next)
	}
	if s.remainingDuplicates > 0 && c.previous != nil {
		s.remainingDuplicates--
		chunks = append(chunks, *c.previous)
	}
	return chunks
}

// otherStreamChunk returns one id of another generation, where possible at the offset that the receiver expects, because
// any other offset would also be refused as a gap or dropped as a repetition.
func (s *Server) otherStreamChunk(st *stream, offset int) (chunk, bool) {
	var fallback *stream
	for _, other := range s.streams {
		if other == st || len(other.output) == 0 {
			continue
		}
		i := offset - other.startOffset
		if i >= 0 && i < len(other.output) {
			return other.newChunk(other.specs[i], other.attempt, i, i+1, ""), true
		}
		fallback = other
	}
	if fallback == nil {
		return chunk{}, false
	}
	return fallback.newChunk(fallback.specs[0], fallback.attempt, 0, 1, ""), true
}
