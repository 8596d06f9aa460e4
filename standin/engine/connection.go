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
	at      int
	// done is set after the chunk with the finish reason.
	done     bool
	previous *frame
}

// frame is one chunk of the published completions format with the engine's own fields.
type frame struct {
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

// follow writes a stream's chunks until its end. The caller has counted the connection in the stream.
func (s *Server) follow(w http.ResponseWriter, r *http.Request, c *connection) {
	defer s.detach(c.stream)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	_ = out.Flush()
	for {
		if !s.awaitWake(r.Context()) {
			standin.Cut()
		}
		s.mu.Lock()
		frames, open, changed := s.pending(c)
		s.mu.Unlock()
		if !open {
			standin.Cut()
		}
		for _, f := range frames {
			data, _ := json.Marshal(f)
			if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
				return
			}
		}
		if c.done {
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		_ = out.Flush()
		select {
		case <-r.Context().Done():
			standin.Cut()
		case <-changed:
		}
	}
}

// pending returns the frames to write now and reports false where the connection must close.
func (s *Server) pending(c *connection) ([]frame, bool, <-chan struct{}) {
	st := c.stream
	superseded := c.attempt < st.attempt && !s.ignoreAttempt
	beyondEnd := st.finish != "" && c.at > st.base+len(st.output)
	if st.cancelled || superseded || beyondEnd {
		return nil, false, nil
	}
	var frames []frame
	for !c.done {
		f, ok := c.nextFrame()
		if !ok {
			break
		}
		frames = append(frames, s.disturb(c, f)...)
		c.previous = &f
	}
	return frames, true, st.changed
}

// nextFrame takes the undelivered ids of one spec.
func (c *connection) nextFrame() (frame, bool) {
	st := c.stream
	from := c.at - st.base
	if from > len(st.output) || (from == len(st.output) && st.finish == "") {
		return frame{}, false
	}
	to := from
	for to < len(st.output) && st.specs[to] == st.specs[from] {
		to++
	}
	finish := ""
	if to == len(st.output) {
		finish = st.finish
	}
	spec := st.spec
	if to > from {
		spec = st.specs[from]
	}
	f := st.frame(spec, c.attempt, from, to, finish)
	c.at = st.base + to
	c.done = finish != ""
	return f, true
}

// frame builds the chunk of output[from:to].
func (st *stream) frame(spec string, attempt, from, to int, finish string) frame {
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
	return frame{
		ID:          st.generation,
		Object:      "text_completion",
		Created:     time.Now().Unix(),
		Model:       st.model,
		Fingerprint: spec,
		Attempt:     attempt,
		Offset:      st.base + from,
		Choices:     []choice{c},
	}
}
