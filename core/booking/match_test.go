package booking_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/core/booking"
	"radishhollow/core/config"
)

// Guards against a path, query or header that makes a non-idempotent request match an idempotent call, so that it would
// be retried.
func TestIdempotent(t *testing.T) {
	calls := []config.Call{
		{Method: "GET", Path: "/rooms/*", Idempotent: true},
		{Method: "GET", Path: "/rooms/book", Idempotent: false},
		{Method: "GET", Path: "/status", Idempotent: true},
		{Method: "PUT", Path: "/seats/*", Idempotent: true},
		{Method: "PUT", Path: "/seats/*", Idempotent: false},
	}
	tests := []struct {
		method, path, query string
		want                bool
	}{
		{"GET", "/rooms/1", "", true},
		{"GET", "/rooms/1/beds", "day=2&payment_method=x", true},
		{"GET", "/rooms/a%20b", "", true},
		{"GET", "/rooms/", "", true},
		{"GET", "/status", "", true},
		{"GET", "/rooms", "", false},
		{"GET", "/roomsx", "", false},
		{"GET", "/rooms/book", "", false},
		{"GET", "/rooms/b%6Fok/../x", "", false},
		{"HEAD", "/rooms/1", "", false},
		{"get", "/rooms/1", "", false},
		{"POST", "/rooms/1", "", false},
		{"GET", "/status/", "", false},
		{"PUT", "/seats/1", "", false},
		{"GET", "/rooms/../book", "", false},
		{"GET", "/rooms/..", "", false},
		{"GET", "/rooms/%2e%2e/book", "", false},
		{"GET", "/rooms/.%2E/book", "", false},
		{"GET", "/rooms/..%2fbook", "", false},
		{"GET", "/rooms/%252e%252e/book", "", false},
		{"GET", "/rooms/..%5Cbook", "", false},
		{"GET", `/rooms/..\book`, "", false},
		{"GET", "/rooms/..;/book", "", false},
		{"GET", "/rooms//book", "", false},
		{"GET", "/rooms/%00", "", false},
		{"GET", "/rooms/%zz", "", false},
		{"GET", "rooms/1", "", false},
		{"GET", "/rooms/1", "_method=DELETE", false},
		{"GET", "/rooms/1", "%5f%6dethod=DELETE", false},
	}
	for _, tt := range tests {
		t.Run(tt.method+tt.path+tt.query, func(t *testing.T) {
			r := booking.Request{Method: tt.method, Path: tt.path, Query: tt.query}
			require.Equal(t, tt.want, booking.Idempotent(calls, r))
			r.Header = http.Header{"X-Http-Method-Override": {"DELETE"}}
			require.False(t, booking.Idempotent(calls, r))
		})
	}
}
