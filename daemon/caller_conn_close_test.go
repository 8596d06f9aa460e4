package daemon

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// largeAnswer does not fit into the buffers of a connection whose caller reads slowly.
var largeAnswer = bytes.Repeat([]byte("0123456789abcdef"), 32<<10)

// dialSlowly opens a connection whose caller has received little before it reads.
func dialSlowly(t *testing.T, l *callerListener) net.Conn {
	t.Helper()
	dialer := &net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10)
		})
	}}
	conn, err := dialer.DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return conn
}

// readSlowly reads a response with pauses and returns its body.
func readSlowly(conn net.Conn) ([]byte, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var body bytes.Buffer
	for part := int64(32 << 10); ; {
		if _, err := io.CopyN(&body, response.Body, part); errors.Is(err, io.EOF) {
			return body.Bytes(), nil
		} else if err != nil {
			return body.Bytes(), err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a complete answer that its caller does not get, because the connection is closed with unread bytes or
// gets some afterwards: the kernel then resets it and drops what it has not delivered.
func TestLastAnswerArrivesBeforeTheConnectionIsReset(t *testing.T) {
	for name, test := range map[string]struct {
		// during is sent while the request is served, and after once its answer is written.
		during, after string
	}{
		"nothing more":                {},
		"line end after the request":  {during: "\r\n"},
		"next request during":         {during: testRequest},
		"next request after":          {after: testRequest},
		"next requests all the while": {during: testRequest, after: testRequest},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestListener(t)
			begun, release := make(chan struct{}), make(chan struct{})
			l.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				close(begun)
				<-release
				w.Header().Set("Connection", "close")
				_, _ = w.Write(largeAnswer)
			})
			require.NoError(t, l.Start(t.Context()))
			conn := dialSlowly(t, l)
			_, err := io.WriteString(conn, testRequest)
			require.NoError(t, err)
			<-begun
			c := onlyConn(t, l)
			require.NoError(t, c.SetWriteBuffer(2*len(largeAnswer)))
			_, err = io.WriteString(conn, test.during)
			require.NoError(t, err)
			if test.during != "" {
				// One byte is read by net/http.
				require.Eventually(t, func() bool { return isReadable(c) }, 10*time.Second, time.Millisecond)
			}
			close(release)
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(conn, test.after)
			body, err := readSlowly(conn)
			require.NoError(t, err, "%d of %d bytes arrived", len(body), len(largeAnswer))
			require.Equal(t, largeAnswer, body)
		})
	}
}

// closingConns opens connections whose answers their callers don't read and which have unread bytes.
func closingConns(t *testing.T, l *callerListener, count int) []net.Conn {
	t.Helper()
	l.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/keep" {
			w.Header().Set("Connection", "close")
		}
		_, _ = w.Write(largeAnswer)
	})
	l.server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		_ = conn.(*callerConn).SetWriteBuffer(2 * len(largeAnswer))
		return ctx
	}
	require.NoError(t, l.Start(t.Context()))
	var conns []net.Conn
	for range count {
		conn := dialSlowly(t, l)
		_, err := io.WriteString(conn, testRequest+testRequest)
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	return conns
}

