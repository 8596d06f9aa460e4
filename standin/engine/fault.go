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
	set(&s.crossed, f.Crossed)
	set(&s.duplicated, f.Duplicate)
	set(&s.dropped, f.Drop)
	set(&s.ignoreAttempt, f.IgnoreAttempt)
	set(&s.leaving, f.Leaving)
	w.WriteHeader(http.StatusNoContent)
	if f.Die {
		// The answer leaves before the connections close.
		_ = http.NewResponseController(w).Flush()
		s.cancel()
	}
}

func set[T any](target, value *T) {
	if value != nil {
		*target = *value
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

// awaitWake waits while the engine is frozen and reports false where ctx ended first.
func (s *Server) awaitWake(ctx context.Context) bool {
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

// disturb applies the faults of chunks to the next frame of a connection.
func (s *Server) disturb(c *connection, f frame) []frame {
	var frames []frame
	if s.crossed > 0 {
		if other, ok := s.foreignFrame(c.stream, f.Offset); ok {
			s.crossed--
			frames = append(frames, other)
		}
	}
	if s.dropped > 0 && len(f.Choices[0].TokenIDs) > 0 && !c.done {
		s.dropped--
	} else {
		frames = append(frames, f)
	}
	if s.duplicated > 0 && c.previous != nil {
		s.duplicated--
		frames = append(frames, *c.previous)
	}
	return frames
}

// foreignFrame returns one id of another generation, where possible at the offset that the receiver expects, because
// any other offset would also be refused as a gap or dropped as a repetition.
func (s *Server) foreignFrame(st *stream, offset int) (frame, bool) {
	var found *stream
	for _, other := range s.streams {
		if other == st || len(other.output) == 0 {
			continue
		}
		i := offset - other.base
		if i >= 0 && i < len(other.output) {
			return other.frame(other.specs[i], other.attempt, i, i+1, ""), true
		}
		found = other
	}
	if found == nil {
		return frame{}, false
	}
	return found.frame(found.specs[0], found.attempt, 0, 1, ""), true
}
