package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/claim"
	"radishhollow/core/failure"
	"radishhollow/core/kv"
)

// runRecorders runs two recorders on one store for the duration of f.
func runRecorders(t *testing.T, f func(t *testing.T, store *fakeStore, first, second *claim.Recorder)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1, 0)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		recorders := make([]*claim.Recorder, 2)
		for i := range recorders {
			recorders[i] = &claim.Recorder{Store: store.store(), Era: store.eras.Current}
			group.Go(func() { _ = recorders[i].Run(ctx) })
		}
		store.eras.Observe(1)
		time.Sleep(2 * time.Second)
		f(t, store, recorders[0], recorders[1])
		cancel()
		group.Wait()
	})
}

// Guards against a booking that runs a second time because the store has come back from a copy without its record, and
// against a replay of another response.
func TestRecordLostByARestoredStoreIsWrittenAgain(t *testing.T) {
	runRecorders(t, func(t *testing.T, store *fakeStore, first, second *claim.Recorder) {
		store.save()
		ticket := claimKey(t, first)
		require.NoError(t, ticket.Finish(t.Context(), claim.Result{Outcome: failure.Ran, Status: 201, Body: []byte("a")}))
		store.restore()
		_, err := second.Claim(t.Context(), "w", "s", "key", "digest")
		requireCode(t, err, "outcome-unknown", failure.Unknown)
		time.Sleep(claim.DefaultSettleTime)
		repeated := claimKey(t, second)
		require.False(t, repeated.Owned())
		result, err := repeated.Await(t.Context())
		require.NoError(t, err)
		require.Equal(t, "a", string(result.Body))
	})
}

// Guards against a booking that runs a second time because a restored store has brought back the released record of the
// claim before it.
func TestRecordThatARestoredStoreHasReplaced(t *testing.T) {
	for _, order := range []string{"first", "second"} {
		runRecorders(t, func(t *testing.T, store *fakeStore, first, second *claim.Recorder) {
			if order == "second" {
				first, second = second, first
			}
			released := claimKey(t, first)
			store.save()
			require.NoError(t, released.Release(t.Context()))
			ticket := claimKey(t, second)
			require.True(t, ticket.Owned())
			require.NoError(t, ticket.Finish(t.Context(), claim.Result{Outcome: failure.Ran, Status: 201, Body: []byte("b")}))
			store.restore()
			time.Sleep(claim.DefaultSettleTime + 2*time.Second)
			repeated := claimKey(t, first)
			require.False(t, repeated.Owned())
			result, err := repeated.Await(t.Context())
			require.NoError(t, err)
			require.Equal(t, "b", string(result.Body))
		})
	}
}

// Guards against a call that is sent although the record that protects it may be lost.
func TestTicketOfAnEarlierEraAllowsNoSend(t *testing.T) {
	runRecorders(t, func(t *testing.T, store *fakeStore, first, _ *claim.Recorder) {
		store.save()
		ticket := claimKey(t, first)
		require.NoError(t, ticket.Check())
		store.restore()
		_, ended := errors.AsType[kv.EraEndedError](ticket.Check())
		require.True(t, ended)
		require.Equal(t, failure.NotRun, failure.Of(ticket.Check()).Outcome())
	})
}

// Guards against a key that stays unusable after a store has come back.
func TestKeysCanBeClaimedAgainAfterTheStoreHasSettled(t *testing.T) {
	runRecorders(t, func(t *testing.T, store *fakeStore, first, second *claim.Recorder) {
		store.save()
		store.restore()
		time.Sleep(claim.DefaultSettleTime + 2*time.Second)
		ticket := claimKey(t, second)
		require.True(t, ticket.Owned())
		require.NoError(t, ticket.Check())
		require.NoError(t, ticket.Finish(t.Context(), claim.Result{Outcome: failure.Ran, Status: 200}))
		require.False(t, claimKey(t, first).Owned())
	})
}

// Guards against a second execution under one key, and against the outcome NotRun for a request that was executed, in
// random histories in which the store also comes back from an older copy.
func TestHistoriesWithARestoredStore(t *testing.T) {
	counts := map[string]int{}
	for seed := uint64(1); seed <= 100; seed++ {
		synctest.Test(t, func(t *testing.T) {
			h := &history{rng: rand.New(rand.NewPCG(seed, 2)), counts: counts}
			h.runWithRestores(seed)
			require.True(t, porcupine.CheckOperations(historyModel, h.ops), "seed %d: %+v", seed, h.ops)
		})
	}
	t.Logf("requests by outcome: %v", counts)
	for _, class := range []string{"ran", "not-run", "unknown", "replay"} {
		require.Greater(t, counts[class], 100, "the histories contain too few requests of class %s", class)
	}
}

func (h *history) runWithRestores(seed uint64) {
	store := newFakeStore(seed, 0.1)
	store.eras.Observe(1)
	ctx, cancel := context.WithCancel(context.Background())
	var recorders, callers sync.WaitGroup
	for daemon := range 2 {
		r := &claim.Recorder{Store: store.store(), Era: store.eras.Current}
		recorders.Go(func() { _ = r.Run(ctx) })
		for caller := range 3 {
			callers.Go(func() {
				for range 6 {
					h.runCaller(3*daemon+caller, r, 1)
					time.Sleep(time.Duration(h.random() * float64(5*time.Second)))
				}
			})
		}
	}
	for range 2 {
		time.Sleep(time.Duration(h.random() * float64(6*time.Second)))
		store.save()
		time.Sleep(time.Duration(h.random() * float64(10*time.Second)))
		store.restore()
	}
	callers.Wait()
	cancel()
	recorders.Wait()
	time.Sleep(4 * time.Second) // Delayed writes must be applied before the synctest bubble ends.
}

