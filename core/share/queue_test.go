package share_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"radishhollow/core/failure"
	"radishhollow/core/share"
)

func limits(capacity int) share.Limits {
	return share.Limits{Capacity: capacity, BookingCapacity: 1, PerWorkspace: 100, Total: 1000}
}

// runWorkspace keeps n requests of one workspace waiting or in progress until the context ends, and counts the tokens
// served.
func runWorkspace(
	ctx context.Context, q *share.Queue, workspace string, weight float64, tokens, n int, served *atomic.Int64,
) {
	for range n {
		go func() {
			for {
				release, err := q.Acquire(ctx, share.Request{Workspace: workspace, Share: weight, Tokens: tokens})
				if err != nil {
					return
				}
				time.Sleep(time.Duration(tokens) * time.Millisecond)
				release()
				served.Add(int64(tokens))
			}
		}()
	}
}

// Guards against a workspace with many or large requests taking more than its share, and against starvation.
func TestSharesUnderOverload(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		capacity := rapid.IntRange(2, 8).Draw(rt, "capacity")
		weights := []float64{1, float64(rapid.IntRange(1, 4).Draw(rt, "weight")), 1}
		tokens := []int{10, rapid.IntRange(5, 40).Draw(rt, "tokens"), rapid.IntRange(5, 40).Draw(rt, "others")}
		backlog := []int{90, 20, 20}
		served := make([]atomic.Int64, 3)
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			q := share.New(limits(capacity))
			for i := range weights {
				runWorkspace(ctx, q, fmt.Sprint(i), weights[i], tokens[i], backlog[i], &served[i])
			}
			<-ctx.Done()
			time.Sleep(time.Second)
			require.Zero(t, q.Waiting())
		})
		got := []float64{float64(served[0].Load()), float64(served[1].Load()), float64(served[2].Load())}
		sum, shares := got[0]+got[1]+got[2], weights[0]+weights[1]+weights[2]
		for i := range weights {
			want := weights[i] / shares
			require.InEpsilon(rt, want, got[i]/sum, 0.05, "workspace %d of %v", i, got)
		}
	})
}

// Guards against a workspace with little load waiting behind the backlog of another.
func TestNoStarvation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		q := share.New(limits(2))
		var served atomic.Int64
		runWorkspace(ctx, q, "large", 100, 100, 90, &served)
		time.Sleep(10 * time.Second)
		started := time.Now()
		release, err := q.Acquire(ctx, share.Request{Workspace: "small", Share: 1, Tokens: 100})
		require.NoError(t, err)
		require.Less(t, time.Since(started), 200*time.Millisecond)
		release()
		cancel()
		synctest.Wait()
		time.Sleep(time.Second)
	})
}

// Guards against canceled or expired waiters that still count as waiting or keep their slot.
func TestCancelledWaitersLeaveTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := share.New(share.Limits{Capacity: 1, PerWorkspace: 2, Total: 3})
		releaseFirst, err := q.Acquire(t.Context(), share.Request{Workspace: "a"})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		results := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := q.Acquire(ctx, share.Request{Workspace: "a", Tokens: 1000})
				results <- err
			}()
		}
		synctest.Wait()
		_, err = q.Acquire(t.Context(), share.Request{Workspace: "a"})
		var overloaded share.OverloadedError
		require.ErrorAs(t, err, &overloaded)
		require.Equal(t, "workspace-queue", overloaded.Limit)
		require.GreaterOrEqual(t, overloaded.RetryAfter, time.Second)
		cancel()
		for range 2 {
			err := <-results
			require.ErrorIs(t, err, context.Canceled)
			require.Equal(t, failure.NotRun, failure.Of(err).Outcome())
		}
		require.Zero(t, q.Waiting())
		_, err = q.Acquire(t.Context(), share.Request{Workspace: "a", Deadline: time.Now().Add(time.Second)})
		require.ErrorAs(t, err, &overloaded)
		require.Equal(t, "deadline", overloaded.Limit)
		require.Zero(t, q.Waiting())
		releaseFirst()
		releaseFirst()
		release, err := q.Acquire(t.Context(), share.Request{Workspace: "b"})
		require.NoError(t, err)
		release()
	})
}

