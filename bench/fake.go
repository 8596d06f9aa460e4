package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Traffic counts the bytes of the fakes' connections as the daemon sees them, with all headers.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
	calls    atomic.Int64
}

// countedConn counts what the daemon sends (read here) and receives (written here).
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.traffic}, nil
}

// fakes are light HTTP servers on loopback addresses.
type fakes struct {
	servers []*http.Server
	group   sync.WaitGroup
}

// serve answers an address with a handler and counts its traffic.
func (f *fakes) serve(ctx context.Context, address string, traffic *Traffic, handler http.Handler) (string, error) {
	socket, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return "", err
	}
	counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		traffic.calls.Add(1)
		handler.ServeHTTP(w, r)
	})
	server := &http.Server{Handler: counted, ReadHeaderTimeout: 10 * time.Second}
	f.servers = append(f.servers, server)
	f.group.Go(func() { _ = server.Serve(countedListener{socket, traffic}) })
	return socket.Addr().String(), nil
}

func (f *fakes) close() {
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.group.Wait()
}

// fakeAddress returns the i-th loopback address of a block of 127.0.0.0/8.
func fakeAddress(block, i int, port uint16) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", block+i/50_000, 1+i%50_000/200, 1+i%200, port)
}

// forward passes a call on to another server and returns the size of the answer's body.
func forward(w http.ResponseWriter, r *http.Request, address string) int64 {
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+address+r.URL.RequestURI(), r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return 0
	}
	req.ContentLength = r.ContentLength
	resp, err := controlClient.Do(req)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	w.WriteHeader(resp.StatusCode)
	n, _ := io.Copy(w, resp.Body)
	return n
}
