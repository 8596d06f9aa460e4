package daemon

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"radishhollow/io/connlimit"
)

const testRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func newTestListener(t *testing.T) *callerListener {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	l := newCallerListener("127.0.0.1:0", &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}, log)
	l.limiter = &connlimit.Limiter{Memory: 64 << 20}
	t.Cleanup(func() { _ = l.server.Close() })
	return l
}

func dialListener(t *testing.T, l *callerListener) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return conn, bufio.NewReader(conn)
}

func readDone(reader *bufio.Reader) error {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	return err
}

// onlyConn returns the connection of a listener that has one.
func onlyConn(t *testing.T, l *callerListener) *callerConn {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	require.Len(t, l.conns, 1)
	for c := range l.conns {
		return c
	}
	return nil
}

func (c *callerConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.idleSince.IsZero()
}

// Guards against an idle connection that is closed although a request on it has been received or read. The requests
// arrive just before, while or after the connection is closed.
func TestCloseIfIdleServesARequestThatWasRead(t *testing.T) {
	l := newTestListener(t)
	require.NoError(t, l.Start(t.Context()))
	answered, closed := 0, 0
	for i := range 400 {
		conn, reader := dialListener(t, l)
		_, err := io.WriteString(conn, testRequest)
		require.NoError(t, err)
		require.NoError(t, readDone(reader))
		c := onlyConn(t, l)
		require.Eventually(t, c.isIdle, 10*time.Second, time.Millisecond)
		first, last := i%4 == 0, i%4 == 1
		switch {
		case first:
			_, err = io.WriteString(conn, testRequest)
			require.NoError(t, err)
			c.closeIfIdle(0, 0)
		case last:
			c.closeIfIdle(0, 0)
			require.Eventually(t, func() bool { return l.closeIdle() == 0 }, 10*time.Second, time.Millisecond)
		default:
			go func() {
				time.Sleep(rand.N(50 * time.Microsecond))
				c.closeIfIdle(0, 0)
			}()
			time.Sleep(rand.N(50 * time.Microsecond))
			_, _ = io.WriteString(conn, testRequest)
		}
		if err := readDone(reader); err != nil {
			require.False(t, first, "the request was received before the connection was closed: %v", err)
			require.True(t, c.isIdle(), "a request was read and not answered: %v", err)
			closed++
		} else {
			answered++
		}
		_ = conn.Close()
		require.Eventually(t, func() bool { return l.closeIdle() == 0 }, 10*time.Second, time.Millisecond)
	}
	t.Logf("%d requests answered, %d connections closed before the request", answered, closed)
	require.Positive(t, closed)
}

// Guards against a received request, or an established connection, that is missed before an idle connection or a socket is
// closed, because a deadline expires before the last read begins, as on a busy machine.
func TestWhatWasReceivedIsSeenAfterTheDeadline(t *testing.T) {
	opened, err := listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	listener := opened.(*net.TCPListener)
	defer func() { _ = listener.Close() }()
	expired := time.Unix(1, 0)
	require.NoError(t, listener.SetDeadline(expired))
	require.False(t, isReadable(listener))
	caller, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	require.Eventually(t, func() bool { return isReadable(listener) }, 10*time.Second, time.Millisecond)
	require.NoError(t, listener.SetDeadline(time.Time{}))
	conn, err := listener.AcceptTCP()
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()

	require.NoError(t, conn.SetReadDeadline(expired))
	require.False(t, isReadable(conn))
	_, err = io.WriteString(caller, testRequest)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return isReadable(conn) }, 10*time.Second, time.Millisecond)
	c := &callerConn{TCPConn: conn}
	c.setIdle(true)
	c.closeIfIdle(0, 0)
	// The goroutine is not scheduled for a while after the deadline was extended.
	_, ok := c.extendDeadline()
	require.True(t, ok)
	time.Sleep(20 * time.Millisecond)
	received := make([]byte, len(testRequest))
	n, err := c.TCPConn.Read(received)
	require.NoError(t, err)
	require.Equal(t, testRequest, string(received[:n]))
}

