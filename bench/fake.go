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

// Traffic counts the calls to the fakes and the bytes of their connections, including HTTP headers. The directions sent
// and received are as seen by the daemon.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
	calls    atomic.Int64
}

// countingConn counts the bytes that the daemon sends (read here) and receives (written here).
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads from the connection and counts the bytes as sent by the daemon.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes as received by the daemon.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	traffic *Traffic
}

// Accept returns the next connection, with its bytes counted.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.traffic}, nil
}

// fakeServers is a group of HTTP servers on loopback addresses.
type fakeServers struct {
	servers []*http.Server
	group   sync.WaitGroup
}

// serve starts an HTTP server with the handler and counts its traffic. It returns the bound address.
func (f *fakeServers) serve(ctx context.Context, address string, traffic *Traffic, handler http.Handler) (string, error) {
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
	f.group.Go(func() { _ = server.Serve(countingListener{socket, traffic}) })
	return socket.Addr().String(), nil
}

func (f *fakeServers) close() {
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.group.Wait()
}

// fakeAddress returns the i-th loopback address of a block of 127.0.0.0/8.
func fakeAddress(block, i int, port uint16) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", block+i/50_000, 1+i%50_000/200, 1+i%200, port)
}

// proxy forwards a request, without its headers, to the server at the address and returns the size of the response
// body.
func proxy(w http.ResponseWriter, r *http.Request, address string) int64 {
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
