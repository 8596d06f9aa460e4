package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"radishhollow/standin"
)

// connection is one streaming response that sends a stream from an offset on.
type connection struct {
	stream  *stream
	attempt int
	// offset is the offset in the generation of the next id to send.
	offset int
	// done is set with the chunk that carries the finish reason.
	done bool
	// previous is the last chunk of the connection, which the fault Duplicate sends again.
	previous *chunk
}

// chunk is one chunk of the public completions format with additional fields of the engine.
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

// writeStream writes the chunks of a stream until the stream or the connection ends. The caller must have counted the
// connection in the stream; writeStream detaches it.
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

// pendingChunks returns the chunks to write now and the channel that signals further changes. It returns false if the
// connection must close: its stream was cancelled, a newer attempt superseded it, or its offset is beyond the end.
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

// nextChunk returns a chunk with the longest run of unsent ids of one spec and advances the offset. It returns false if
// there is nothing to send.
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

// newChunk returns the chunk for output[from:to].
func (st *stream) newChunk(spec string, attempt, from, to int, finish string) chunk {
	// The ids are copied, because the chunk is written after the mutex is released.
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
