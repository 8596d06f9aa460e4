package claim_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/claim"
	"radishhollow/core/failure"
)

func claimOn(t *testing.T, k *claim.Keeper) claim.Ticket {
	t.Helper()
	ticket, err := k.Claim(t.Context(), "w", "s", "key", "digest")
	require.NoError(t, err)
	return ticket
}

func requireCode(t *testing.T, err error, code string, outcome failure.Outcome) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, code, failure.Of(err).Code())
	require.Equal(t, outcome, failure.Of(err).Outcome())
}

// Guards against a claim that costs more calls than the platform's write rate allows for.
func TestClaimCostsTwoWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1, 0)
		k := &claim.Keeper{Store: store.store()}
		for _, key := range []string{"a", "b", "c"} {
			ticket, err := k.Claim(t.Context(), "w", "s", key, "digest")
			require.NoError(t, err)
			require.NoError(t, ticket.Finish(t.Context(), claim.Recorded{Outcome: failure.Ran, Status: 200}))
		}
		require.Equal(t, 6, store.puts)
		require.Equal(t, 1, store.grants)
		time.Sleep(time.Hour)
		claimOn(t, k)
		require.Equal(t, 2, store.grants, "records must live for 24 h")
	})
}

// Guards against a second run, and against a replay that differs from the first answer.
func TestSecondArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1, 0)
		first := claimOn(t, &claim.Keeper{Store: store.store()})
		other := &claim.Keeper{Store: store.store()}
		second := claimOn(t, other)
		require.False(t, second.Owned())
		requireCode(t, second.Check(), "claim-expired", failure.NotRun)
		_, err := second.Await(t.Context())
		requireCode(t, err, "outcome-unknown", failure.Unknown)
		_, err = other.Claim(t.Context(), "w", "s", "key", "another digest")
		requireCode(t, err, "key-reused", failure.NotRun)

		time.AfterFunc(time.Second, func() {
			_ = first.Finish(context.Background(), claim.Recorded{
				Outcome: failure.Ran, Status: 201, Header: map[string][]string{"X": {"1"}}, Body: []byte{0, 255},
			})
		})
		recorded, err := second.Await(t.Context())
		require.NoError(t, err)
		require.Equal(t, 201, recorded.Status)
		require.Equal(t, "1", recorded.Header.Get("X"))
		require.Equal(t, []byte{0, 255}, recorded.Body)
	})
}

// Guards against a large response that makes the record too large to write, or that is replayed cut short.
func TestLargeResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := &claim.Keeper{Store: newFakeStore(1, 0).store()}
		body := []byte(strings.Repeat("x", claim.MaxRecorded+1))
		ticket := claimOn(t, k)
		require.NoError(t, ticket.Finish(t.Context(), claim.Recorded{Outcome: failure.Ran, Status: 200, Body: body}))
		_, err := claimOn(t, k).Await(t.Context())
		requireCode(t, err, "response-omitted", failure.Ran)
	})
}

// Guards against a key that stays blocked, or runs twice, after a claim whose write could not be read back.
func TestUnsettledClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1, 0)
		store.fail["put"] = []fault{faultAnswerLost, faultRefused, faultRefused, faultRefused, faultRefused}
		store.fail["get"] = []fault{faultRefused}
		k, other := &claim.Keeper{Store: store.store()}, &claim.Keeper{Store: store.store()}
		_, err := k.Claim(t.Context(), "w", "s", "key", "digest")
		requireCode(t, err, "claim-failed", failure.NotRun)

		require.False(t, claimOn(t, other).Owned(), "another entry cannot know that the call was given up")
		ticket := claimOn(t, k)
		require.True(t, ticket.Owned())
		require.NoError(t, ticket.Release(t.Context()))
		require.True(t, claimOn(t, other).Owned())
	})
}

