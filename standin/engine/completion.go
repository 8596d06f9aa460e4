package engine

import (
	"net/http"
	"slices"
	"strings"

	"radishhollow/standin"
)

// completionBody is the request of one attempt. Sampling parameters and stop strings are accepted and have no effect.
type completionBody struct {
	Model     string   `json:"model"`
	Prompt    []uint32 `json:"prompt"`
	MaxTokens int      `json:"max_tokens"`
	Priority  int      `json:"priority"`
	RequestID string   `json:"request_id"`
	Attempt   int      `json:"attempt"`
	Offset    int      `json:"offset"`
}

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var body completionBody
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	if body.RequestID == "" || len(body.Prompt) == 0 || body.Offset < 0 || body.Offset > len(body.Prompt) {
		standin.WriteError(w, http.StatusBadRequest, "malformed-request")
		return
	}
	st, status, code := s.start(body)
	switch status {
	case http.StatusOK:
		s.follow(w, r, &connection{stream: st, attempt: body.Attempt, at: body.Offset})
	case http.StatusConflict:
		standin.WriteError(w, status, code)
	default:
		standin.Refuse(w, status, code)
	}
}

// start queues a new stream with one connection. An older attempt of the same generation is superseded.
func (s *Server) start(body completionBody) (*stream, int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	model, adapter, _ := strings.Cut(body.Model, ":")
	spec, ok := s.specOf(model, adapter)
	old, running := s.streams[body.RequestID]
	switch {
	case s.leaving:
		s.stats.RefusedLeaving++
		return nil, http.StatusServiceUnavailable, "leaving"
	case !ok:
		return nil, http.StatusServiceUnavailable, "model-not-loaded"
	case len(s.waiting) >= s.MaxWaiting:
		return nil, http.StatusTooManyRequests, "overloaded"
	case running && body.Attempt <= old.attempt && !s.ignoreAttempt:
		return nil, http.StatusConflict, "stale-attempt"
	}
	if running {
		s.remove(old)
	}
	st := &stream{
		generation:  body.RequestID,
		attempt:     body.Attempt,
		model:       model,
		adapter:     adapter,
		spec:        spec,
		prompt:      body.Prompt,
		base:        body.Offset,
		maxTokens:   body.MaxTokens,
		priority:    body.Priority,
		state:       newState(spec, body.Prompt),
		connections: 1,
		changed:     make(chan struct{}),
	}
	s.streams[st.generation] = st
	s.waiting = append(s.waiting, st)
	s.stats.Started++
	s.signal()
	return st, http.StatusOK, ""
}

// remove ends a stream and closes its connections.
func (s *Server) remove(st *stream) {
	st.cancelled = true
	if st.expiry != nil {
		st.expiry.Stop()
	}
	if s.streams[st.generation] == st {
		delete(s.streams, st.generation)
	}
	same := func(other *stream) bool { return other == st }
	s.waiting = slices.DeleteFunc(s.waiting, same)
	s.running = slices.DeleteFunc(s.running, same)
	st.notify()
}
