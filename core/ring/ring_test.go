package ring_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/ring"
)

// Guards against a full queue that grows instead of applying backpressure.
func TestQueueIsBounded(t *testing.T) {
	q := ring.New[int](2)
	require.True(t, q.TryPush(1))
	require.True(t, q.TryPush(2))
	require.False(t, q.TryPush(3))
	require.Equal(t, 2, q.Len())
}

// Guards against the loss of items when a queue is closed before its reader has taken them.
func TestQueueDrainsAfterClose(t *testing.T) {
	q := ring.New[int](2)
	require.True(t, q.TryPush(1))
	q.Close()
	require.False(t, q.TryPush(2))
	got, err := q.Pop(t.Context())
	require.NoError(t, err)
	require.Equal(t, 1, got)
	_, err = q.Pop(t.Context())
	require.ErrorAs(t, err, &ring.ClosedError{})
}

// Guards against a Pop that still blocks after its context has ended.
func TestPopHonoursContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := ring.New[int](1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := q.Pop(ctx)
		require.ErrorIs(t, err, context.DeadlineExceeded)
	})
}
