package platform

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"radishhollow/standin"
)

// Faults is the body of POST /faults, which replaces all faults.
type Faults struct {
	// Down cuts the connection of every call before it has an effect.
	Down bool `json:"down"`
	// DelayMS delays every call before its effect.
	DelayMS int `json:"delay-ms"`
	// LoseAnswers cuts the connection of the next writes after their effect.
	LoseAnswers int `json:"lose-answers"`
	// FreezeState keeps the instance list and the watches at the state of this moment. Reads and writes of keys
	// still see the current state, because the service gives compare-and-swap.
	FreezeState bool `json:"freeze-state"`
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !standin.ReadJSON(w, r, &faults) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.FreezeState && !s.faults.FreezeState {
		s.frozenAt = time.Now()
	}
	s.faults = faults
	// Waiting watches go on after a freeze and are cut where the platform is down.
	s.notifyWatches()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

// withFaults counts a call, limits its rate and applies the faults.
func (s *Server) withFaults(kind string, limit *rate.Limiter, write bool, next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.callCounts[kind]++
		delay := time.Duration(s.faults.DelayMS) * time.Millisecond
		s.mu.Unlock()
		if !standin.Sleep(s.stop, delay) || s.isDown() {
			standin.AbortConnection()
		}
		if limit != nil && !limit.Allow() {
			standin.WriteError(w, http.StatusTooManyRequests, "rate-limited")
			return
		}
		if write && s.takeLostAnswer() {
			next(discardWriter{header: http.Header{}}, r)
			standin.AbortConnection()
		}
		next(w, r)
	})
}

func (s *Server) takeLostAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// discardWriter discards an answer.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (w discardWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (a discardWriter) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (a discardWriter) Write(data []byte) (int, error) { return len(data), nil }
