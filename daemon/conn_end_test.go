package daemon

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stoppingListener returns a listener in a planned stop, whose handler names each request and waits for release where the path is
// /held. Its log and the classes of its closed connections are complete once it has no connection.
func stoppingListener(t *testing.T, release <-chan struct{}) (l *callerListener, log *bytes.Buffer, closed chan string) {
	t.Helper()
	l, log, closed = newTestListener(t), &bytes.Buffer{}, make(chan string, 10)
	l.log.SetOutput(log)
	l.draining = func() bool { return true }
	l.countClosed = func(class string) { closed <- class }
	l.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		onlyConn(t, l).SetRequestID("request-1")
		if r.URL.Path == "/held" {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
		_, _ = io.WriteString(w, "done")
	})
	require.NoError(t, l.Start(t.Context()))
	return l, log, closed
}

func (c *callerConn) hasServed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests > 0
}

// Guards against a log that does not tell who has ended the connection of a request in a planned stop, nor whether its caller
// has everything: a request that was complete for the daemon and lost on its way then has no line at all.
func TestPlannedStopLogsWhoEndsAConnection(t *testing.T) {
	for by, test := range map[connCloser]struct {
		path string
		end  func(t *testing.T, l *callerListener, conn net.Conn)
	}{
		closedByDaemon: {path: "/", end: func(t *testing.T, l *callerListener, _ net.Conn) { require.NoError(t, l.drain(t.Context())) }},
		closedByCaller: {path: "/held", end: func(t *testing.T, _ *callerListener, conn net.Conn) { require.NoError(t, conn.Close()) }},
		closedByReset: {path: "/held", end: func(t *testing.T, _ *callerListener, conn net.Conn) {
			require.NoError(t, conn.(*net.TCPConn).SetLinger(0))
			require.NoError(t, conn.Close())
		}},
		closedByLimits: {path: "/held", end: func(t *testing.T, l *callerListener, _ net.Conn) { onlyConn(t, l).abort() }},
		closedByStop:   {path: "/held", end: func(t *testing.T, l *callerListener, _ net.Conn) { require.NoError(t, l.closeConns()) }},
	} {
		t.Run(string(by), func(t *testing.T) {
			l, log, closed := stoppingListener(t, nil)
			conn, reader := dialListener(t, l)
			_, err := io.WriteString(conn, "GET "+test.path+" HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			if test.path == "/" {
				require.NoError(t, readDone(reader))
			}
			require.Eventually(t, func() bool { return l.count((*callerConn).hasServed) == 1 }, 10*time.Second, time.Millisecond)
			test.end(t, l, conn)
			require.Equal(t, string(by), <-closed)
			require.Eventually(t, func() bool { return l.openCount() == 0 }, 10*time.Second, time.Millisecond)
			require.Empty(t, closed, "the connection has one end")
			require.Regexp(t, `level=warning msg="connection closed( with undelivered bytes)?" by=`+string(by)+` bytes=\d+ caller="[\d.:]+" request=request-1 requests=1 unread=0`, log.String())
		})
	}
}

// Guards against a stop whose log is full of connections on which nothing has happened.
func TestPlannedStopDoesNotLogIdleConnections(t *testing.T) {
	l, log, closed := stoppingListener(t, nil)
	l.draining = func() bool { return false }
	conn, reader := dialListener(t, l)
	_, err := io.WriteString(conn, testRequest)
	require.NoError(t, err)
	require.NoError(t, readDone(reader))
	require.Eventually(t, func() bool { return l.count((*callerConn).isIdle) == 1 }, 10*time.Second, time.Millisecond)
	l.draining = func() bool { return true }
	require.NoError(t, l.drain(t.Context()))
	require.Equal(t, string(closedByDaemon), <-closed)
	require.Empty(t, log.String())
}