// Guards against keys that can't be claimed for a time because the first answer of the store counts as a new era.
func TestFirstEraLeavesKeysClaimable(t *testing.T) {
	runRecorders(t, func(t *testing.T, store *fakeStore, _, _ *claim.Recorder) {
		era := uint64(0)
		r := &claim.Recorder{Store: store.store(), Era: func() uint64 { return era }}
		_, _ = r.Claim(t.Context(), "w", "s", "k1", "digest")
		era = 1
		_, err := r.Claim(t.Context(), "w", "s", "k2", "digest")
		require.NoError(t, err)
	})
}

// Guards against the outcome of a call that was in flight when the store came back, which the open record written again
// overwrites.
func TestOutcomeOfACallInFlightAtARestoreIsKept(t *testing.T) {
	runRecorders(t, func(t *testing.T, store *fakeStore, first, second *claim.Recorder) {
		store.save()
		ticket := claimKey(t, first)
		require.NoError(t, ticket.Check())
		store.restore()
		// Another claim of the same daemon, or Run, sees the era while the call is in flight.
		_, err := first.Claim(t.Context(), "w", "s", "other", "digest")
		requireCode(t, err, "outcome-unknown", failure.Unknown)
		require.NoError(t, ticket.Finish(t.Context(), claim.Result{Outcome: failure.Ran, Status: 201, Body: []byte("a")}))
		time.Sleep(claim.DefaultSettleTime + 30*time.Second)
		repeated := claimKey(t, second)
		require.False(t, repeated.Owned())
		result, err := repeated.Await(t.Context())
		require.NoError(t, err)
		require.Equal(t, "a", string(result.Body))
	})
}

// Guards against a key that stays blocked after a call that was in flight when the store came back has not run.
func TestReleaseOfACallInFlightAtARestoreIsKept(t *testing.T) {
	runRecorders(t, func(t *testing.T, store *fakeStore, first, second *claim.Recorder) {
		store.save()
		ticket := claimKey(t, first)
		store.restore()
		_, err := first.Claim(t.Context(), "w", "s", "other", "digest")
		requireCode(t, err, "outcome-unknown", failure.Unknown)
		require.NoError(t, ticket.Release(t.Context()))
		time.Sleep(claim.DefaultSettleTime + 30*time.Second)
		require.True(t, claimKey(t, second).Owned())
	})
}

// Guards against bookings that run a second time because a daemon with many records takes longer to write them again than
// the other daemons wait.
func TestManyRecordsAreWrittenAgainInTheSettleTime(t *testing.T) {
	for _, n := range []int{100, 300, 600, 1200} {
		runRecorders(t, func(t *testing.T, store *fakeStore, first, second *claim.Recorder) {
			store.save()
			began := time.Now()
			for i := range n {
				ticket, err := first.Claim(t.Context(), "w", "s", fmt.Sprint("key", i), "digest")
				require.NoError(t, err)
				require.NoError(t, ticket.Finish(t.Context(), claim.Result{Outcome: failure.Ran, Status: 201}))
				time.Sleep(15 * time.Millisecond)
			}
			took := time.Since(began)
			store.restore()
			_, err := second.Claim(t.Context(), "w", "s", "other", "digest")
			requireCode(t, err, "outcome-unknown", failure.Unknown)
			time.Sleep(claim.DefaultSettleTime + 50*time.Millisecond)
			twice := 0
			for i := range n {
				ticket, err := second.Claim(t.Context(), "w", "s", fmt.Sprint("key", i), "digest")
				if err == nil && ticket.Owned() && ticket.Check() == nil {
					twice++
				}
			}
			require.Zero(t, twice, "%d records written in %s before the restore", n, took)
		})
	}
}

// Guards against bookings that run a second time because the store refuses the first of the writes after its return.
func TestRefusedRewriteInTheSettleTime(t *testing.T) {
	runRecorders(t, func(t *testing.T, store *fakeStore, first, second *claim.Recorder) {
		store.save()
		for i := range 40 {
			ticket, err := first.Claim(t.Context(), "w", "s", fmt.Sprint("key", i), "digest")
			require.NoError(t, err)
			require.NoError(t, ticket.Finish(t.Context(), claim.Result{Outcome: failure.Ran, Status: 201}))
		}
		store.restore()
		store.mu.Lock()
		for range 4 {
			store.fail["put"] = append(store.fail["put"], faultRefused)
		}
		store.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		_, err := second.Claim(t.Context(), "w", "s", "other", "digest")
		requireCode(t, err, "outcome-unknown", failure.Unknown)
		time.Sleep(claim.DefaultSettleTime)
		twice := 0
		for i := range 40 {
			ticket, err := second.Claim(t.Context(), "w", "s", fmt.Sprint("key", i), "digest")
			if err == nil && ticket.Owned() && ticket.Check() == nil {
				twice++
			}
		}
		require.Zero(t, twice)
	})
}
