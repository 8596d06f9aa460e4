package caller_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gin-gonic/gin"
	"github.com/stretchr/testify/require"

	"radishhollow/core/booking"
	"radishhollow/core/config"
	"radishhollow/core/failure"
	"radishhollow/io/caller"
	"radishhollow/io/telemetry"
)

func serveService(
	t *testing.T, req *http.Request, do func(context.Context, booking.Call) (booking.Response, error),
) (*httptest.ResponseRecorder, *telemetry.Metrics) {
	t.Helper()
	engine, metrics := serviceEngine(do)
	recorder := httptest.NewRecorder()
	engine.ServeHTTP(recorder, req)
	return recorder, metrics
}

// serviceEngine returns the handler of a service "rooms" whose calls do answers, and its metrics.
func serviceEngine(do func(context.Context, booking.Call) (booking.Response, error)) (*gin.Engine, *telemetry.Metrics) {
	gin.SetMode(gin.TestMode)
	handler := &caller.ServiceHandler{
		Do:    do,
		Admit: func(context.Context, config.Workspace) (func(), error) { return func() {}, nil },
		ServiceOf: func(name string) (config.Service, bool) {
			return config.Service{Name: name}, name == "rooms"
		},
		WorkspaceOf: func(*gin.Context) config.Workspace { return config.Workspace{Name: "north"} },
		WriteError:  caller.WriteError,
		Metrics:     telemetry.New(),
	}
	engine := gin.New()
	engine.Any("/services/:service/*path", handler.Handle)
	return engine, handler.Metrics
}

// Guards against a call or a response that is altered when it is passed on, and against the API key reaching an
// endpoint.
func TestServiceHandlerPassesCall(t *testing.T) {
	req := httptest.NewRequest(http.MethodPut, "/services/rooms/a%2Fb/..%2Fc?x=%20&x=2", strings.NewReader("body"))
	for name, value := range map[string]string{
		"Idempotency-Key": "k", "Authorization": "Bearer secret", "Connection": "close, X-Hop", "X-Hop": "1",
		"Te": "trailers", "X-Kept": "1",
	} {
		req.Header.Set(name, value)
	}
	var got booking.Call
	recorder, metrics := serveService(t, req, func(_ context.Context, call booking.Call) (booking.Response, error) {
		got = call
		return booking.Response{
			Status: http.StatusCreated, Body: []byte("made"), Outcome: failure.Ran,
			Header: http.Header{"X-Answer": {"1", "2"}, "Keep-Alive": {"1"}, "Not-Run": {"1"}, "Outcome": {"not-run"}},
		}, nil
	})
	require.Equal(t, "north", got.Workspace)
	require.Equal(t, "k", got.Key)
	require.Equal(t, booking.Request{
		Method: http.MethodPut, Path: "/a%2Fb/..%2Fc", Query: "x=%20&x=2", Body: []byte("body"),
		Header: http.Header{"Idempotency-Key": {"k"}, "X-Kept": {"1"}},
	}, got.Request)
	require.Equal(t, http.StatusCreated, recorder.Code)
	require.Equal(t, "made", recorder.Body.String())
	require.Equal(t, http.Header{"X-Answer": {"1", "2"}, "Outcome": {"ran"}, "Content-Length": {"4"}}, recorder.Header())
	require.EqualValues(t, 1, metrics.Value(telemetry.Bookings, "ran"))
}

// Guards against a rejected call that reaches an endpoint, and against an error response without an outcome.
func TestServiceHandlerRefuses(t *testing.T) {
	tests := []struct {
		name, path, body, code string
		keys                   []string
		status                 int
	}{
		{name: "service", path: "/services/other/x", code: "unknown-service", status: 404},
		{name: "large body", path: "/services/rooms/x", body: strings.Repeat("x", 1<<20+1), code: "body-too-large",
			status: 413},
		{name: "two keys", path: "/services/rooms/x", keys: []string{"a", "b"}, code: "invalid-idempotency-key",
			status: 400},
		{name: "long key", path: "/services/rooms/x", keys: []string{strings.Repeat("k", 256)},
			code: "invalid-idempotency-key", status: 400},
		{name: "empty key", path: "/services/rooms/x", keys: []string{""}, code: "invalid-idempotency-key", status: 400},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req := httptest.NewRequest(http.MethodPost, tt.path, strings.NewReader(tt.body))
			req.Header["Idempotency-Key"] = tt.keys
			recorder, metrics := serveService(t, req, func(context.Context, booking.Call) (booking.Response, error) {
				t.Error("the call must not be sent")
				return booking.Response{}, nil
			})
			require.Contains(t, recorder.Body.String(), `"code":"`+tt.code+`"`)
			require.Equal(t, tt.status, recorder.Code)
			require.Equal(t, "not-run", recorder.Header().Get("Outcome"))
			require.EqualValues(t, 1, metrics.Value(telemetry.Bookings, "not-run"))
		})
	}
}

// Guards against a response without a length over HTTP/1.0, where one that the end of the process cuts looks complete.
func TestServiceResponsesStateTheirLength(t *testing.T) {
	for _, length := range []int{0, 1, 100_000} {
		engine, _ := serviceEngine(func(context.Context, booking.Call) (booking.Response, error) {
			return booking.Response{Status: http.StatusOK, Body: []byte(strings.Repeat("x", length)), Outcome: failure.Ran}, nil
		})
		server := httptest.NewServer(engine)
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, "POST /services/rooms/x HTTP/1.0\r\nContent-Length: 0\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.EqualValues(t, length, response.ContentLength)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Len(t, body, length)
		require.NoError(t, conn.Close())
		server.Close()
	}
}
