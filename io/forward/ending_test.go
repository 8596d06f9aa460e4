package forward

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/failure"
	"radishhollow/core/generation"
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

// Guards against a stream whose first event arrives as the daemon ends: the header was sent although the request had been
// ended already, so that its caller got a response that is cut at once in place of a status.
func TestStreamBeginsAsTheDaemonEnds(t *testing.T) {
	for _, ended := range []bool{true, false} {
		t.Run(fmt.Sprintf("ended %t", ended), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, _ := gin.CreateTestContext(httptest.NewRecorder())
				c.Request = httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil)
				ending, end := context.WithCancel(t.Context())
				defer end()
				h := &streamHandler{
					server: &Server{Ending: ending}, request: &request{}, c: c, controller: http.NewResponseController(c.Writer),
					attemptState: attemptState{start: &startTracker{onLived: func() {}}},
				}
				var cancel context.CancelFunc
				h.ctx, cancel = h.withEnding(t.Context())
				defer cancel()
				if ended {
					end()
					synctest.Wait()
				}
				err := h.deliver(generation.NewEventChunk("g", 1, 1, []byte("id: 1\ndata: x\n\n")))
				_, stopped := errors.AsType[StoppedError](err)
				require.Equal(t, ended, stopped)
				require.Equal(t, !ended, c.Writer.Written(), "the header was written")
				end()
				synctest.Wait()
				require.Equal(t, ended, h.ctx.Err() != nil, "a response that has begun goes on")
				h.complete()
				require.True(t, c.Writer.Written(), "a whole stream without events is passed on")
				require.Equal(t, http.StatusOK, c.Writer.Status())
			})
		})
	}
}
