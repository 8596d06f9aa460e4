package engine

import (
	"net/http"
	"slices"
	"strings"

	"radishhollow/standin"
)

// completionBody is the body of a request that starts one attempt. Sampling parameters and stop strings are ignored.
type completionBody struct {
	// Model is MODEL or MODEL:ADAPTER.
	Model  string   `json:"model"`
	Prompt []uint32 `json:"prompt"`
	// MaxTokens is the maximum number of output ids of this attempt.
	MaxTokens int `json:"max_tokens"`
	// Priority orders the waiting streams; the lowest value runs first.
	Priority int `json:"priority"`
	// RequestID is the id of the generation, which all its attempts share.
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	// Offset is the number of output ids of earlier attempts, which are at the end of Prompt.
	Offset int `json:"offset"`
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
	st, status, code := s.startStream(body)
	switch status {
	case http.StatusOK:
		s.writeStream(w, r, &connection{stream: st, attempt: body.Attempt, offset: body.Offset})
	case http.StatusConflict:
		standin.WriteError(w, status, code)
	default:
		standin.Refuse(w, status, code)
	}
}

// startStream queues a new stream with one connection, or returns a status and an error code. It removes the stream of
// an older attempt of the same generation.
func (s *Server) startStream(body completionBody) (*stream, int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	model, adapter, _ := strings.Cut(body.Model, ":")
	spec, ok := s.specOf(model, adapter)
	previous, found := s.streams[body.RequestID]
	switch {
	case s.leaving:
		s.stats.RefusedLeaving++
		return nil, http.StatusServiceUnavailable, "leaving"
	case !ok:
		return nil, http.StatusServiceUnavailable, "model-not-loaded"
	case len(s.waiting) >= s.MaxWaiting:
		return nil, http.StatusTooManyRequests, "overloaded"
	case found && body.Attempt <= previous.attempt && !s.ignoreAttempt:
		return nil, http.StatusConflict, "stale-attempt"
	}
	if found {
		s.removeStream(previous)
	}
	st := &stream{
		generation:  body.RequestID,
		attempt:     body.Attempt,
		model:       model,
		adapter:     adapter,
		spec:        spec,
		prompt:      body.Prompt,
		startOffset: body.Offset,
		maxTokens:   body.MaxTokens,
		priority:    body.Priority,
		digest:      newDigest(spec, body.Prompt),
		connections: 1,
		changed:     make(chan struct{}),
	}
	s.streams[st.generation] = st
	s.waiting = append(s.waiting, st)
	s.stats.Started++
	s.wakeBatchLoop()
	return st, http.StatusOK, ""
}

// removeStream cancels a stream, which closes its connections.
func (s *Server) removeStream(st *stream) {
	st.cancelled = true
	if st.detachTimer != nil {
		st.detachTimer.Stop()
	}
	if s.streams[st.generation] == st {
		delete(s.streams, st.generation)
	}
	sameStream := func(other *stream) bool { return other == st }
	s.waiting = slices.DeleteFunc(s.waiting, sameStream)
	s.running = slices.DeleteFunc(s.running, sameStream)
	st.notifyConnections()
}
