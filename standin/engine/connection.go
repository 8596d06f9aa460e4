package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"radishhollow/standin"
)

// connection is one response that follows a stream from an offset.
type connection struct {
	stream  *stream
	attempt int
	offset      int
	// done is set after the chunk with the finish reason.
	done     bool
	previous *chunk
}

// chunk is one chunk of the published completions format with the engine's own fields.
type chunk struct {
	ID          string   `json:"id"`
	Object      string   `json:"object"`
	Created     int64    `json:"created"`
	Model       string   `json:"model"`
	Fingerprint string   `json:"system_fingerprint"`
	Attempt     int      `json:"attempt"`
	Offset      int      `json:"offset"`
	Choices     []choice `json:"choices"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text"`
	TokenIDs     []uint32 `json:"token_ids"`
	FinishReason *string  `json:"finish_reason"`
}

// writeStream writes a stream's chunks until its end. The caller has counted the connection in the stream.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, c *connection) {
	defer s.detach(c.stream)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	for {
		if !s.awaitUnfrozen(r.Context()) {
			standin.AbortConnection()
		}
		s.mu.Lock()
		chunks, open, changed := s.pendingChunks(c)
		s.mu.Unlock()
		if !open {
			standin.AbortConnection()
		}
		for _, next := range chunks {
			data, _ := json.Marshal(next)
			if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
				return
			}
		}
		if c.done {
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		_ = controller.Flush()
		select {
		case <-r.Context().Done():
			standin.AbortConnection()
		case <-changed:
		}
	}
}

// pendingChunks returns the frames to write now and reports false where the connection must close.
func (s *Server) pendingChunks(c *connection) ([]chunk, bool, <-chan struct{}) {
	st := c.stream
	superseded := c.attempt < st.attempt && !s.ignoreAttempt
	beyondEnd := st.finishReason != "" && c.offset > st.startOffset+len(st.output)
	if st.cancelled || superseded || beyondEnd {
		return nil, false, nil
	}
	var chunks []chunk
	for !c.done {
		next, ok := c.nextChunk()
		if !ok {
			break
		}
		chunks = append(chunks, s.applyChunkFaults(c, next)...)
		c.previous = &next
	}
	return chunks, true, st.changed
}

// nextChunk takes the undelivered ids of one spec.
func (c *connection) nextChunk() (chunk, bool) {
	st := c.stream
	from := c.offset - st.startOffset
	if from > len(st.output) || (from == len(st.output) && st.finishReason == "") {
		return chunk{}, false
	}
	to := from
	for to < len(st.output) && st.specs[to] == st.specs[from] {
		to++
	}
	finish := ""
	if to == len(st.output) {
		finish = st.finishReason
	}
	spec := st.spec
	if to > from {
		spec = st.specs[from]
	}
	next := st.newChunk(spec, c.attempt, from, to, finish)
	c.offset = st.startOffset + to
	c.done = finish != ""
	return next, true
}

// newChunk builds the chunk of output[from:to].
func (st *stream) newChunk(spec string, attempt, from, to int, finish string) chunk {
	// A copy, because the frame is written after the mutex is released.
	ids := append([]uint32{}, st.output[from:to]...)
	var text strings.Builder
	for _, id := range ids {
		text.WriteString(TokenText(id))
	}
	c := choice{Text: text.String(), TokenIDs: ids}
	if finish != "" {
		c.FinishReason = &finish
	}
	return chunk{
		ID:          st.generation,
		Object:      "text_completion",
		Created:     time.Now().Unix(),
		Model:       st.model,
		Fingerprint: spec,
		Attempt:     attempt,
		Offset:      st.startOffset + from,
		Choices:     []choice{c},
	}
}
