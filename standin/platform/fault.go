package platform

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"radishhollow/standin"
)

// Faults is the body of POST /faults. It replaces all faults in effect.
type Faults struct {
	// Down closes the connection of every call before it takes effect.
	Down bool `json:"down"`
	// DelayMS delays every call before it takes effect.
	DelayMS int `json:"delay-ms"`
	// LoseResponses is the number of writes whose connection is closed after they took effect, starting with the next.
	LoseResponses int `json:"lose-answers"`
	// FreezeState freezes the instance list and the watches at their current state. Reads and writes of keys still see
	// the latest state, because the key-value service guarantees compare-and-swap.
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
	// Pending watches check the faults again: they continue after a freeze, and close if the platform is down.
	s.notifyWatches()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

// withFaults wraps a handler: it counts the call under kind, applies the faults and enforces the rate limit. Only
// writes can lose their response.
func (s *Server) withFaults(kind string, limit *rate.Limiter, write bool, next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.callCounts[kind]++
		delay := time.Duration(s.faults.DelayMS) * time.Millisecond
		s.mu.Unlock()
		if !standin.Sleep(s.stop, delay) || s.isDown() {
			standin.AbortConnection()
		}
		if kind != kindWatch {
			// The response belongs to one era. A watch waits and sets its era itself.
			s.restoring.RLock()
			defer s.restoring.RUnlock()
		}
		s.setEra(w)
		if limit != nil && !limit.Allow() {
			standin.WriteError(w, http.StatusTooManyRequests, "rate-limited")
			return
		}
		if write && s.takeLostResponse() {
			next(discardWriter{header: http.Header{}}, r)
			standin.AbortConnection()
		}
		next(w, r)
	})
}

// takeLostResponse returns whether the current write loses its response, and if so counts it against LoseResponses.
func (s *Server) takeLostResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseResponses == 0 {
		return false
	}
	s.faults.LoseResponses--
	return true
}

// discardWriter is a response writer that discards the response.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (w discardWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w discardWriter) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (w discardWriter) Write(data []byte) (int, error) { return len(data), nil }
