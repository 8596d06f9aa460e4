package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/booking"
	"radishhollow/core/config"
	"radishhollow/core/failure"
	"radishhollow/io/service"
)

func testFormat() Format {
	return Format{
		RequestID: "Id", Deadline: "Left", LastEventID: "Last", Signature: "Signed", NotRun: "Not-Run",
		Workspace:           "Workspace",
		ExpectedIncarnation: "Expect", Internal: []string{"Secret", "Expect"},
		APIKey:      func(h http.Header) string { return h.Get("Secret") },
		TokenCounts: func(http.Header) (int, int) { return 0, 0 },
		Affinity:    func(http.Header) string { return "" },
	}
}

// Guards against accepting a response to another request, a signed response without a request id, a refusal without one
// on a kept connection, or an encoded body.
func TestCheck(t *testing.T) {
	r := booking.Request{Header: http.Header{"Id": {"1"}}}
	for _, tt := range []struct {
		name   string
		header http.Header
		ok     bool
	}{
		{"own", http.Header{"Id": {"1"}, "Signed": {"x"}}, true},
		{"other id", http.Header{"Id": {"2"}, "Signed": {"x"}}, false},
		{"signed without id", http.Header{"Signed": {"x"}}, false},
		{"refusal without id", http.Header{"Not-Run": {"1"}}, true},
		{"refusal of another", http.Header{"Id": {"2"}, "Not-Run": {"1"}}, false},
		{"unsigned", http.Header{"Id": {"1"}}, false},
		{"encoded", http.Header{"Id": {"1"}, "Signed": {"x"}, "Content-Encoding": {"gzip"}}, false},
	} {
		require.Equal(t, tt.ok, testFormat().Check(r, booking.ResponseHead{Header: tt.header}) == nil, tt.name)
		ok := tt.ok && tt.header.Get("Id") == "1"
		require.Equal(t, ok, testFormat().Check(r, booking.ResponseHead{Header: tt.header, ConnectionReused: true}) == nil, tt.name)
	}
}

// Guards against a request that is reported as not run although it may have run, which would repeat a booking.
func TestClassify(t *testing.T) {
	signed := http.Header{"Signed": {"x"}}
	for _, tt := range []struct {
		name   string
		kind   config.RouteKind
		status int
		header http.Header
		err    error
		want   failure.Outcome
	}{
		{"response", config.KindOnce, 200, signed, nil, failure.Ran},
		{"error status", config.KindOnce, 500, signed, nil, failure.Ran},
		{"error status, idempotent", config.KindIdempotent, 500, signed, nil, failure.Unknown},
		{"unavailable", config.KindOnce, 503, signed, nil, failure.Unknown},
		{"too many requests", config.KindOnce, 429, signed, nil, failure.Unknown},
		{"request timeout", config.KindOnce, 408, signed, nil, failure.Unknown},
		{"unavailable, idempotent", config.KindIdempotent, 503, signed, nil, failure.Unknown},
		{"too many requests, idempotent", config.KindIdempotent, 429, signed, nil, failure.Ran},
		{"refused", config.KindOnce, 503, http.Header{"Not-Run": {"1"}}, nil, failure.NotRun},
		{"misdirected", config.KindOnce, 421, nil, nil, failure.NotRun},
		{"not written", config.KindOnce, 0, nil, service.SendError{}, failure.NotRun},
		{"written", config.KindOnce, 0, nil, service.SendError{Written: true}, failure.Unknown},
		{"crossed", config.KindOnce, 0, nil, service.ResponseError{Cause: MismatchedResponseError{}}, failure.Unknown},
	} {
		response := booking.Response{Status: tt.status, Header: tt.header}
		require.Equal(t, tt.want, testFormat().Classify(booking.Call{Kind: tt.kind}, response, tt.err), tt.name)
	}
}

// Guards against a status that claims a request did not run although it may have run.
func TestStatusOf(t *testing.T) {
	future, past := time.Now().Add(time.Hour), time.Now().Add(-time.Hour)
	for _, tt := range []struct {
		err      error
		deadline time.Time
		want     int
	}{
		{NoRouteError{}, future, 404},
		{UnknownKeyError{}, future, 401},
		{NotReadyError{}, future, 503},
		{BodyError{Limit: 1}, future, 413},
		{RefusedError{}, future, 503},
		{EndpointError{}, future, 502},
		{TimeoutError{Result: failure.Unknown}, past, 504},
		{errors.Trace(service.SendError{Written: true}), future, 502},
	} {
		require.Equal(t, tt.want, statusOf(tt.err, tt.deadline), "%T", tt.err)
	}
}

// Guards against an endpoint's connection headers that reach the caller, or replace the daemon's own during a graceful
// shutdown.
func TestCopyHeader(t *testing.T) {
	to := http.Header{"Connection": {"close"}}
	copyHeader(to, http.Header{
		"Connection": {"keep-alive"}, "Keep-Alive": {"timeout=5"}, "Content-Length": {"7"}, "Signed": {"x"},
	})
	require.Equal(t, http.Header{"Connection": {"close"}, "Signed": {"x"}, "Content-Type": nil}, to)
}

// Guards against internal headers, headers of the caller's connection or its API key that reach an endpoint, and
// against a deadline beyond the caller's or the route's.
func TestHeaderAndDeadline(t *testing.T) {
	s := &Server{Format: testFormat()}
	q := &request{
		arrivedAt: time.Now(), route: config.Route{TimeoutMS: 1000}, workspace: config.Workspace{Name: "w"},
	}
	header := s.endpointHeader(q, http.Header{
		"Secret": {"k"}, "Expect": {"x"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Id": {"1"},
		"Workspace": {"forged"}, "X-Other": {"kept"},
	})
	require.Equal(t, http.Header{"Id": {"1"}, "Workspace": {"w"}, "X-Other": {"kept"}}, header)
	for left, want := range map[string]time.Duration{
		"400": 400 * time.Millisecond, "5000": time.Second, "": time.Second, "x": time.Second, "-1": time.Second,
	} {
		require.Equal(t, q.arrivedAt.Add(want), s.requestDeadline(q, http.Header{"Left": {left}}), left)
	}
}