// Guards against a planned stop that resets the connections in the kernel's accept queue, whose callers have sent a
// request.
func TestStopAcceptingServesEstablishedConnections(t *testing.T) {
	l := newTestListener(t)
	socket, err := listen(t.Context(), l.address)
	require.NoError(t, err)
	l.socket = socket.(*net.TCPListener)
	var readers []*bufio.Reader
	for range 8 {
		conn, reader := dialListener(t, l)
		_, err = io.WriteString(conn, testRequest)
		require.NoError(t, err)
		readers = append(readers, reader)
	}
	l.stopAccepting()
	go l.run()
	for _, reader := range readers {
		require.NoError(t, readDone(reader))
	}
	<-l.ended
}

// Guards against a planned stop that waits for connections on which no request comes, whether they were used before or
// not.
func TestDrainClosesIdleConnections(t *testing.T) {
	l := newTestListener(t)
	require.NoError(t, l.Start(t.Context()))
	_, unused := dialListener(t, l)
	conn, used := dialListener(t, l)
	_, err := io.WriteString(conn, testRequest)
	require.NoError(t, err)
	require.NoError(t, readDone(used))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, l.drain(ctx))
	for _, reader := range []*bufio.Reader{unused, used} {
		_, err = reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	}
}

// Guards against an idle connection that is closed earlier than the configuration allows, after the configuration has
// raised the limit while the connection was idle.
func TestIdleConnectionOutlivesTheServersTimeout(t *testing.T) {
	l := newTestListener(t)
	var limit atomic.Int64
	l.server.IdleTimeout = 200 * time.Millisecond
	l.idleTimeout = func() time.Duration { return time.Duration(limit.Load()) }
	require.NoError(t, l.Start(t.Context()))
	conn, reader := dialListener(t, l)
	for range 2 {
		_, err := io.WriteString(conn, testRequest)
		require.NoError(t, err)
		require.NoError(t, readDone(reader))
		limit.Store(int64(time.Minute))
		time.Sleep(500 * time.Millisecond)
	}
	limit.Store(0)
	_, err := io.WriteString(conn, testRequest)
	require.NoError(t, err)
	require.NoError(t, readDone(reader))
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a new connection whose extended idle time replaces the time limit of its first header: a partial header
// would hold the connection for as long as it may be idle, and one that comes late would be cut within its time.
func TestFirstHeaderKeepsItsTimeout(t *testing.T) {
	l := newTestListener(t)
	l.server.ReadHeaderTimeout, l.server.IdleTimeout = 300*time.Millisecond, time.Minute
	var limit atomic.Int64
	limit.Store(int64(800 * time.Millisecond))
	l.idleTimeout = func() time.Duration { return time.Duration(limit.Load()) }
	require.NoError(t, l.Start(t.Context()))

	late, reader := dialListener(t, l)
	time.Sleep(700 * time.Millisecond)
	_, err := io.WriteString(late, testRequest[:10])
	require.NoError(t, err)
	time.Sleep(200 * time.Millisecond)
	_, err = io.WriteString(late, testRequest[10:])
	require.NoError(t, err)
	require.NoError(t, readDone(reader), "the header came within its time")

	limit.Store(int64(time.Minute))
	partial, reader := dialListener(t, l)
	time.Sleep(500 * time.Millisecond)
	_, err = io.WriteString(partial, testRequest[:10])
	require.NoError(t, err)
	require.NoError(t, partial.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = io.ReadAll(reader)
	require.NoError(t, err, "a partial header holds the connection for the idle time")
}

// Guards against a stopping daemon that goes on to accept new connections after it has accepted one that was already
// established.
func TestStopAcceptingLeavesLaterConnections(t *testing.T) {
	l := newCallerListener("127.0.0.1:0", &http.Server{ReadHeaderTimeout: time.Second}, nil)
	socket, err := listen(t.Context(), l.address)
	require.NoError(t, err)
	l.socket = socket.(*net.TCPListener)
	defer func() { _ = l.Close() }()
	dial := func() {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", socket.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
	}
	dial()
	l.stopAccepting()
	_, err = l.Accept()
	require.NoError(t, err, "the connection was established before")
	accepted := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		accepted <- err
	}()
	time.Sleep(2 * acceptQueueTimeout)
	dial()
	require.ErrorIs(t, <-accepted, net.ErrClosed)
}
