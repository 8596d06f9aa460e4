package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/clock"
)

// Guards against a sleep that continues after its context has ended, and against one that ends too early.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		require.NoError(t, clock.Sleep(t.Context(), time.Second))
		require.Equal(t, time.Second, time.Since(began))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, clock.Sleep(ctx, time.Hour), context.DeadlineExceeded)
		require.Equal(t, 2*time.Second, time.Since(began))
	})
}
