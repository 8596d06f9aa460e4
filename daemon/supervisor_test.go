package daemon_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/daemon"
	"radishhollow/io/telemetry"
)

// Guards against a component that is not restarted after a failure.
func TestSupervisorRestartsComponent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var starts atomic.Int32
		m := telemetry.New()
		s := daemon.Supervisor{Metrics: m, Components: []daemon.Component{{Name: "poller", Run: func(ctx context.Context) error {
			if starts.Add(1) <= 2 {
				return io.ErrUnexpectedEOF
			}
			<-ctx.Done()
			return ctx.Err()
		}}}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.NoError(t, s.Run(ctx))
		require.EqualValues(t, 3, starts.Load())
		require.EqualValues(t, 2, m.Value(telemetry.Restarts, "poller"))
	})
}

// Guards against a component that fails repeatedly without ending the daemon.
func TestSupervisorEndsAfterTooManyRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stopped := false
		s := daemon.Supervisor{Metrics: telemetry.New(), Components: []daemon.Component{
			{Name: "broken", Run: func(context.Context) error { return io.ErrUnexpectedEOF }},
			{Name: "sound", Run: func(ctx context.Context) error {
				<-ctx.Done()
				stopped = true
				return ctx.Err()
			}},
		}}
		err := s.Run(t.Context())
		var failed daemon.ComponentFailedError
		require.ErrorAs(t, err, &failed)
		require.Equal(t, "broken", failed.Name)
		require.True(t, stopped)
	})
}
