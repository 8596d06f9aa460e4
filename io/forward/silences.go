package forward

import (
	"sync"
	"time"
)

// silenceTimes holds, by place, the last time at which a stream lost an engine of the place to silence.
type silenceTimes struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// record notes that an engine of the place has just gone silent.
func (s *silenceTimes) record(place string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil {
		s.last = map[string]time.Time{}
	}
	s.last[place] = time.Now()
}

// occurredAfter reports whether an engine of the place has gone silent after the given time.
func (s *silenceTimes) occurredAfter(place string, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[place].After(at)
}
