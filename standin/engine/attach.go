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
	s.writeStream(w, r, &connection{stream: st, attempt: attempt, offset: offset})
}

// attach adds a connection to a stream and raises the stream's attempt number, which closes the connections of older
// attempts. It returns a status and an error code instead if the attempt is stale, or if this engine has no stream of
// the generation or only one that starts after the offset.
func (s *Server) attach(generation string, attempt, offset int) (*stream, int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.streams[generation]
	switch {
	case !ok || offset < st.startOffset:
		return nil, http.StatusNotFound, "unknown-stream"
	case attempt <= st.attempt && !s.ignoreAttempt:
		return nil, http.StatusConflict, "stale-attempt"
	}
	if st.detachTimer != nil {
		st.detachTimer.Stop()
	}
	st.attempt = max(st.attempt, attempt)
	st.connections++
	s.stats.Attached++
	st.notifyConnections()
	return st, http.StatusOK, ""
}

// detach removes a connection. A stream without connections ends unless one attaches within DetachHold.
func (s *Server) detach(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st.connections--
	if st.connections > 0 || st.cancelled {
		return
	}
	st.detachTimer = time.AfterFunc(s.DetachHold, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if st.connections == 0 && !st.cancelled {
			s.removeStream(st)
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
		s.removeStream(st)
		w.WriteHeader(http.StatusNoContent)
	}
}
