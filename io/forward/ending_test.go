package forward

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/failure"
)

// Guards against a status that promises that a request has not run when the daemon ends while an endpoint may run it, and
// against an end of the daemon that is taken for the caller's.
func TestEndedByStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ending, end := context.WithCancel(t.Context())
		s := &Server{Ending: ending}
		caller, leave := context.WithCancel(t.Context())
		mayEnd := func() bool { return true }
		stopped, cancelStopped := s.withEnding(t.Context(), mayEnd)
		defer cancelStopped()
		begun, cancelBegun := s.withEnding(t.Context(), func() bool { return false })
		defer cancelBegun()
		left, cancelLeft := s.withEnding(caller, mayEnd)
		defer cancelLeft()
		leave()
		synctest.Wait()
		require.False(t, s.ended())
		end()
		require.True(t, s.ended())
		synctest.Wait()
		require.NoError(t, begun.Err(), "a response that has begun goes on")
		deadline := time.Now().Add(time.Minute)
		for outcome, status := range map[failure.Outcome]int{
			failure.NotRun: http.StatusServiceUnavailable, failure.Unknown: http.StatusGatewayTimeout,
		} {
			err := errors.Trace(StoppedError{Result: outcome, Cause: context.Canceled})
			require.Equal(t, status, statusOf(err, deadline))
			require.Equal(t, "drain-timeout", failure.Of(err).Code())
		}
		require.True(t, isStopped(stopped))
		require.False(t, isStopped(left))
	})
}
