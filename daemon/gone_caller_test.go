package daemon

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a handler that goes on for seconds, with all that it holds, after its caller has left: the close that follows a
// failed write waited for acknowledgements that can't come any more.
func TestHandlerEndsSoonAfterItsCallerHasLeft(t *testing.T) {
	for name, endsFirst := range map[string]bool{"reset": false, "end and then reset": true} {
		t.Run(name, func(t *testing.T) {
			l := newTestListener(t)
			ended := make(chan error, 1)
			l.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for {
					if _, err := w.Write(largeAnswer); err != nil {
						ended <- err
						return
					}
				}
			})
			require.NoError(t, l.Start(t.Context()))
			conn := dialSlowly(t, l)
			_, err := io.WriteString(conn, testRequest)
			require.NoError(t, err)
			c := onlyConnSoon(t, l)
			require.Eventually(t, func() bool { return unacknowledged(c.TCPConn) > len(largeAnswer) }, 5*time.Second, time.Millisecond)
			tcp := conn.(*net.TCPConn)
			if endsFirst {
				require.NoError(t, tcp.CloseWrite())
				time.Sleep(50 * time.Millisecond)
			}
			require.NoError(t, tcp.SetLinger(0))
			require.NoError(t, tcp.Close())
			select {
			case err := <-ended:
				require.Error(t, err)
			case <-time.After(time.Second):
				require.Fail(t, "the handler has not ended")
			}
		})
	}
}
