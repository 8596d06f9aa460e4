package forward

import (
	"context"
	"net"
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"
)

// connContextKey is the key of the context value with the connection of a request.
type connContextKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// setResetOnClose makes the kernel reset the connection of an HTTP/1.0 request in place of closing it, or undoes that. The
// end of the connection ends the body of a stream over HTTP/1.0, so that a partial one would look complete wherever the
// connection is closed: by abort, at the end of a planned stop, or with the process.
func setResetOnClose(r *http.Request, reset bool) {
	conn, ok := r.Context().Value(connContextKey{}).(interface{ SetLinger(seconds int) error })
	if !ok || r.ProtoAtLeast(1, 1) {
		return
	}
	const resetAtOnce, kernelDefault = 0, -1
	seconds := kernelDefault
	if reset {
		seconds = resetAtOnce
	}
	// If that fails, the connection is closed, which is no worse.
	_ = conn.SetLinger(seconds)
}

// maxLoggedID bounds the length of the id that a connection keeps.
const maxLoggedID = 64

// setRequestID tells the connection of a request its id, for the line of the connection's end.
func setRequestID(r *http.Request, id string) {
	if conn, ok := r.Context().Value(connContextKey{}).(interface{ SetRequestID(id string) }); ok {
		// A part of the string would keep the whole head.
		conn.SetRequestID(strings.Clone(id[:min(len(id), maxLoggedID)]))
	}
}

// abort ends the handler and the connection, so that the caller does not take a partial response for a complete one.
func abort(c *gin.Context) {
	setResetOnClose(c.Request, true)
	panic(http.ErrAbortHandler)
}
