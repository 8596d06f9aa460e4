package engine

import (
	"context"
	"net/http"
	"time"

	"radishhollow/standin"
)

// Faults is the body of POST /faults. A missing field leaves that fault unchanged.
type Faults struct {
	// Freeze stops all output and responses while connections stay open; false ends the freeze.
	Freeze *bool `json:"freeze,omitempty"`
	// SlowFactor multiplies the duration of prefill and the token gap; 1 is the normal speed.
	SlowFactor *float64 `json:"slow-factor,omitempty"`
	// StallMS stops all generations for a duration in which the engine still responds to requests.
	StallMS *int `json:"stall-ms,omitempty"`
	// Crossed is the number of next chunks that are preceded by a chunk of another generation.
	Crossed *int `json:"crossed,omitempty"`
	// Duplicate is the number of next chunks that are followed by a repetition of the chunk before them.
	Duplicate *int `json:"duplicate,omitempty"`
	// Drop is the number of next chunks that are not sent.
	Drop *int `json:"drop,omitempty"`
	// IgnoreAttempt makes attach, cancel and start accept stale attempt numbers.
	IgnoreAttempt *bool `json:"ignore-attempt,omitempty"`
	// Leaving sets whether the engine refuses new streams and reports the state "leaving".
	Leaving *bool `json:"leaving,omitempty"`
	// Die closes all connections and stops the engine.
	Die bool `json:"die,omitempty"`
}

// Stats holds the counters of the engine since its start.
type Stats struct {
	PrefilledTokens     int `json:"prefilled-tokens"`
	CachedPrefillTokens int `json:"cached-prefill-tokens"`
	GeneratedTokens     int `json:"generated-tokens"`
	Started             int `json:"streams-started"`
	Attached            int `json:"streams-attached"`
	Cancelled           int `json:"streams-cancelled"`
	// StaleCancels counts the refused cancel requests of older attempts.
	StaleCancels int `json:"cancels-stale"`
	// StaleOrders counts the orders refused because of an old fencing token.
	StaleOrders int `json:"stale-orders"`
	// RefusedLeaving counts the start requests refused because the engine was leaving.
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
		// The response must be sent before the connections close.
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

// awaitUnfrozen waits while the engine is frozen and returns false if ctx ends first.
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

// applyChunkFaults returns the chunks to send in place of the next chunk of a connection. It never drops the last chunk
// or a chunk without ids.
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

// otherStreamChunk returns a chunk with one id of another generation. If possible, it is at the offset that the
// receiver expects, because the receiver would reject a chunk at any other offset as a gap, or drop it as a repetition,
// even if it were of the right generation.
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
