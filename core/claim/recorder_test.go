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
	"radishhollow/core/kv"
)

func claimKey(t *testing.T, r *claim.Recorder) claim.Ticket {
	t.Helper()
	ticket, err := r.Claim(t.Context(), "w", "s", "key", "digest")
	require.NoError(t, err)
	return ticket
}

func requireCode(t *testing.T, err error, code string, outcome failure.Outcome) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, code, failure.Of(err).Code())
	require.Equal(t, outcome, failure.Of(err).Outcome())
}

// Guards against claims that exhaust the rate limit of the key-value service, because a claim and its outcome take more
// than two writes or each claim is granted a lease of its own.
func TestClaimNeedsTwoWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1, 0)
		r := &claim.Recorder{Store: store.store()}
		for _, key := range []string{"a", "b", "c"} {
			ticket, err := r.Claim(t.Context(), "w", "s", key, "digest")
			require.NoError(t, err)
			require.NoError(t, ticket.Finish(t.Context(), claim.Result{Outcome: failure.Ran, Status: 200}))
		}
		require.Equal(t, 6, store.puts)
		require.Equal(t, 1, store.grants)
		time.Sleep(time.Hour)
		claimKey(t, r)
		require.Equal(t, 2, store.grants, "a lease must not be reused after an hour, so that records live for 24 h")
	})
}

// Guards against a second execution under one key, and against a replay that differs from the first response.
func TestSecondRequestWithKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1, 0)
		first := claimKey(t, &claim.Recorder{Store: store.store()})
		other := &claim.Recorder{Store: store.store()}
		second := claimKey(t, other)
		require.False(t, second.Owned())
		requireCode(t, second.Check(), "claim-expired", failure.NotRun)
		_, err := second.Await(t.Context())
		requireCode(t, err, "outcome-unknown", failure.Unknown)
		_, err = other.Claim(t.Context(), "w", "s", "key", "another digest")
		requireCode(t, err, "key-reused", failure.NotRun)

		time.AfterFunc(time.Second, func() {
			_ = first.Finish(context.Background(), claim.Result{
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

// Guards against a large response that makes the record too large to write, or that is replayed truncated.
func TestLargeResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &claim.Recorder{Store: newFakeStore(1, 0).store()}
		body := []byte(strings.Repeat("x", claim.MaxRecordedBytes+1))
		ticket := claimKey(t, r)
		require.NoError(t, ticket.Finish(t.Context(), claim.Result{Outcome: failure.Ran, Status: 200, Body: body}))
		_, err := claimKey(t, r).Await(t.Context())
		requireCode(t, err, "response-omitted", failure.Ran)
	})
}

// Guards against a key that stays blocked, or a call that is executed twice, after a claim whose write could not be
// read back.
func TestClaimNotReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1, 0)
		store.fail["put"] = []fault{faultResponseLost, faultRefused, faultRefused, faultRefused, faultRefused}
		store.fail["get"] = []fault{faultRefused}
		r, other := &claim.Recorder{Store: store.store()}, &claim.Recorder{Store: store.store()}
		_, err := r.Claim(t.Context(), "w", "s", "key", "digest")
		requireCode(t, err, "claim-failed", failure.NotRun)

		require.False(t, claimKey(t, other).Owned(), "another daemon cannot know that the claim was abandoned")
		ticket := claimKey(t, r)
		require.True(t, ticket.Owned())
		require.NoError(t, ticket.Release(t.Context()))
		require.True(t, claimKey(t, other).Owned())
	})
}

// Guards against a released key that stays open for other daemons until its record expires, because the write of the
// release failed.
func TestRunReconciles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1, 0)
		r, other := &claim.Recorder{Store: store.store()}, &claim.Recorder{Store: store.store()}
		ticket := claimKey(t, r)
		store.fail["put"] = []fault{faultRefused}
		store.fail["get"] = []fault{faultRefused, faultRefused, faultRefused, faultRefused, faultRefused}
		require.Error(t, ticket.Release(t.Context()))
		require.False(t, claimKey(t, other).Owned())

		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- r.Run(ctx) }()
		time.Sleep(10 * time.Second)
		require.True(t, claimKey(t, other).Owned())
		cancel()
		require.ErrorIs(t, errors.Cause(<-done), context.Canceled)
	})
}

