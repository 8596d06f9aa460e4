package generation_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
)

// Guards against a caller that waits the whole first deadline on an engine that other streams have found silent.
func TestDriverLeavesStalledEngine(t *testing.T) {
	for name, open := range map[string]bool{"opened": true, "not opened": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const total = 6
				began := time.Now()
				f := &fixture{endpoints: []string{"a", "b"}}
				f.open = func(_ string, start generation.Start) ([]step, error) {
					if start.Attempt == 1 {
						return []step{{hang: true}}, nil
					}
					return run(start.Attempt, start.Offset, total, total), nil
				}
				d := f.driver(total)
				d.Stalled = func(address string) bool { return address == "a" && time.Since(began) > 700*time.Millisecond }
				next := d.Open
				d.Open = func(ctx context.Context, address string, start generation.Start) (generation.Stream, error) {
					if address == "a" && !open {
						<-ctx.Done()
						return generation.Stream{}, ctx.Err()
					}
					return next(ctx, address, start)
				}
				require.NoError(t, d.Run(t.Context()))
				require.Equal(t, reference(total), f.got)
				require.Equal(t, 1, f.count(generation.EventLoss, generation.ClassSilence))
				require.LessOrEqual(t, f.events[len(f.events)-total].Wait, 900*time.Millisecond)
			})
		})
	}
}

// Guards against a failover of a stream that is merely between two tokens while its engine has missed reports.
func TestDriverKeepsStreamWithinFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a"}}
		f.open = func(string, generation.Start) ([]step, error) { return run(1, 0, 9, 9), nil }
		d := f.driver(9)
		d.Stalled = func(string) bool { return true }
		require.NoError(t, d.Run(t.Context()))
		require.Zero(t, f.count(generation.EventLoss, ""))
	})
}

// Guards against an engine that wakes from a freeze and continues a superseded stream until its detach hold ends.
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
		require.Equal(t, 2, answered, "the second follows the start that the engine held back")
	})
}

// Guards against a daemon that was paused itself and gives up engines whose output waits unread.
func TestDriverForgivesOwnPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 9
		f := &fixture{endpoints: []string{"a", "b"}}
		f.open = func(string, generation.Start) ([]step, error) { return run(1, 0, total, total), nil }
		d := f.driver(total)
		next, calls := d.Open, 0
		d.Open = func(ctx context.Context, address string, start generation.Start) (generation.Stream, error) {
			stream, err := next(ctx, address, start)
			read := stream.Next
			stream.Next = func(ctx context.Context) (generation.Chunk, error) {
				if calls++; calls == total/2 {
					// The deadline passes long before the reader runs again.
					<-ctx.Done()
					time.Sleep(500 * time.Millisecond)
					return generation.Chunk{}, ctx.Err()
				}
				return read(ctx)
			}
			return stream, err
		}
		require.NoError(t, d.Run(t.Context()))
		require.Equal(t, reference(total), f.got)
		require.Zero(t, f.count(generation.EventLoss, ""))
	})
}

// Guards against a request that is taken from the queue of a living engine, which repeats its prefill elsewhere and ends
// with wait-exceeded when all engines have queues; and against a wait without end.
func TestDriverWaitsInEngineQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 4
		f := &fixture{endpoints: []string{"a", "b"}}
		f.open = func(_ string, start generation.Start) ([]step, error) {
			steps := run(start.Attempt, start.Offset, total, total)
			if start.Attempt == 1 {
				steps[0].wait = 6 * time.Second
			}
			return steps, nil
		}
		d := f.driver(total)
		d.Queued = func(string) bool { return true }
		require.NoError(t, d.Run(t.Context()))
		require.Equal(t, reference(total), f.got)
		require.Zero(t, f.count(generation.EventLoss, ""))

		f = &fixture{endpoints: []string{"a"}}
		f.open = func(string, generation.Start) ([]step, error) { return []step{{hang: true}}, nil }
		d = f.driver(total)
		d.Queued = func(string) bool { return true }
		began := time.Now()
		require.Error(t, d.Run(t.Context()))
		require.LessOrEqual(t, time.Since(began), generation.DefaultFirstBound+time.Second)
	})
}
