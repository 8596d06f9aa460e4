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

// streamed answers one request with server-sent events.
type streamed struct {
	server    *Server
	c         *gin.Context
	control   *http.ResponseController
	request   *request
	workspace config.Workspace
	log       *generation.Log
	cursor    generation.Cursor
	codec     generation.CursorCodec
	started   bool
}

func (s *Server) newStreamed(c *gin.Context, r *request, workspace config.Workspace, log *generation.Log) *streamed {
	life := s.CursorTTL
	if life == 0 {
		life = cursorLife
	}
	return &streamed{
		server: s, c: c, control: http.NewResponseController(c.Writer), request: r, workspace: workspace, log: log,
		codec: generation.CursorCodec{Keys: s.CursorKeys},
		cursor: generation.Cursor{
			Generation: log.Generation(), PromptDigest: generation.PromptDigest(r.prompt), Workspace: workspace.Name,
			Expiry: time.Now().Add(life).Unix(),
		},
	}
}

func (s *streamed) run(ctx context.Context, from route.Choice) error {
	d := s.server.driver(s.request, s.workspace, s.log)
	d.AttachTo, d.Deliver, d.Observe = from, s.deliver, s.observe
	defer func() { _ = s.control.SetWriteDeadline(time.Time{}) }()
	if err := d.Run(ctx); err != nil {
		if s.started {
			// The connection may be gone, and the error is counted in any case.
			_ = s.write("event: error\ndata: ", errorBody(err))
		}
		return err
	}
	if s.request.usage {
		if err := s.write("id: "+s.position()+"\ndata: ", usageBody(s.request, s.log)); err != nil {
			return generation.CallerGoneError{Cause: err}
		}
	}
	if err := s.write("data: ", []byte("[DONE]")); err != nil {
		return generation.CallerGoneError{Cause: err}
	}
	return nil
}

func (s *streamed) observe(event generation.Event) {
	if event.Kind == generation.EventAttempt {
		s.cursor.Address, s.cursor.Incarnation, s.cursor.Attempt = event.Address, event.Incarnation, event.Attempt
	}
	s.server.measure(s.request, s.workspace.Name, event)
}

func (s *streamed) deliver(part generation.Chunk) error {
	return s.write("id: "+s.position()+"\ndata: ", chunkBody(s.request, part))
}

// position returns the signed cursor after everything that has been delivered.
func (s *streamed) position() string {
	s.cursor.Offset, s.cursor.Digest = s.log.Len(), s.log.Digest()
	s.cursor.Spec = s.log.Spec().String()
	return s.codec.Encode(s.cursor)
}

// write sends one event whose last line starts with before and ends with data.
func (s *streamed) write(before string, data []byte) error {
	if !s.started {
		s.started = true
		header := s.c.Writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		s.c.Status(http.StatusOK)
	}
	// A caller that stops reading must not hold an engine's stream; a writer without deadlines is one of a test.
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	event := make([]byte, 0, len(before)+len(data)+2)
	event = append(append(append(event, before...), data...), "\n\n"...)
	if _, err := s.c.Writer.Write(event); err != nil {
		return err
	}
	return s.control.Flush()
}
