package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/booking"
	"radishhollow/core/failure"
)

// wholeAnswers are answers whose body is "hello", with each way to state where the body ends.
var wholeAnswers = map[string]string{
	"length":   "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 5\r\nC: d\r\n\r\nhello",
	"chunks":   "HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nT: v\r\n\r\n",
	"neither":  "HTTP/1.1 200 OK\r\nA: b\r\nC: d\r\n\r\nhello",
	"HTTP/1.0": "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nhello",
	"folded":   "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\td\r\nContent-Length:\r\n 5\r\n\r\nhello",
	"interim":  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
}

// breakingServer answers the path "/whole" with a whole answer, and the path "/K" with the first K bytes of answer, after
// which it closes or resets the connection. It never resets one that has carried all of answer.
type breakingServer struct {
	answer string
	reset  bool
	// broken counts the requests answered with a part of answer, and kept those of them that were not the first on their connection.
	broken, kept atomic.Int32
	connections  sync.WaitGroup
}

func (s *breakingServer) start(t *testing.T) (address string) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.connections.Go(func() { s.runAccept(listener) })
	t.Cleanup(func() {
		_ = listener.Close()
		s.connections.Wait()
	})
	return listener.Addr().String()
}

func (s *breakingServer) runAccept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.connections.Go(func() { s.runConnection(conn.(*net.TCPConn)) })
	}
}

func (s *breakingServer) runConnection(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		// Unread bytes would reset the connection.
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/whole" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
			continue
		}
		if s.broken.Add(1); n > 1 {
			s.kept.Add(1)
		}
		length, _ := strconv.Atoi(r.URL.Path[1:])
		_, _ = io.WriteString(conn, s.answer[:length])
		if s.reset && length < len(s.answer) {
			// The reset discards what the client has not read yet.
			time.Sleep(200 * time.Microsecond)
			_ = conn.SetLinger(0)
		}
		return
	}
}

// brokenAnswer describes the answers that are broken off: the whole answer, and how it ends.
type brokenAnswer struct {
	whole, blankLine string
	// untilClosed is set if the answer's body ends with its connection.
	untilClosed bool
	// reset is set if the connection is reset instead of closed, and kept if it has carried a whole answer before.
	reset, kept bool
}

// test breaks the answer off after each of its bytes.
func (b brokenAnswer) test(t *testing.T) {
	t.Helper()
	server := &breakingServer{answer: b.whole, reset: b.reset}
	address, client := server.start(t), newClient(t)
	body := strings.Index(b.whole, b.blankLine) + len(b.blankLine)
	for k := range len(b.whole) {
		server.broken.Store(0)
		server.kept.Store(0)
		if b.kept {
			response, err := client.Send(t.Context(), address, booking.Request{Method: http.MethodPost, Path: "/whole", ReuseConnection: true})
			require.NoError(t, err)
			require.Equal(t, "whole", string(response.Body))
		}
		response, err := client.Send(t.Context(), address, booking.Request{
			Method: http.MethodGet, Path: "/" + strconv.Itoa(k), ReuseConnection: b.kept,
		})
		require.EqualValues(t, 1, server.broken.Load(), "%q: the request must be sent once", b.whole[:k])
		require.Equal(t, b.kept, server.kept.Load() == 1)
		if b.untilClosed && !b.reset && k >= body {
			// The end of the connection is all that ends this body.
			require.NoError(t, err)
			require.Equal(t, b.whole[body:k], string(response.Body))
			continue
		}
		require.Error(t, err, "%q passes for a whole response", b.whole[:k])
		require.Equal(t, failure.Unknown, failure.Of(err).Outcome(), "%q", b.whole[:k])
		require.Zero(t, response.Status)
	}
	response, err := client.Send(t.Context(), address, booking.Request{Method: http.MethodGet, Path: "/" + strconv.Itoa(len(b.whole))})
	if strings.Contains(b.whole, "Transfer-Encoding") && b.blankLine == "\n\n" {
		require.Error(t, err, "net/http accepts no chunk lines without a carriage return")
		return
	}
	require.NoError(t, err)
	require.Equal(t, "hello", string(response.Body))
}

// Guards against an answer that broke off within its head or body and passes for a whole one with an empty or short body,
// for one of a request that did not run, or makes net/http send the request once more.
func TestBrokenAnswersAreNotWhole(t *testing.T) {
	for framing, whole := range wholeAnswers {
		for _, reset := range []bool{false, true} {
			for _, kept := range []bool{false, true} {
				b := brokenAnswer{whole: whole, blankLine: "\r\n\r\n", untilClosed: framing == "neither", reset: reset, kept: kept}
				t.Run(fmt.Sprintf("%s, reset %t, kept %t", framing, reset, kept), func(t *testing.T) {
					t.Parallel()
					b.test(t)
				})
				if kept {
					continue
				}
				b.whole, b.blankLine = strings.ReplaceAll(whole, "\r\n", "\n"), "\n\n"
				t.Run(fmt.Sprintf("%s, reset %t, LF only", framing, reset), func(t *testing.T) {
					t.Parallel()
					b.test(t)
				})
			}
		}
	}
}
