package booking_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/booking"
	"radishhollow/core/config"
	"radishhollow/core/failure"
)

// Guards against a call that is in flight when the daemon ends and returns no outcome, because a non-idempotent call does
// not end with its context.
func TestEnding(t *testing.T) {
	for _, kind := range []config.RouteKind{config.KindOnce, config.KindIdempotent} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				ending, end := context.WithTimeout(t.Context(), time.Second)
				defer end()
				f := fakeEndpoints{steps: steps{func(ctx context.Context) (booking.Response, error) {
					<-ctx.Done()
					return booking.Response{}, ctx.Err()
				}}}
				_, err := f.sender(false).Do(t.Context(), booking.Call{
					Kind: kind, Ending: ending, Deadline: time.Now().Add(time.Minute),
				})
				require.Error(t, err)
				require.Equal(t, failure.Unknown, failure.Of(err).Outcome())
				require.Equal(t, time.Second, time.Since(began))
			})
		})
	}
}
