package generation_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/failure"
	"radishhollow/core/generation"
	"radishhollow/core/guard"
	"radishhollow/core/route"
)

// budget is a retry budget that has its retries only from a certain time on, and records its calls.
type budget struct {
	mu              sync.Mutex
	from            time.Time
	taken, returned int
}

func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.from) {
		return false
	}
	b.taken++
	return true
}

func (b *budget) put() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.returned++
}

// Guards against a stream that stays at a silent engine although it could continue at another one, and against a stream
// that runs at two engines at the same time: the silent one is closed at the moment at which the other one accepts.
func TestSilentEngineIsLeftOnceAMoveIsPossible(t *testing.T) {
	for name, opened := range map[string]bool{"between events": true, "not opened": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fixture{endpoints: []string{"a", "b"}}
				f.open = func(_ string, start generation.Start) ([]step, error) {
					if start.Attempt == 1 {
						return append(eventSteps(1, 1, 4, silenceEvents), step{hang: true}), nil
					}
					return eventSteps(start.Attempt, start.Offset+1, silenceEvents, silenceEvents), nil
				}
				d, got := forwardDriver(f)
				b := &budget{from: time.Now().Add(time.Second)}
				d.TakeRetry, d.ReturnRetry = b.take, b.put
				d.Stalled = func(string) bool { return true }
				var mu sync.Mutex
				var order []string
				at := map[string]time.Time{}
				record := func(format string, args ...any) {
					mu.Lock()
					defer mu.Unlock()
					step := fmt.Sprintf(format, args...)
					if step != "read b" || order[len(order)-1] != step {
						order = append(order, step)
					}
					at[step] = time.Now()
				}
				open := d.Open
				d.Open = func(ctx context.Context, address string, start generation.Start) (generation.Stream, error) {
					record("open %s", address)
					require.Equal(t, address, start.Choice.Address())
					if address == "a" && !opened {
						<-ctx.Done()
						record("close a")
						return generation.Stream{}, ctx.Err()
					}
					stream, err := open(ctx, address, start)
					stream.Close = func() error { record("close %s", address); return nil }
					if address == "b" {
						next := stream.Next
						stream.Next = func(ctx context.Context) (generation.Chunk, error) { record("read b"); return next(ctx) }
					}
					return stream, err
				}
				began := time.Now()
				require.NoError(t, runUntil(t, d, requestTime))
				require.Equal(t, eventLines(1, silenceEvents), got())
				want := []string{"open a", "open b", "close a", "read b", "close b"}
				if !opened {
					want = []string{"open a", "close a", "open b", "read b", "close b"}
				}
				require.Equal(t, want, order)
				require.Equal(t, at["open b"], at["close a"])
				require.Less(t, time.Since(began), 2*time.Second)
				require.Equal(t, []int{1, 0}, []int{b.taken, b.returned})
				require.Equal(t, 1, f.count(generation.EventKept, generation.ReasonRetryBudget))
				require.Equal(t, 1, f.count(generation.EventKept, ""))
				require.Equal(t, 1, f.count(generation.EventLoss, generation.ClassSilence))
			})
		})
	}
}

// Guards against a retry or a reservation that is lost for a move which is not made: because the engine goes on just
// before, or because there is no other endpoint.
func TestUnusedMoveIsReturned(t *testing.T) {
	for name, endpoints := range map[string][]string{"engine goes on": {"a", "b"}, "no other endpoint": {"a"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fixture{endpoints: endpoints}
				f.open = func(_ string, start generation.Start) ([]step, error) {
					return silentSteps(start.Attempt, 1, 5, 450*time.Millisecond), nil
				}
				d, got := forwardDriver(f)
				b := &budget{}
				d.TakeRetry, d.ReturnRetry = b.take, b.put
				released := 0
				d.Pick = func(ctx context.Context, criteria route.Criteria) (route.Choice, error) {
					choice, err := f.pick(ctx, criteria)
					if err != nil || choice.Address() == "a" {
						return choice, err
					}
					// The query of the endpoints' loads takes a while.
					time.Sleep(200 * time.Millisecond)
					return route.NewChoice(choice.Address(), "", "", func() { released++ }), nil
				}
				require.NoError(t, runUntil(t, d, requestTime))
				require.Equal(t, eventLines(1, silenceEvents), got())
				require.Len(t, f.starts, 1)
				require.Positive(t, b.taken)
				require.Equal(t, b.taken, b.returned)
				require.Equal(t, len(endpoints)-1, released)
			})
		})
	}
}