// Guards against a released key that other entries see as unfinished for the life of the record.
func TestRunSettles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1, 0)
		k, other := &claim.Keeper{Store: store.store()}, &claim.Keeper{Store: store.store()}
		ticket := claimOn(t, k)
		store.fail["put"] = []fault{faultRefused}
		store.fail["get"] = []fault{faultRefused, faultRefused, faultRefused, faultRefused, faultRefused}
		require.Error(t, ticket.Release(t.Context()))
		require.False(t, claimOn(t, other).Owned())

		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- k.Run(ctx) }()
		time.Sleep(10 * time.Second)
		require.True(t, claimOn(t, other).Owned())
		cancel()
		require.ErrorIs(t, errors.Cause(<-done), context.Canceled)
	})
}

// Guards against a send by a daemon that was paused until its record may have expired.
func TestPausedTicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ticket := claimOn(t, &claim.Keeper{Store: newFakeStore(1, 0).store()})
		require.NoError(t, ticket.Check())
		time.Sleep(2 * time.Minute)
		requireCode(t, ticket.Check(), "claim-expired", failure.NotRun)
	})
}

// Guards against a caller that waits for its own claim after the answer to the write was lost.
func TestLostAnswer(t *testing.T) {
	for _, kind := range []fault{faultRefused, faultRequestLost, faultAnswerLost, faultDelayed} {
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore(1, 0)
			store.fail["put"] = []fault{kind}
			ticket := claimOn(t, &claim.Keeper{Store: store.store()})
			require.True(t, ticket.Owned())
			require.NoError(t, ticket.Finish(t.Context(), claim.Recorded{Outcome: failure.Ran, Status: 200}))
			time.Sleep(4 * time.Second)
		})
	}
}

// Guards against "not run" being told to a caller whose earlier request with the key holds it and may have run.
func TestUnreadableHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1, 0)
		claimOn(t, &claim.Keeper{Store: store.store()})
		store.fail["get"] = []fault{faultRefused, faultRefused, faultRefused, faultRefused, faultRefused}
		_, err := (&claim.Keeper{Store: store.store()}).Claim(t.Context(), "w", "s", "key", "digest")
		requireCode(t, err, "outcome-unknown", failure.Unknown)
	})
}

// Guards against a key that is blocked by an open record whose write took effect after its claim was given up.
func TestLateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1, 0)
		store.late = 5 * time.Second
		store.fail["put"] = []fault{faultDelayed, faultRefused, faultRefused, faultRefused, faultRefused}
		k := &claim.Keeper{Store: store.store()}
		_, err := k.Claim(t.Context(), "w", "s", "key", "digest")
		requireCode(t, err, "claim-failed", failure.NotRun)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		require.Error(t, k.Run(ctx))
		require.True(t, claimOn(t, &claim.Keeper{Store: store.store()}).Owned())
	})
}

// Guards against an outcome that is lost with the process when a planned stop follows a failure of the platform.
func TestRunSettlesAtItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1, 0)
		k := &claim.Keeper{Store: store.store()}
		ticket := claimOn(t, k)
		store.fail["put"] = []fault{faultRefused}
		store.fail["get"] = []fault{faultRefused, faultRefused, faultRefused, faultRefused}
		require.Error(t, ticket.Finish(t.Context(), claim.Recorded{Outcome: failure.Ran, Status: 201}))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		require.ErrorIs(t, k.Run(ctx), context.Canceled)
		recorded, err := claimOn(t, &claim.Keeper{Store: store.store()}).Await(t.Context())
		require.NoError(t, err)
		require.Equal(t, 201, recorded.Status)
	})
}

// Guards against records that live longer or shorter than the operators set.
func TestExpiry(t *testing.T) {
	for expiry, ttl := range map[time.Duration]time.Duration{0: 25 * time.Hour, 2 * time.Hour: 3 * time.Hour} {
		var granted time.Duration
		store := newFakeStore(1, 0).store()
		store.Grant = func(_ context.Context, ttl time.Duration) (string, error) {
			granted = ttl
			return "lease", nil
		}
		claimOn(t, &claim.Keeper{Store: store, Expiry: expiry})
		require.Equal(t, ttl, granted)
	}
}
