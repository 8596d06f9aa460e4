package connlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// refuseTimeout bounds the write of a refusal to a caller that does not read.
const refuseTimeout = time.Second

// limited is a connection with its Conn.
type limited interface{ Limited() *Conn }

type connKey struct{}

// Install makes a server tell the connections that a Listener or another source of limited connections accepts what it does. It
// must be called after the other fields of the server are set.
func Install(server *http.Server) {
	withConn, onState, next := server.ConnContext, server.ConnState, server.Handler
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if withConn != nil {
			ctx = withConn(ctx, conn)
		}
		if c := connOf(conn); c != nil {
			ctx = context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c := connOf(conn); c != nil {
			c.setState(state)
		}
		if onState != nil {
			onState(conn, state)
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, _ := r.Context().Value(connKey{}).(*Conn); c != nil && r.Body != http.NoBody {
			// net/http decides by the type of the body of its own request whether the connection can be used again.
			r = r.WithContext(r.Context())
			r.Body = &body{ReadCloser: r.Body, conn: c}
		} else if c != nil {
			c.BodyRead()
		}
		next.ServeHTTP(w, r)
	})
}

// IsFollowed reports whether the caller of a request has sent more on its connection, which is mostly its next request. The context
// is that of the request. Nothing is known of what follows a body without a length.
func IsFollowed(ctx context.Context) bool {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c != nil && c.followed.Load()
}

func connOf(conn net.Conn) *Conn {
	if c, ok := conn.(limited); ok {
		return c.Limited()
	}
	return nil
}

func (c *Conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.Serving()
	case http.StateIdle:
		c.Idle()
	case http.StateClosed, http.StateHijacked:
		c.Close()
	}
}

// body tells its connection when it has been read to its end.
type body struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.conn.BodyRead()
	}
	return n, err
}

// Listener accepts connections that a Limiter bounds. The fields must be set before the first Accept.
type Listener struct {
	net.Listener
	Limiter *Limiter
	Limits  Limits
	// Internal is that of Conn.
	Internal bool
	// HeadTimeout bounds the time from the first byte of a later head to its end. The server bounds the first head itself.
	HeadTimeout time.Duration
	// Received returns the number of bytes that the kernel has received on a connection. It may be nil.
	Received func(conn syscall.Conn) int64
}

// Accept returns the next connection for which there is memory.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &limitedConn{Conn: conn}
		c.limits = &Conn{
			Limiter: l.Limiter, Limits: l.Limits, Internal: l.Internal, Source: conn.Read, Refuse: RefuseFunc(conn),
			Abort: func() { _ = conn.Close() },
		}
		c.limits.OnHead = func(used bool) {
			if used && l.HeadTimeout > 0 {
				_ = conn.SetReadDeadline(time.Now().Add(l.HeadTimeout))
			}
		}
		if raw, ok := conn.(syscall.Conn); ok && l.Received != nil {
			c.limits.Received = func() int64 { return l.Received(raw) }
		}
		if c.limits.Open() {
			return c, nil
		}
		_ = conn.Close()
	}
}

// RefuseFunc returns a function that writes a refusal to a connection.
func RefuseFunc(conn net.Conn) func(response string) {
	return func(response string) {
		// An error means that the caller has left or does not read.
		_ = conn.SetWriteDeadline(time.Now().Add(refuseTimeout))
		_, _ = io.WriteString(conn, response)
	}
}

type limitedConn struct {
	net.Conn
	limits *Conn
}

// Limited returns what the Limiter knows of the connection.
func (c *limitedConn) Limited() *Conn { return c.limits }

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) { return c.limits.Read(p) }
