package booking_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/core/booking"
	"radishhollow/core/config"
	"radishhollow/core/failure"
)

// Guards against an earlier refusal on a kept connection that passes for the answer to the next request. Plain services
// echo no request id, so the caller was told that a request did not run that did.
func TestRefusalOnAKeptConnectionIsNoProof(t *testing.T) {
	for _, reused := range []bool{false, true} {
		f := &fakeEndpoints{steps: steps{func(context.Context) (booking.Response, error) {
			return booking.Response{
				Status: http.StatusServiceUnavailable, Header: http.Header{"Not-Run": {"1"}}, ConnectionReused: reused,
			}, nil
		}}}
		service := config.Service{Name: "s", TrustsRefusals: true, Calls: []config.Call{{Method: "GET", Path: "/*", Idempotent: true}}}
		response, err := f.sender(true).Do(t.Context(), booking.Call{
			Service: service, Request: booking.Request{Method: "GET", Path: "/x"},
		})
		if reused {
			require.NoError(t, err)
			require.Equal(t, failure.Unknown, response.Outcome)
			continue
		}
		require.Equal(t, failure.NotRun, failure.Of(err).Outcome())
	}
}
