package engine

import (
	"net/http"
	"strconv"
	"time"

	"radishhollow/standin"
)

func (s *Server) handleAttach(w http.ResponseWriter, r *http.Request) {
	attempt, err := strconv.Atoi(r.URL.Query().Get("attempt"))
	offset, errOffset := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || errOffset != nil {
		standin.WriteError(w, http.StatusBadRequest, "malformed-request")
		return
	}
	st, status, code := s.attach(r.PathValue("generation"), attempt, offset)
	if st == nil {
		standin.WriteError(w, status, code)
		return
	}
	s.follow(w, r, &connection{stream: st, attempt: attempt, at: offset})
}

// attach raises a stream's attempt and adds a connection. An offset before the stream's start here is unknown.
func (s *Server) attach(generation string, attempt, offset int) (*stream, int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.streams[generation]
	switch {
	case !ok || offset < st.base:
		return nil, http.StatusNotFound, "unknown-stream"
	case attempt <= st.attempt && !s.ignoreAttempt:
		return nil, http.StatusConflict, "stale-attempt"
	}
	if st.expiry != nil {
		st.expiry.Stop()
	}
	st.attempt = max(st.attempt, attempt)
	st.connections++
	s.stats.Attached++
	st.notify()
	return st, http.StatusOK, ""
}

// detach removes a connection; the stream ends when none returns within the detach hold.
func (s *Server) detach(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st.connections--
	if st.connections > 0 || st.cancelled {
		return
	}
	st.expiry = time.AfterFunc(s.DetachHold, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if st.connections == 0 && !st.cancelled {
			s.remove(st)
		}
	})
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	attempt, err := strconv.Atoi(r.URL.Query().Get("attempt"))
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "malformed-request")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.streams[r.PathValue("generation")]
	switch {
	case !ok:
		standin.WriteError(w, http.StatusNotFound, "unknown-stream")
	case attempt < st.attempt && !s.ignoreAttempt:
		s.stats.StaleCancels++
		standin.WriteError(w, http.StatusConflict, "stale-attempt")
	default:
		s.stats.Cancelled++
		s.remove(st)
		w.WriteHeader(http.StatusNoContent)
	}
}
