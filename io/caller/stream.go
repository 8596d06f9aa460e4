package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"radishhollow/core/config"
	"radishhollow/core/generation"
	"radishhollow/core/route"
)

// streamHandler responds to one request with server-sent events.
type streamHandler struct {
	server     *Server
	c          *gin.Context
	controller *http.ResponseController
	request    *request
	workspace  config.Workspace
	log        *generation.Log
	cursor     generation.Cursor
	codec      generation.CursorCodec
	headerSent bool
}

func (s *Server) newStreamHandler(
	c *gin.Context, r *request, workspace config.Workspace, log *generation.Log,
) *streamHandler {
	ttl := s.CursorTTL
	if ttl == 0 {
		ttl = defaultCursorTTL
	}
	return &streamHandler{
		server: s, c: c, controller: http.NewResponseController(c.Writer), request: r, workspace: workspace, log: log,
		codec: generation.CursorCodec{Keys: s.CursorKeys},
		cursor: generation.Cursor{
			Generation: log.Generation(), PromptDigest: generation.PromptDigest(r.prompt), Workspace: workspace.Name,
			Expiry: time.Now().Add(ttl).Unix(),
		},
	}
}

func (h *streamHandler) run(ctx context.Context, attachTo route.Choice) error {
	d := h.server.newDriver(h.request, h.workspace, h.log)
	d.AttachTo, d.Deliver, d.Observe = attachTo, h.deliver, h.observe
	defer func() { _ = h.controller.SetWriteDeadline(time.Time{}) }()
	if err := d.Run(ctx); err != nil {
		if h.headerSent {
			// The write fails if the connection is closed. handleGeneration counts err in any case.
			_ = h.write("event: error\ndata: ", errorBody(err))
		}
		return err
	}
	if h.request.includeUsage {
		if err := h.write("id: "+h.encodeCursor()+"\ndata: ", usageBody(h.request, h.log)); err != nil {
			return generation.CallerGoneError{Cause: err}
		}
	}
	if err := h.write("data: ", []byte("[DONE]")); err != nil {
		return generation.CallerGoneError{Cause: err}
	}
	return nil
}

func (h *streamHandler) observe(event generation.Event) {
	if event.Kind == generation.EventAttempt {
		h.cursor.Address, h.cursor.Incarnation, h.cursor.Attempt = event.Address, event.Incarnation, event.Attempt
	}
	h.server.recordEvent(h.request, h.workspace.Name, event)
}

func (h *streamHandler) deliver(chunk generation.Chunk) error {
	return h.write("id: "+h.encodeCursor()+"\ndata: ", chunkBody(h.request, chunk))
}

// encodeCursor returns the signed cursor of the position after all delivered output.
func (h *streamHandler) encodeCursor() string {
	h.cursor.Offset, h.cursor.Digest = h.log.Len(), h.log.Digest()
	h.cursor.Spec = h.log.Spec().String()
	return h.codec.Encode(h.cursor)
}

// write sends one event that consists of prefix and data.
func (h *streamHandler) write(prefix string, data []byte) error {
	if !h.headerSent {
		h.headerSent = true
		h.request.begun.Store(true)
		header := h.c.Writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		h.c.Status(http.StatusOK)
	}
	// A caller that stops reading must not block an engine's stream. The error is ignored, because only the response
	// writers of tests do not support deadlines.
	_ = h.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	event := make([]byte, 0, len(prefix)+len(data)+2)
	event = append(append(append(event, prefix...), data...), "\n\n"...)
	if _, err := h.c.Writer.Write(event); err != nil {
		return err
	}
	return h.controller.Flush()
}
