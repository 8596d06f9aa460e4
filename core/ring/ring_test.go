package ring_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/ring"
)

// Guards against a full ring that grows instead of applying backpressure.
func TestRingBounds(t *testing.T) {
	r := ring.New[int](2)
	require.True(t, r.TryPush(1))
	require.True(t, r.TryPush(2))
	require.False(t, r.TryPush(3))
	require.Equal(t, 2, r.Len())
}

// Guards against items lost when a ring is closed before its reader is done.
func TestRingDrainsAfterClose(t *testing.T) {
	r := ring.New[int](2)
	require.True(t, r.TryPush(1))
	r.Close()
	require.False(t, r.TryPush(2))
	got, err := r.Pop(t.Context())
	require.NoError(t, err)
	require.Equal(t, 1, got)
	_, err = r.Pop(t.Context())
	require.ErrorAs(t, err, &ring.ClosedError{})
}

// Guards against a waiter that outlives its context.
func TestRingPopHonoursContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := ring.New[int](1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := r.Pop(ctx)
		require.ErrorIs(t, err, context.DeadlineExceeded)
	})
}