// Guards against a wait for a silent engine without an end: at the deadline of the request, at the wait bound of a
// request without a deadline, and at the end of the connection.
func TestWaitForSilentEngineEnds(t *testing.T) {
	for _, tt := range []struct {
		name     string
		last     step
		deadline time.Duration
		want     time.Duration
		check    func(err error) bool
	}{
		{name: "deadline", last: step{hang: true}, deadline: 5 * time.Second, want: 5 * time.Second,
			check: func(err error) bool { return errors.Is(err, context.DeadlineExceeded) }},
		{name: "wait bound", last: step{hang: true}, want: 2 * time.Second, check: func(err error) bool {
			exceeded, ok := errors.AsType[generation.WaitExceededError](err)
			return ok && failure.Of(exceeded.Cause).Code() == "engine-silent"
		}},
		{name: "connection", last: step{wait: 1200 * time.Millisecond, err: io.ErrUnexpectedEOF}, deadline: 5 * time.Second,
			want: 1320 * time.Millisecond, check: func(err error) bool {
				lost, ok := errors.AsType[generation.EngineLostError](err)
				return ok && errors.Is(lost.Cause, io.ErrUnexpectedEOF)
			}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fixture{endpoints: []string{"a", "b"}}
				f.open = func(string, generation.Start) ([]step, error) {
					return append(eventSteps(1, 1, 4, silenceEvents), tt.last), nil
				}
				d, _ := forwardDriver(f)
				d.MaxRuns = 1
				began, err := time.Now(), error(nil)
				if tt.deadline > 0 {
					err = runUntil(t, d, tt.deadline)
				} else {
					err = d.Run(t.Context())
				}
				require.True(t, tt.check(err), "%v", err)
				require.InDelta(t, tt.want.Seconds(), time.Since(began).Seconds(), 0.1)
				require.Equal(t, 1, f.count(generation.EventKept, generation.ReasonAttemptsUsed))
			})
		})
	}
}

// Guards against a second silence, after a move, that is handled in another way than the first one.
func TestSecondSilenceAfterAMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a", "b", "c"}}
		f.open = func(_ string, start generation.Start) ([]step, error) {
			switch start.Attempt {
			case 1:
				return append(eventSteps(1, 1, 3, silenceEvents), step{hang: true}), nil
			default:
				return silentSteps(start.Attempt, start.Offset+1, 7, 3*time.Second), nil
			}
		}
		d, got := forwardDriver(f)
		d.MaxRuns = 2
		require.NoError(t, runUntil(t, d, requestTime))
		require.Equal(t, eventLines(1, silenceEvents), got())
		require.Len(t, f.starts, 2)
		require.Equal(t, 1, f.count(generation.EventLoss, generation.ClassSilence))
		require.Equal(t, 1, f.count(generation.EventKept, generation.ReasonAttemptsUsed))
	})
}

