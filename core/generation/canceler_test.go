package generation_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
)

// Guards against a cancel call that is sent before its delay, names another attempt, or is sent after Close.
func TestCanceler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := make(chan cancelCall, 4)
		c := &generation.Canceler{Send: func(_ context.Context, address, _ string, attempt int) error {
			sent <- cancelCall{address: address, attempt: attempt}
			return nil
		}}
		c.Cancel("a", "g", 1, 0)
		c.Cancel("b", "g", 2, 10*time.Second)
		c.Cancel("c", "g", 3, time.Hour)
		time.Sleep(9 * time.Second)
		require.Len(t, sent, 1)
		time.Sleep(2 * time.Second)
		require.NoError(t, c.Close())
		c.Cancel("d", "g", 4, 0)
		synctest.Wait()
		require.Len(t, sent, 2)
		require.Equal(t, cancelCall{address: "a", attempt: 1}, <-sent)
		require.Equal(t, cancelCall{address: "b", attempt: 2}, <-sent)
	})
}
