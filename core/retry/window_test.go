package retry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/retry"
)

// Guards against a storm of retries: in no span may retries exceed the ratio of the requests and the daemon's part of
// the slack.
func TestWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &retry.Window{Span: 10 * time.Second, Ratio: 0.5, Slack: 20, Daemons: func() int { return 5 }}
		take := func() (n int) {
			for w.TakeRetry("service") {
				n++
			}
			return n
		}
		require.Equal(t, 4, take(), "a fifth of the slack")
		for range 10 {
			w.RecordRequest("service")
		}
		require.Equal(t, 5, take())
		time.Sleep(9 * time.Second)
		require.Zero(t, take(), "the retries are still in the window")
		time.Sleep(2 * time.Second)
		require.Equal(t, 4, take())
	})
}

// Guards against retries of one service using up the budget of another.
func TestWindowKeys(t *testing.T) {
	w := &retry.Window{Span: 10 * time.Second, Slack: 1, Daemons: func() int { return 1 }}
	require.True(t, w.TakeRetry("a"))
	require.False(t, w.TakeRetry("a"))
	require.True(t, w.TakeRetry("b"))
}