// Guards against slots lost or granted twice when grants and cancellations race.
func TestSlotsUnderCancellation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		waits := rapid.SliceOfN(rapid.IntRange(1, 50), 10, 60).Draw(rt, "waits")
		synctest.Test(t, func(t *testing.T) {
			q := share.New(limits(3))
			var mu sync.Mutex
			busy, most := 0, 0
			for i, wait := range waits {
				go func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(wait)*10*time.Millisecond)
					defer cancel()
					release, err := q.Acquire(ctx, share.Request{Workspace: fmt.Sprint(i % 4), Tokens: wait})
					if err != nil {
						return
					}
					mu.Lock()
					busy++
					most = max(most, busy)
					mu.Unlock()
					time.Sleep(30 * time.Millisecond)
					mu.Lock()
					busy--
					mu.Unlock()
					release()
				}()
				time.Sleep(time.Millisecond)
			}
			time.Sleep(time.Minute)
			synctest.Wait()
			require.LessOrEqual(t, most, 3)
			require.Zero(t, q.Waiting())
			for range 3 {
				_, err := q.Acquire(t.Context(), share.Request{Workspace: "a", Deadline: time.Now().Add(time.Second)})
				require.NoError(t, err)
			}
		})
	})
}

// Guards against a slot lost when a waiter is granted and canceled at the same time.
func TestGrantRacesWithCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := share.New(limits(1))
		for range 100 {
			releaseFirst, err := q.Acquire(t.Context(), share.Request{Workspace: "a", Deadline: time.Now().Add(time.Second)})
			require.NoError(t, err)
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				if release, err := q.Acquire(ctx, share.Request{Workspace: "b"}); err == nil {
					release()
				}
			}()
			synctest.Wait()
			cancel()
			releaseFirst()
			synctest.Wait()
		}
	})
}

// Guards against a workspace that gains priority from the time in which it was idle.
func TestIdleTimeGivesNoCredit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		q := share.New(limits(2))
		var first, second atomic.Int64
		runWorkspace(ctx, q, "a", 1, 10, 50, &first)
		time.Sleep(20 * time.Second)
		before := first.Load()
		runWorkspace(ctx, q, "b", 1, 10, 50, &second)
		time.Sleep(10 * time.Second)
		require.InEpsilon(t, second.Load(), first.Load()-before, 0.05)
		cancel()
		time.Sleep(time.Second)
	})
}

// Guards against resumes and bookings waiting behind generations, and against a capacity change without effect.
func TestClassesAndCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := share.New(limits(1))
		releaseFirst, err := q.Acquire(t.Context(), share.Request{Workspace: "a"})
		require.NoError(t, err)
		granted := make(chan struct{})
		go func() {
			defer close(granted)
			release, err := q.Acquire(t.Context(), share.Request{Workspace: "a"})
			if err == nil {
				release()
			}
		}()
		synctest.Wait()
		for _, class := range []share.Class{share.ClassResume, share.ClassBooking} {
			release, err := q.Acquire(t.Context(), share.Request{Workspace: "a", Class: class})
			require.NoError(t, err)
			release()
		}
		require.Equal(t, 1, q.Waiting())
		q.SetCapacity(2)
		<-granted
		require.Zero(t, q.Waiting())
		releaseFirst()
	})
}

// Guards against queueing work that would miss its deadline while it waits.
func TestEarlyRejection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		q, served := share.New(limits(1)), atomic.Int64{}
		runWorkspace(ctx, q, "a", 1, 1000, 20, &served)
		time.Sleep(5500 * time.Millisecond)
		started := time.Now()
		_, err := q.Acquire(ctx, share.Request{Workspace: "a", Tokens: 1000, Deadline: started.Add(10 * time.Second)})
		var overloaded share.OverloadedError
		require.ErrorAs(t, err, &overloaded)
		require.Equal(t, "estimated-wait", overloaded.Limit)
		require.Equal(t, started, time.Now())
		cancel()
		time.Sleep(time.Minute)
	})
}

// BenchmarkAcquire measures Acquire and release with many workspaces waiting for few slots.
func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{1, 76} {
		b.Run(fmt.Sprintf("callers-per-core-%d", n), func(b *testing.B) {
			q := share.New(share.Limits{Capacity: 8, PerWorkspace: 10, Total: 10000})
			var callers atomic.Int64
			b.SetParallelism(n)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				workspace := fmt.Sprint(callers.Add(1))
				for pb.Next() {
					release, err := q.Acquire(b.Context(), share.Request{Workspace: workspace, Tokens: 100})
					if err != nil {
						b.Error(err)
						return
					}
					release()
				}
			})
		})
	}
}
