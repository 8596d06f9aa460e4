package guard_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/guard"
)

// Guards against a panic that ends the process, and against one that is meant for the caller and swallowed.
func TestCall(t *testing.T) {
	err := guard.Call(func() error { panic("broken message") }, nil)
	failed, ok := errors.AsType[guard.PanicError](err)
	require.True(t, ok)
	require.Equal(t, "broken message", failed.Value)
	require.Contains(t, string(failed.Stack), "TestCall")
	require.PanicsWithValue(t, "abort", func() {
		_ = guard.Call(func() error { panic("abort") }, func(value any) bool { return value == "abort" })
	})
	require.NoError(t, guard.Call(func() error { return nil }, nil))
}

// Guards against a component of which one loop has panicked and the others go on, so that it is never restarted.
func TestRunEndsAllLoops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		err := guard.Run(t.Context(),
			func(ctx context.Context) { <-ctx.Done() },
			func(context.Context) { time.Sleep(time.Second); panic("loop") },
		)
		_, ok := errors.AsType[guard.PanicError](err)
		require.True(t, ok, "%v", err)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, guard.Run(ctx, func(ctx context.Context) { <-ctx.Done() }), context.DeadlineExceeded)
	})
}