// Guards against a forced stop that waits for each of the callers that don't read, one after the other.
func TestForcedCloseDoesNotWaitForCallers(t *testing.T) {
	l := newTestListener(t)
	l.idleTimeout = func() time.Duration { return time.Minute }
	closingConns(t, l, 8)
	require.Eventually(t, func() bool { return l.count((*callerConn).isClosing) == 8 }, 10*time.Second, time.Millisecond)
	for range 4 {
		_, err := io.WriteString(dialSlowly(t, l), "GET /keep HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return l.count((*callerConn).isIdle) == 4 }, 10*time.Second, time.Millisecond)
	began := time.Now()
	require.NoError(t, l.closeConns())
	l.waitClosed(deliveryTimeout)
	require.Zero(t, l.openCount())
	require.Less(t, time.Since(began), deliveryTimeout)
}

// Guards against a planned stop that loses the end of a complete response without a line in the log, so that the record of a lost
// request does not tell it from one that an endpoint did not complete.
func TestPlannedStopLogsUndeliveredBytes(t *testing.T) {
	for _, draining := range []bool{true, false} {
		l := newTestListener(t)
		var output bytes.Buffer
		l.log.SetOutput(&output)
		l.draining = func() bool { return draining }
		closingConns(t, l, 3)
		require.Eventually(t, func() bool { return l.count((*callerConn).isClosing) == 3 }, 10*time.Second, time.Millisecond)
		require.NoError(t, l.closeConns())
		l.waitClosed(deliveryTimeout)
		want := 0
		if draining {
			want = 3
		}
		require.Equal(t, want, strings.Count(output.String(), "connection closed with undelivered bytes"))
	}
}

func (l *callerListener) count(matches func(c *callerConn) bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for c := range l.conns {
		if matches(c) {
			count++
		}
	}
	return count
}

func (c *callerConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Guards against a planned stop that ends while the kernel still holds a part of an answer: nothing delivers it if the
// machine goes away with the process.
func TestDrainWaitsForTheDeliveryOfTheLastAnswer(t *testing.T) {
	l := newTestListener(t)
	conn := closingConns(t, l, 1)[0]
	require.Eventually(t, func() bool { return l.count((*callerConn).isClosing) == 1 }, 10*time.Second, time.Millisecond)
	c := onlyConn(t, l)
	drained := make(chan error, 1)
	go func() { drained <- l.drain(t.Context()) }()
	require.Positive(t, unacknowledged(c.TCPConn))
	require.Empty(t, drained)
	body, err := readSlowly(conn)
	require.NoError(t, err)
	require.Equal(t, largeAnswer, body)
	require.NoError(t, <-drained)
}

// Guards against a partial HTTP/1.0 answer that ends like a complete one, because its connection gets an orderly end.
func TestCloseResetsAConnectionThatIsToBeReset(t *testing.T) {
	l := newTestListener(t)
	l.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		_ = onlyConn(t, l).SetLinger(0)
		panic(http.ErrAbortHandler)
	})
	require.NoError(t, l.Start(t.Context()))
	conn, reader := dialListener(t, l)
	_, err := io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n"+testRequest)
	require.NoError(t, err)
	require.ErrorIs(t, readDone(reader), syscall.ECONNRESET)
}

// Guards against a planned stop that waits for a connection on which every byte of the answer, and its end, has been
// acknowledged, because its caller goes on to send.
func TestCloseEndsOnceAllIsAcknowledgedAlthoughTheCallerSends(t *testing.T) {
	for name, size := range map[string]int{"a byte now and then": 1, "more than is discarded": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			l := newTestListener(t)
			conn := closingConns(t, l, 1)[0]
			require.Eventually(t, func() bool { return l.count((*callerConn).isClosing) == 1 }, 10*time.Second, time.Millisecond)
			c := onlyConn(t, l)
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				for range 5000 {
					if _, err := conn.Write(make([]byte, size)); err != nil {
						return
					}
					time.Sleep(2 * time.Millisecond)
				}
			}()
			body, err := readSlowly(conn)
			require.NoError(t, err)
			require.Equal(t, largeAnswer, body)
			require.Eventually(t, func() bool { return unacknowledged(c.TCPConn) == 0 }, 5*time.Second, time.Millisecond)
			began := time.Now()
			require.NoError(t, l.drain(t.Context()))
			require.Less(t, time.Since(began), deliveryTimeout/4, "the drain waits for a connection that nobody serves")
			_ = conn.Close()
			<-sent
		})
	}
}

// Guards against a caller that keeps the daemon busy with bytes that nobody serves, for as long as it doesn't read its
// answer.
func TestCloseBoundsWhatItDiscards(t *testing.T) {
	const buffers, sent = 1 << 20, 16 << 20
	l := newTestListener(t)
	conn := closingConns(t, l, 1)[0]
	require.Eventually(t, func() bool { return l.count((*callerConn).isClosing) == 1 }, 10*time.Second, time.Millisecond)
	require.NoError(t, onlyConn(t, l).SetReadBuffer(buffers/8))
	require.NoError(t, conn.(*net.TCPConn).SetWriteBuffer(buffers/8))
	require.NoError(t, conn.SetWriteDeadline(time.Now().Add(deliveryTimeout/2)))
	n, err := conn.Write(make([]byte, sent))
	require.Error(t, err)
	require.Less(t, n, maxDiscardedBytes+buffers)
	body, err := readSlowly(conn)
	require.NoError(t, err, "%d of %d bytes arrived", len(body), len(largeAnswer))
	require.Equal(t, largeAnswer, body)
}

