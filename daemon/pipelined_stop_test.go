package daemon

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/io/connlimit"
)

// Guards against a request that was read in a planned stop and gets no answer, because the response before it, which was not
// complete when it came, ends the connection.
func TestPlannedStopAnswersARequestThatCameEarly(t *testing.T) {
	for name, test := range map[string]struct {
		graceLeft time.Duration
		closes    bool
	}{
		"time left": {graceLeft: 5 * time.Second},
		"no time":   {graceLeft: killMargin + statusMargin + minAcceptTime/2, closes: true},
		"no limit":  {closes: true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestListener(t)
			d := &Drain{stopGrace: test.graceLeft, end: func() {}}
			begun, release := make(chan context.Context, 2), make(chan struct{})
			l.server.Handler = d.closeWhenDraining(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				begun <- r.Context()
				<-release
				_, _ = io.WriteString(w, "done")
			}))
			require.NoError(t, l.Start(t.Context()))
			conn, reader := dialListener(t, l)
			_, err := io.WriteString(conn, testRequest)
			require.NoError(t, err)
			first := <-begun
			_, err = io.WriteString(conn, testRequest)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return connlimit.IsFollowed(first) }, 10*time.Second, time.Millisecond)
			d.begin()
			close(release)
			require.Equal(t, test.closes, asksToClose(t, reader))
			if !test.closes {
				require.True(t, asksToClose(t, reader), "nothing follows the second request")
			}
		})
	}
}

// asksToClose reads a response and reports whether it ends its connection.
func asksToClose(t *testing.T, reader *bufio.Reader) bool {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	return response.Close
}
