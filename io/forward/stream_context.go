package forward

import (
	"context"
	"net/http"

	"github.com/gin-gonic/gin"
)

// newStreamHandler returns a handler whose context ends with the caller's connection, the daemon or the deadline. When the
// caller disconnects, it ends without CallerGoneError as its cause. The Driver has no Cancel function, and finish recognizes
// a disconnected caller by the context of the request.
func (s *Server) newStreamHandler(c *gin.Context, q *request) (*streamHandler, context.CancelFunc) {
	h := &streamHandler{server: s, c: c, controller: http.NewResponseController(c.Writer), request: q}
	ctx, cancelEnding := h.withEnding(c.Request.Context())
	ctx, cancel := context.WithDeadlineCause(ctx, q.deadline, q.deadlineError())
	h.ctx = ctx
	return h, func() {
		cancel()
		cancelEnding()
	}
}
