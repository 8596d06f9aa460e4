package connlimit_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"radishhollow/io/connlimit"
)

// script is a connection whose caller sends given bytes in parts and then ends its side.
type script struct {
	mu       sync.Mutex
	data     []byte
	part     int
	received bytes.Buffer
	closed   chan struct{}
	once     sync.Once
}

func newScript(data []byte, part int) *script {
	return &script{data: data, part: part, closed: make(chan struct{})}
}

// Read returns the next part.
func (s *script) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.closed:
		return 0, net.ErrClosed
	default:
	}
	if len(s.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, s.data[:min(s.part, len(s.data))])
	s.data = s.data[n:]
	return n, nil
}

// Write keeps a response.
func (s *script) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received.Write(p)
}

// Close ends the connection.
func (s *script) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

func (s *script) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (s *script) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (s *script) SetDeadline(time.Time) error      { return nil }
func (s *script) SetReadDeadline(time.Time) error  { return nil }
func (s *script) SetWriteDeadline(time.Time) error { return nil }

// scripts accepts given connections.
type scripts struct{ conns chan net.Conn }

func (s scripts) Accept() (net.Conn, error) {
	conn, ok := <-s.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (s scripts) Close() error   { return nil }
func (s scripts) Addr() net.Addr { return &net.TCPAddr{} }

// serve sends the bytes to a server and returns the requests that its handler has seen, and the bytes that the caller has got. A
// nil limiter means a server without limits.
func serve(data []byte, part int, limiter *connlimit.Limiter, limits connlimit.Limits) (seen []string, received string) {
	server := &http.Server{MaxHeaderBytes: maxHead}
	ended := make(chan struct{})
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		seen = append(seen, fmt.Sprintf("%s %q %d lines, body %q, error %t", r.Method, r.RequestURI, len(r.Header), body, err != nil))
		_, _ = io.WriteString(w, "done")
	})
	server.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			close(ended)
		}
	}
	listener := scripts{conns: make(chan net.Conn, 1)}
	var socket net.Listener = listener
	if limiter != nil {
		connlimit.Install(server)
		socket = &connlimit.Listener{Listener: listener, Limiter: limiter, Limits: limits}
	}
	go func() { _ = server.Serve(socket) }()
	conn := newScript(data, part)
	listener.conns <- conn
	defer close(listener.conns)
	select {
	case <-ended:
	case <-time.After(hangTimeout):
		panic("the connection does not end")
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return seen, conn.received.String()
}

const (
	maxHead = 16 << 10
	// hangTimeout is far above the time that a connection takes whose caller has sent everything.
	hangTimeout = 10 * time.Second
)

// seeds are the kinds of callers of test/crowd, and what could be framed in two ways.
func seeds() []string {
	const get, post = "GET / HTTP/1.1\r\nHost: h\r\n", "POST /x HTTP/1.1\r\nHost: h\r\n"
	return []string{
		get + "\r\n", get + "\r\n" + get + "\r\n", "GET / HTTP/1.0\r\n\r\n", post + "Content-Length: 4\r\n\r\nbody" + get + "\r\n",
		post + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" + get + "\r\n",
		post + "Transfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nA: b\r\n\r\n" + get + "A: b\r\n\r\n",
		post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n" + get + "\r\n",
		post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc" + get + "\r\n", post + "Content-Length: +3\r\n\r\nabc" + get + "\r\n",
		post + "Content-Length : 3\r\n\r\nabc" + get + "\r\n", post + "Content-Length: 1_0\r\n\r\nabc", post + "Content-Length:\r\n\r\n" + get + "\r\n",
		post + "A: b\r\n Content-Length: 3\r\n\r\n" + get + "\r\n", post + "Content-Length:\r\n 3\r\n\r\nabc" + get + "\r\n",
		post + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody" + get + "\r\n", post + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n",
		"\r\n\r\n" + get + "\r\n", post + "Content-Length: 0\r\n\r\n\r\n" + get + "\r\n", post + "Content-Length: 0\r\n\r\n\r\n\r\n\r\n" + get + "\r\n",
		"GET / HTTP/1.1\nHost: h\n\n" + get + "\r\n", get + "A: b\r\r\n\r\n", get + " \r\n\r\n", "GET / HTTP/1.1\r\n Host: h\r\n\r\n",
		get + strings.Repeat("a:\r\n", 300) + "\r\n", get + strings.Repeat("Medium: b\r\n", 300) + "\r\n", get + strings.Repeat("a", 20<<10),
		strings.Repeat(get+"\r\n", 50), "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "\x16\x03\x01\x02\x00\x01", "HTTP/1.1\r\n\r\n", "\n", "\r", "",
		"GET / HTTP/1.1 \r\nHost: h\r\nContent-Length: 2\r\n\r\nab", "GET /  HTTP/1.1\r\nHost: h\r\n\r\n", get + "Connection: close\r\n\r\n" + get + "\r\n",
	}
}

// Guards against a request that the limits make net/http see in another way than without them, that is refused and served, or
// whose memory is not returned.
func FuzzConn(f *testing.F) {
	for _, seed := range seeds() {
		for _, part := range []uint16{1, 7, 4096} {
			f.Add([]byte(seed), part)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, part uint16) {
		size := max(int(part), 1)
		plain, received := serve(data, size, nil, connlimit.Limits{})
		unlimited := &connlimit.Limiter{}
		seen, answer := serve(data, size, unlimited, connlimit.Limits{})
		if fmt.Sprint(seen) != fmt.Sprint(plain) {
			t.Fatalf("seen without limits %q, with the package %q; responses %q and %q", plain, seen, received, answer)
		}
		limiter := &connlimit.Limiter{Memory: 1 << 20}
		refused := 0
		limiter.Count = func(string) { refused++ }
		seen, answer = serve(data, size, limiter, connlimit.Limits{Bytes: maxHead, Lines: 100})
		if len(seen) > len(plain) || fmt.Sprint(seen) != fmt.Sprint(plain[:len(seen)]) {
			t.Fatalf("seen without limits %q, with limits %q", plain, seen)
		}
		if refused == 0 && len(seen) != len(plain) {
			t.Fatalf("%d of %d requests seen, and none refused; responses %q", len(seen), len(plain), answer)
		}
		for _, l := range []*connlimit.Limiter{unlimited, limiter} {
			if l.Used() != 0 || l.Conns() != 0 {
				t.Fatalf("%d bytes of %d connections remain", l.Used(), l.Conns())
			}
		}
	})
}
