package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/platform/platformtest"
)

// relayHold is the time for which the relay of a test holds what it has acknowledged.
const relayHold = 300 * time.Millisecond

// dialRelay opens a connection to a listener through a relay.
func dialRelay(t *testing.T, l *callerListener) (net.Conn, *bufio.Reader) {
	t.Helper()
	relay := &platformtest.Relay{Target: l.Addr().String(), Hold: relayHold}
	require.NoError(t, relay.Start())
	t.Cleanup(relay.Close)
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", relay.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return conn, bufio.NewReader(conn)
}

// Guards against a complete answer that is lost in a relay: it has acknowledged everything, and drops what it holds when the
// caller's next bytes meet a connection that is closed, which resets it.
func TestLastAnswerPassesARelayBeforeTheConnectionIsReset(t *testing.T) {
	for name, more := range map[string]string{
		"nothing more": "", "line end": "\r\n", "next request": testRequest,
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestListener(t)
			l.draining = func() bool { return true }
			written := make(chan struct{})
			l.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Connection", "close")
				_, _ = w.Write(largeAnswer)
				close(written)
			})
			require.NoError(t, l.Start(t.Context()))
			conn, reader := dialRelay(t, l)
			_, err := io.WriteString(conn, testRequest)
			require.NoError(t, err)
			<-written
			time.Sleep(relayHold / 3)
			_, err = io.WriteString(conn, more)
			require.NoError(t, err)
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err, "%d of %d bytes arrived", len(body), len(largeAnswer))
			require.Equal(t, largeAnswer, body)
		})
	}
}

// Guards against an idle connection that waits for its caller's end, and reads a request that crosses its own: the caller can't
// know that it has not run.
func TestIdleConnectionIsClosedWithoutAWait(t *testing.T) {
	l := newTestListener(t)
	require.NoError(t, l.Start(t.Context()))
	conn, reader := dialListener(t, l)
	_, err := io.WriteString(conn, testRequest)
	require.NoError(t, err)
	require.NoError(t, readDone(reader))
	require.Eventually(t, func() bool { return l.count((*callerConn).isIdle) == 1 }, 10*time.Second, time.Millisecond)
	onlyConn(t, l).closeIfIdle(0, 0)
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	ended := func() bool {
		_, err := io.WriteString(conn, testRequest)
		return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
	}
	require.Eventually(t, ended, relayTimeout/2, time.Millisecond, "the request must not be read")
}

// Guards against a complete answer that is lost in a relay at the end of a planned stop: the forced close of all connections ends also
// those that only await their callers' end, and the machine of the daemon may go away with its process, and the relay with it.
func TestForcedCloseLeavesConnectionsThatAwaitTheirCallersEnd(t *testing.T) {
	l := newTestListener(t)
	l.draining = func() bool { return true }
	l.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "done")
	})
	require.NoError(t, l.Start(t.Context()))
	conn, reader := dialListener(t, l)
	_, err := io.WriteString(conn, testRequest)
	require.NoError(t, err)
	require.NoError(t, readDone(reader))
	require.Eventually(t, func() bool { return l.count((*callerConn).isClosing) == 1 }, 10*time.Second, time.Millisecond)
	began := time.Now()
	require.NoError(t, l.closeConns())
	l.waitClosed(10 * time.Second)
	require.Zero(t, l.openCount())
	require.GreaterOrEqual(t, time.Since(began), finalDeliveryTimeout, "the caller has not ended its side")
	require.Less(t, time.Since(began), relayTimeout, "the wait is bounded")
}

// Guards against connections that only await their callers' ends in a planned stop, and leave no memory for requests that still come.
func TestRequestsInAStopFindTheMemoryOfConnectionsThatAwaitTheirCallersEnd(t *testing.T) {
	l := newTestListener(t)
	l.limiter.Memory = 1 << 20
	l.draining = func() bool { return true }
	l.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "done")
	})
	require.NoError(t, l.Start(t.Context()))
	began := time.Now()
	const requests = 400
	for range requests {
		conn, reader := dialListener(t, l)
		_, err := io.WriteString(conn, testRequest)
		require.NoError(t, err)
		require.NoError(t, readDone(reader))
	}
	require.Less(t, time.Since(began), 8*relayTimeout, "the memory is that of about 30 requests, so 400 would wait 12 times")
}