// Guards against a send by a daemon that was paused for so long that its record may have expired.
func TestPausedTicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ticket := claimKey(t, &claim.Recorder{Store: newFakeStore(1, 0).store()})
		require.NoError(t, ticket.Check())
		time.Sleep(2 * time.Minute)
		requireCode(t, ticket.Check(), "claim-expired", failure.NotRun)
	})
}

// Guards against a request that waits for its own claim because the response to its write was lost.
func TestLostWriteResponse(t *testing.T) {
	for _, kind := range []fault{faultRefused, faultRequestLost, faultResponseLost, faultDelayed} {
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore(1, 0)
			store.fail["put"] = []fault{kind}
			ticket := claimKey(t, &claim.Recorder{Store: store.store()})
			require.True(t, ticket.Owned())
			require.NoError(t, ticket.Finish(t.Context(), claim.Result{Outcome: failure.Ran, Status: 200}))
			time.Sleep(4 * time.Second)
		})
	}
}

// Guards against the outcome NotRun if an earlier request holds the key, may have been executed, and cannot be read.
func TestUnreadableRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1, 0)
		claimKey(t, &claim.Recorder{Store: store.store()})
		store.fail["get"] = []fault{faultRefused, faultRefused, faultRefused, faultRefused, faultRefused}
		_, err := (&claim.Recorder{Store: store.store()}).Claim(t.Context(), "w", "s", "key", "digest")
		requireCode(t, err, "outcome-unknown", failure.Unknown)
	})
}

// Guards against a key that is blocked by an open record whose delayed write took effect after its claim was abandoned.
func TestDelayedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1, 0)
		store.applyDelay = 5 * time.Second
		store.fail["put"] = []fault{faultDelayed, faultRefused, faultRefused, faultRefused, faultRefused}
		r := &claim.Recorder{Store: store.store()}
		_, err := r.Claim(t.Context(), "w", "s", "key", "digest")
		requireCode(t, err, "claim-failed", failure.NotRun)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		require.Error(t, r.Run(ctx))
		require.True(t, claimKey(t, &claim.Recorder{Store: store.store()}).Owned())
	})
}

// Guards against an outcome that is lost with the process if a graceful shutdown follows an outage of the key-value
// service.
func TestRunReconcilesBeforeReturning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1, 0)
		r := &claim.Recorder{Store: store.store()}
		ticket := claimKey(t, r)
		store.fail["put"] = []fault{faultRefused}
		store.fail["get"] = []fault{faultRefused, faultRefused, faultRefused, faultRefused}
		require.Error(t, ticket.Finish(t.Context(), claim.Result{Outcome: failure.Ran, Status: 201}))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		require.ErrorIs(t, r.Run(ctx), context.Canceled)
		recorded, err := claimKey(t, &claim.Recorder{Store: store.store()}).Await(t.Context())
		require.NoError(t, err)
		require.Equal(t, 201, recorded.Status)
	})
}

// Guards against records whose lifetime differs from the configured expiry.
func TestExpiry(t *testing.T) {
	for expiry, ttl := range map[time.Duration]time.Duration{0: 25 * time.Hour, 2 * time.Hour: 3 * time.Hour} {
		var granted time.Duration
		store := newFakeStore(1, 0).store()
		store.Grant = func(_ context.Context, ttl time.Duration) (kv.Lease, error) {
			granted = ttl
			return kv.NewLease(0, "lease"), nil
		}
		claimKey(t, &claim.Recorder{Store: store, Expiry: expiry})
		require.Equal(t, ttl, granted)
	}
}