// Guards against a retry of a refused attempt that is attributed to the wrong attempt: the first one is not charged, even
// if a move was reserved while it was opened.
func TestRefusedAttemptReportsItsRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a", "b", "c"}}
		f.open = func(address string, start generation.Start) ([]step, error) {
			if address == "b" {
				return nil, refused{}
			}
			return eventSteps(start.Attempt, start.Offset+1, silenceEvents, silenceEvents), nil
		}
		d, got := forwardDriver(f)
		b := &budget{}
		d.TakeRetry, d.ReturnRetry = b.take, b.put
		d.Stalled = func(string) bool { return true }
		open := d.Open
		d.Open = func(ctx context.Context, address string, start generation.Start) (generation.Stream, error) {
			if address == "a" {
				<-ctx.Done()
				return generation.Stream{}, refused{}
			}
			return open(ctx, address, start)
		}
		require.NoError(t, runUntil(t, d, requestTime))
		require.Equal(t, eventLines(1, silenceEvents), got())
		charged := map[string]bool{}
		for _, e := range f.events {
			if e.Kind == generation.EventRefused {
				charged[e.Address] = e.Charged
			}
		}
		require.Equal(t, map[string]bool{"a": false, "b": true}, charged)
		require.Equal(t, 2, b.taken)
	})
}

// Guards against a panic in the goroutine that watches an attempt, which would end the process.
func TestPanicWhileOpeningEndsTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a"}}
		f.open = func(string, generation.Start) ([]step, error) { return nil, nil }
		d, _ := forwardDriver(f)
		d.MaxRuns = 1
		d.Stalled = func(string) bool { panic("stalled") }
		openAfter(d, time.Hour)
		_, panicked := errors.AsType[guard.PanicError](runUntil(t, d, requestTime))
		require.True(t, panicked)
	})
}

// Guards against a stream that is given up for a move which comes too late: the pick ends after the wait bound, at which
// the new attempt would be given up.
func TestMoveReservedAfterTheWaitBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a", "b"}}
		f.open = func(_ string, start generation.Start) ([]step, error) {
			return silentSteps(start.Attempt, 1, 5, 2500*time.Millisecond), nil
		}
		d, got := forwardDriver(f)
		b := &budget{from: time.Now().Add(1700 * time.Millisecond)}
		d.TakeRetry, d.ReturnRetry = b.take, b.put
		d.Pick = func(ctx context.Context, criteria route.Criteria) (route.Choice, error) {
			if criteria.Exclude["a"] {
				time.Sleep(300 * time.Millisecond)
			}
			return f.pick(ctx, criteria)
		}
		require.NoError(t, runUntil(t, d, requestTime))
		require.Equal(t, eventLines(1, silenceEvents), got())
		require.Len(t, f.starts, 1)
		require.Equal(t, []int{1, 1}, []int{b.taken, b.returned})
	})
}

// Guards against a stream that is cut although it left its silent engine by choice: the engine of the move refuses, and
// the retry budget is empty for a moment. A stream whose connection ended is not waited for.
func TestRefusedMoveWaitsForTheRetryBudget(t *testing.T) {
	for name, last := range map[string]step{"silent": {hang: true}, "connection ended": {err: io.ErrUnexpectedEOF}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fixture{endpoints: []string{"a", "b", "c"}}
				f.open = func(address string, start generation.Start) ([]step, error) {
					switch address {
					case "a":
						return append(eventSteps(1, 1, 4, silenceEvents), last), nil
					case "b":
						return nil, refused{}
					}
					return eventSteps(start.Attempt, start.Offset+1, silenceEvents, silenceEvents), nil
				}
				d, got := forwardDriver(f)
				began, taken, released := time.Now(), 0, 0
				d.TakeRetry = func() bool {
					if taken > 0 && time.Since(began) < 1200*time.Millisecond {
						return false
					}
					taken++
					return true
				}
				d.Pick = func(ctx context.Context, criteria route.Criteria) (route.Choice, error) {
					choice, err := f.pick(ctx, criteria)
					if err != nil {
						return choice, err
					}
					released--
					return route.NewChoice(choice.Address(), "", "", func() { released++ }), nil
				}
				err := runUntil(t, d, requestTime)
				require.Zero(t, released)
				if !last.hang {
					_, exhausted := errors.AsType[generation.RetryBudgetError](err)
					require.True(t, exhausted)
					return
				}
				require.NoError(t, err)
				require.Equal(t, eventLines(1, silenceEvents), got())
				require.Equal(t, 2, taken)
			})
		})
	}
}
