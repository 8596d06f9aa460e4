package caller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/stretchr/testify/require"

	"radishhollow/core/booking"
	"radishhollow/core/config"
	"radishhollow/core/failure"
	"radishhollow/io/caller"
	"radishhollow/io/telemetry"
)

// Guards against a generation that has no response when the daemon ends and whose connection is closed without a status,
// and against a stream that ends although it has begun.
func TestGenerationsEndWithTheDaemon(t *testing.T) {
	f := newFixture(t)
	ending, end := context.WithCancel(t.Context())
	f.server.Ending = ending
	f.engines[0].tokenDelay, f.engines[1].tokenDelay = 100*time.Millisecond, 100*time.Millisecond
	streamed := f.post(t, "north", "", fmt.Sprintf(streamedBody, ""))
	cursorAfter(t, streamed.Body, 2)
	time.AfterFunc(200*time.Millisecond, end)
	whole := f.post(t, "north", "", strings.Replace(fmt.Sprintf(streamedBody, ""), `"stream":true`, `"stream":false`, 1))
	body, err := io.ReadAll(whole.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, whole.StatusCode)
	require.Contains(t, string(body), "drain-timeout")
	rest, err := io.ReadAll(streamed.Body)
	require.NoError(t, err)
	require.Contains(t, string(rest), "[DONE]")
}

// Guards against a call that is in flight or waits for its admission when the daemon ends and gets no status, and against
// a status that promises that a call has not run although it was sent.
func TestServiceCallsEndWithTheDaemon(t *testing.T) {
	gin.SetMode(gin.TestMode)
	wait := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	for status, admitted := range map[int]bool{http.StatusServiceUnavailable: false, http.StatusBadGateway: true} {
		ending, end := context.WithTimeout(t.Context(), 50*time.Millisecond)
		handler := &caller.ServiceHandler{
			Ending: ending,
			Admit: func(ctx context.Context, _ config.Workspace) (func(), error) {
				if !admitted {
					return nil, wait(ctx)
				}
				return func() {}, nil
			},
			Do: func(_ context.Context, call booking.Call) (booking.Response, error) {
				return booking.Response{}, booking.OutcomeUnknownError{Cause: wait(call.Ending)}
			},
			ServiceOf:   func(name string) (config.Service, bool) { return config.Service{Name: name}, true },
			WorkspaceOf: func(*gin.Context) config.Workspace { return config.Workspace{Name: "north"} },
			WriteError:  caller.WriteError, Metrics: telemetry.New(),
		}
		router := gin.New()
		router.Any("/services/:service/*path", handler.Handle)
		recorder := httptest.NewRecorder()
		router.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/services/rooms/x", strings.NewReader("body")))
		end()
		require.Equal(t, status, recorder.Code)
		require.Equal(t, !admitted, recorder.Header().Get("Outcome") == failure.NotRun.String())
	}
}