// Guards against a stopping daemon that accepts new connections because of one whose request has been answered, and
// whose caller has vanished or reads slowly.
func TestConnectionThatAwaitsDeliveryIsNotBusy(t *testing.T) {
	l := newTestListener(t)
	closingConns(t, l, 1)
	require.Eventually(t, func() bool { return l.count((*callerConn).isClosing) == 1 }, 10*time.Second, time.Millisecond)
	require.False(t, l.busy(), "no request is in flight")
	require.Equal(t, 1, l.openCount(), "the stop waits for the delivery")
}

// Guards against a handler that outlives the forced close of its connection because the caller has sent its next request:
// net/http then does not cancel the context of the request that is served, and the daemon waits for it up to the kill.
func TestForcedCloseEndsPipelinedRequests(t *testing.T) {
	l := newTestListener(t)
	begun, ended := make(chan struct{}), make(chan struct{})
	l.server.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		close(ended)
	})
	require.NoError(t, l.Start(t.Context()))
	conn, _ := dialListener(t, l)
	_, err := io.WriteString(conn, testRequest+testRequest)
	require.NoError(t, err)
	<-begun
	require.NoError(t, l.closeConns())
	l.waitClosed(10 * time.Second)
	require.Zero(t, l.openCount())
	<-ended
}

// Guards against events that were passed on and that the forced close of a connection takes back: with unread bytes of a next
// request, the kernel resets the connection and drops what it has not delivered.
func TestForcedCloseDeliversWhatWasWritten(t *testing.T) {
	l := newTestListener(t)
	l.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(largeAnswer)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	l.server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		_ = conn.(*callerConn).SetWriteBuffer(2 * len(largeAnswer))
		return ctx
	}
	require.NoError(t, l.Start(t.Context()))
	conn := dialSlowly(t, l)
	_, err := io.WriteString(conn, testRequest+testRequest)
	require.NoError(t, err)
	c := onlyConnSoon(t, l)
	require.Eventually(t, func() bool { return unacknowledged(c) > len(largeAnswer)/2 }, 10*time.Second, time.Millisecond)
	// More than net/http has read.
	_, err = io.WriteString(conn, testRequest)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return unread(c) > 0 }, 10*time.Second, time.Millisecond)
	require.NoError(t, l.closeConns())
	l.waitClosed(10 * time.Second)
	body, err := readSlowly(conn)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF, "the response must not look complete")
	require.Equal(t, largeAnswer, body, "%d of %d bytes arrived", len(body), len(largeAnswer))
}

func onlyConnSoon(t *testing.T, l *callerListener) *callerConn {
	t.Helper()
	require.Eventually(t, func() bool { return l.openCount() == 1 }, 10*time.Second, time.Millisecond)
	return onlyConn(t, l)
}

// Guards against connections that hold memory after their last response: a refused request's connection counts until it is closed,
// and in an overload those that wait for their callers leave none for peers and readiness checks.
func TestCloseDoesNotWaitForAnAcknowledgedResponse(t *testing.T) {
	l := newTestListener(t)
	l.draining = func() bool { return false }
	socket, err := listen(t.Context(), l.address)
	require.NoError(t, err)
	l.socket = socket.(*net.TCPListener)
	t.Cleanup(func() { _ = l.socket.Close() })
	shortest := deliveryTimeout
	for range 20 {
		_, _ = dialListener(t, l)
		conn, err := l.Accept()
		require.NoError(t, err)
		_, err = io.WriteString(conn, "done")
		require.NoError(t, err)
		require.Eventually(t, func() bool { return unacknowledged(conn.(*callerConn).TCPConn) == 0 }, 10*time.Second, time.Millisecond)
		began := time.Now()
		require.NoError(t, conn.Close())
		shortest = min(shortest, time.Since(began))
	}
	require.Less(t, shortest, deliveryPollInterval/2)
}
