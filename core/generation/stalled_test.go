package generation_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
)

// Guards against a caller that waits for the whole first-chunk timeout on an engine that other streams have found
// silent.
func TestDriverLeavesStalledEngine(t *testing.T) {
	for name, opened := range map[string]bool{"opened": true, "not opened": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const total = 6
				began := time.Now()
				f := &fixture{endpoints: []string{"a", "b"}}
				f.open = func(_ string, start generation.Start) ([]step, error) {
					if start.Attempt == 1 {
						return []step{{hang: true}}, nil
					}
					return tokenSteps(start.Attempt, start.Offset, total, total), nil
				}
				d := f.driver(total)
				d.Stalled = func(address string) bool { return address == "a" && time.Since(began) > 700*time.Millisecond }
				open := d.Open
				d.Open = func(ctx context.Context, address string, start generation.Start) (generation.Stream, error) {
					if address == "a" && !opened {
						<-ctx.Done()
						return generation.Stream{}, ctx.Err()
					}
					return open(ctx, address, start)
				}
				require.NoError(t, d.Run(t.Context()))
				require.Equal(t, referenceTokens(total), f.got)
				require.Equal(t, 1, f.count(generation.EventLoss, generation.ClassSilence))
				require.LessOrEqual(t, f.events[len(f.events)-total].Wait, 900*time.Millisecond)
			})
		})
	}
}

// Guards against a failover of a stream that is only between two tokens while its engine has missed load reports.
func TestDriverKeepsStreamWithinFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a"}}
		f.open = func(string, generation.Start) ([]step, error) { return tokenSteps(1, 0, 9, 9), nil }
		d := f.driver(9)
		d.Stalled = func(string) bool { return true }
		require.NoError(t, d.Run(t.Context()))
		require.Zero(t, f.count(generation.EventLoss, ""))
	})
}

// Guards against an engine that recovers from a freeze and continues a superseded stream until its detach hold ends.
func TestCancelerRepeatsUnanswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, answered := time.Now(), 0
		c := &generation.Canceler{Send: func(ctx context.Context, _, _ string, _ int) error {
			if time.Since(began) < 4*time.Second {
				<-ctx.Done()
				return ctx.Err()
			}
			answered++
			return nil
		}}
		c.Cancel("a", "g", 1, 0)
		time.Sleep(9 * time.Second)
		require.NoError(t, c.Close())
		require.Equal(t, 2, answered, "the second call cancels an attempt that the engine starts after the first")
	})
}

// Guards against a daemon that was itself paused and gives up engines whose output it has not read yet.
func TestDriverToleratesOwnPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 9
		f := &fixture{endpoints: []string{"a", "b"}}
		f.open = func(string, generation.Start) ([]step, error) { return tokenSteps(1, 0, total, total), nil }
		d := f.driver(total)
		open, calls := d.Open, 0
		d.Open = func(ctx context.Context, address string, start generation.Start) (generation.Stream, error) {
			stream, err := open(ctx, address, start)
			next := stream.Next
			stream.Next = func(ctx context.Context) (generation.Chunk, error) {
				if calls++; calls == total/2 {
					// Simulate a pause of the daemon: the reader runs again long after the deadline.
					<-ctx.Done()
					time.Sleep(500 * time.Millisecond)
					return generation.Chunk{}, ctx.Err()
				}
				return next(ctx)
			}
			return stream, err
		}
		require.NoError(t, d.Run(t.Context()))
		require.Equal(t, referenceTokens(total), f.got)
		require.Zero(t, f.count(generation.EventLoss, ""))
	})
}

// Guards against a request that is moved from the queue of an engine that is alive: its prefill would be repeated on
// another engine, and it would end with wait-exceeded when all engines have queues. Also guards against an unbounded
// wait.
func TestDriverWaitsInEngineQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 4
		f := &fixture{endpoints: []string{"a", "b"}}
		f.open = func(_ string, start generation.Start) ([]step, error) {
			steps := tokenSteps(start.Attempt, start.Offset, total, total)
			if start.Attempt == 1 {
				steps[0].wait = 6 * time.Second
			}
			return steps, nil
		}
		d := f.driver(total)
		d.Queued = func(string) bool { return true }
		require.NoError(t, d.Run(t.Context()))
		require.Equal(t, referenceTokens(total), f.got)
		require.Zero(t, f.count(generation.EventLoss, ""))

		f = &fixture{endpoints: []string{"a"}}
		f.open = func(string, generation.Start) ([]step, error) { return []step{{hang: true}}, nil }
		d = f.driver(total)
		d.Queued = func(string) bool { return true }
		began := time.Now()
		require.Error(t, d.Run(t.Context()))
		require.LessOrEqual(t, time.Since(began), generation.DefaultQueueWaitBound+time.Second)
	})
}

// Guards against a wait for the first chunk after a loss that goes on without a pause, and so takes a whole CPU, from the
// wait bound up to the timeout of the first chunk.
func TestStallChecksEndAtTheWaitBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a", "b"}}
		f.open = func(_ string, start generation.Start) ([]step, error) {
			if start.Attempt == 1 {
				return append(tokenSteps(1, 0, 3, 9), step{err: io.ErrUnexpectedEOF}), nil
			}
			return []step{{hang: true}}, nil
		}
		d := f.driver(9)
		d.Timeouts.First = 12 * time.Second
		checks := 0
		d.Stalled = func(string) bool {
			checks++
			require.Less(t, checks, 1000)
			return false
		}
		began := time.Now()
		require.ErrorAs(t, d.Run(t.Context()), &generation.WaitExceededError{})
		require.LessOrEqual(t, time.Since(began), generation.DefaultWaitBound+100*time.Millisecond)
	})
}
