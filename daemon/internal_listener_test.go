package daemon

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// slowWrites delays the writes of the connections that a listener accepts.
type slowWrites struct{ net.Listener }

func (s slowWrites) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	return slowConn{conn}, err
}

type slowConn struct{ net.Conn }

func (c slowConn) Write(p []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	return c.Conn.Write(p)
}

// Guards against a request of a peer's caller whose response loses its end in a planned stop: its handler has returned, and the
// listener closes before net/http has written the end.
func TestStopCompletesTheResponsesOfInternalListeners(t *testing.T) {
	returned := make(chan struct{})
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := newInternalServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "event")
		_ = http.NewResponseController(w).Flush()
		close(returned)
	}))
	var address string
	l := &listener{address: "127.0.0.1:0", log: log, server: server, wrapSocket: func(socket net.Listener) net.Listener {
		address = socket.Addr().String()
		return slowWrites{socket}
	}}
	require.NoError(t, l.Start(t.Context()))
	response, err := http.Get("http://" + address)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	<-returned
	require.NoError(t, l.stop(t.Context(), &Drain{}))
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "event", string(body))
}
