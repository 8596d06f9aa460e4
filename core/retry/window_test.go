package retry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/retry"
)

func takeAll(w *retry.Window, key string) (n int) {
	for w.TakeRetry(key) {
		n++
	}
	return n
}

// Guards against a retry storm: within a window, the retries of a daemon must not exceed Ratio times its requests plus its
// part of Slack, whether they were saved or not.
func TestWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &retry.Window{Started: time.Now(), Span: 10 * time.Second, Ratio: 0.5, Slack: 40, Daemons: func() int { return 5 }}
		require.Zero(t, takeAll(w, "service"), "a new process does not know what the one before it has spent")
		time.Sleep(time.Minute)
		require.Equal(t, 4, takeAll(w, "service"), "half of a fifth of the slack is saved")
		time.Sleep(10 * time.Second)
		require.Equal(t, 4, takeAll(w, "service"), "the other half is earned within a window")
		for range 40 {
			w.RecordRequest("service")
		}
		require.Equal(t, 10, takeAll(w, "service"), "a request earns half of the ratio")
		for range 4 {
			time.Sleep(250 * time.Millisecond)
			w.RecordRequest("service")
		}
		require.Equal(t, 1, takeAll(w, "service"))
	})
}

// Guards against retries that are saved without bound in a quiet time.
func TestWindowBoundsWhatIsSaved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &retry.Window{Started: time.Now(), Span: 10 * time.Second, Ratio: 0.5, Slack: 40, Daemons: func() int { return 5 }}
		for range 600 {
			w.RecordRequest("service")
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, 26, takeAll(w, "service"), "half of the ratio of 90 requests, and of the part of the slack")
		time.Sleep(time.Hour)
		require.Equal(t, 4, takeAll(w, "service"), "the requests have left the window")
	})
}

// Guards against retries of one service that use the budget of another.
func TestWindowKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &retry.Window{Started: time.Now(), Span: 10 * time.Second, Slack: 2, Daemons: func() int { return 1 }}
		for _, key := range []string{"a", "b"} {
			w.RecordRequest(key)
		}
		time.Sleep(time.Minute)
		require.True(t, w.TakeRetry("a"))
		require.False(t, w.TakeRetry("a"))
		require.True(t, w.TakeRetry("b"))
	})
}

// Guards against a daemon that has run for a while and can't retry the first request to a service that has been idle.
func TestWindowEarnsFromTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &retry.Window{Started: time.Now(), Span: 10 * time.Second, Slack: 40, Daemons: func() int { return 5 }}
		time.Sleep(5 * time.Second)
		w.RecordRequest("service")
		require.Equal(t, 2, takeAll(w, "service"), "half of what is earned in a window")
	})
}

// Guards against a retry that reached no endpoint and is lost, or given back to a daemon that has saved all it may.
func TestWindowReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &retry.Window{Started: time.Now(), Span: 10 * time.Second, Slack: 2, Daemons: func() int { return 1 }}
		w.RecordRequest("a")
		time.Sleep(time.Minute)
		require.True(t, w.TakeRetry("a"))
		w.ReturnRetry("a")
		w.ReturnRetry("a")
		require.Equal(t, 1, takeAll(w, "a"))
	})
}
