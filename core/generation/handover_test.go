package generation_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
	"radishhollow/core/route"
)

// moveTarget is how an engine responds to the attempt that is to replace a silent stream.
type moveTarget struct {
	name string
	// unsent is the time for which the request is not sent yet, and answer the time until the response after that.
	unsent, answer time.Duration
	err            error
}

// open waits as the target does. It reports the sending of the request to the Driver.
func (m moveTarget) open(ctx context.Context, start generation.Start) error {
	if err := sleepFor(ctx, m.unsent); err != nil {
		return refused{}
	}
	if start.Sent != nil && m.answer > 0 {
		start.Sent()
	}
	if err := sleepFor(ctx, m.answer); err != nil {
		return err
	}
	return m.err
}

func sleepFor(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handoverFixture returns a Driver whose first attempt, at engine a, is silent for a while before event 5 and then goes
// on. All other attempts are made at engine b, which responds as the target does, and a refuses to run the request again.
func handoverFixture(silence time.Duration, target moveTarget) (f *fixture, d *generation.Driver, got func() string) {
	f = &fixture{endpoints: []string{"a", "b"}}
	f.open = func(address string, start generation.Start) ([]step, error) {
		switch {
		case start.Attempt == 1:
			return silentSteps(1, 1, 5, silence), nil
		case address == "a":
			return nil, refused{}
		}
		return eventSteps(start.Attempt, start.Offset+1, silenceEvents, silenceEvents), nil
	}
	d, got = forwardDriver(f)
	open := d.Open
	d.Open = func(ctx context.Context, address string, start generation.Start) (generation.Stream, error) {
		if address == "b" {
			if err := target.open(ctx, start); err != nil {
				f.addresses = append(f.addresses, address)
				return generation.Stream{}, err
			}
		}
		return open(ctx, address, start)
	}
	return f, d, got
}

// Guards against a sound stream that is cut because its engine was silent and the engine that was to replace it refuses,
// cannot be reached or breaks off.
func TestSilentStreamIsKeptUntilItsMoveIsAccepted(t *testing.T) {
	for _, target := range []moveTarget{
		{name: "refused", err: refused{}},
		{name: "refused after a round trip", answer: 10 * time.Millisecond, err: refused{}},
		{name: "unreachable", unsent: time.Second, err: refused{}},
		{name: "no response within the silence", unsent: time.Hour},
		{name: "connection lost", answer: 10 * time.Millisecond, err: io.ErrUnexpectedEOF},
	} {
		for _, retries := range []int{1, 2, 100} {
			t.Run(fmt.Sprintf("%s/%d retries", target.name, retries), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, d, got := handoverFixture(1500*time.Millisecond, target)
					left := retries
					d.TakeRetry = func() bool { left--; return left >= 0 }
					require.NoError(t, runUntil(t, d, requestTime))
					require.Equal(t, eventLines(1, silenceEvents), got())
					require.Contains(t, f.addresses, "b")
					require.Len(t, f.starts, 1, "only the first attempt was opened")
					require.Zero(t, f.count(generation.EventLoss, ""))
				})
			})
		}
	}
}

// Guards against two engines that both work on a stream for long because the second one responds late, against a silent
// stream that is given up before the request is on its way to another engine, and against one that is lost because that
// engine refuses late.
func TestSilentStreamIsGivenUpSoonAfterItsReplacementIsSent(t *testing.T) {
	const unsent, late = 300 * time.Millisecond, 3 * time.Second
	for _, target := range []moveTarget{
		{name: "late response", unsent: unsent, answer: late},
		{name: "late refusal", unsent: unsent, answer: late, err: refused{}},
	} {
		t.Run(target.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, d, got := handoverFixture(time.Hour, target)
				f.endpoints = []string{"a", "b", "c"}
				var sent, closed time.Time
				open := d.Open
				d.Open = func(ctx context.Context, address string, start generation.Start) (generation.Stream, error) {
					if notify := start.Sent; notify != nil {
						start.Sent = func() { sent = time.Now(); notify() }
					}
					stream, err := open(ctx, address, start)
					if address == "a" {
						stream.Close = func() error { closed = time.Now(); return nil }
					}
					return stream, err
				}
				require.NoError(t, runUntil(t, d, requestTime))
				require.Equal(t, eventLines(1, silenceEvents), got())
				require.Equal(t, 200*time.Millisecond, closed.Sub(sent))
			})
		})
	}
}

// Guards against a stream that is taken from an engine which goes on while another one is asked: the other attempt ends at
// once, its retry stays taken, and the next attempt has a number of its own.
func TestSilentEngineGoesOnDuringItsMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, d, got := handoverFixture(time.Second, moveTarget{unsent: time.Hour})
		var attempts []int
		var ended time.Time
		open := d.Open
		d.Open = func(ctx context.Context, address string, start generation.Start) (generation.Stream, error) {
			attempts = append(attempts, start.Attempt)
			stream, err := open(ctx, address, start)
			if address == "b" {
				ended = time.Now()
			}
			return stream, err
		}
		f.open = func(string, generation.Start) ([]step, error) {
			steps := silentSteps(1, 1, 5, time.Second)
			steps[6].wait = time.Second
			return steps, nil
		}
		released := 0
		d.Pick = func(ctx context.Context, criteria route.Criteria) (route.Choice, error) {
			choice, err := f.pick(ctx, criteria)
			if err != nil {
				return choice, err
			}
			released--
			return route.NewChoice(choice.Address(), "", "", func() { released++ }), nil
		}
		began := time.Now()
		require.NoError(t, runUntil(t, d, requestTime))
		require.Equal(t, eventLines(1, silenceEvents), got())
		require.Equal(t, []int{1, 2, 3}, attempts)
		require.Equal(t, 2, f.count(generation.EventMoveFailed, generation.MoveUnneeded))
		require.Zero(t, f.count(generation.EventLoss, ""))
		require.Less(t, ended.Sub(began), 2200*time.Millisecond)
		require.Zero(t, released)
	})
}

// Guards against a stream that is lost because its connection ends while its replacement is opened.
func TestSilentConnectionEndsDuringItsMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, d, got := handoverFixture(0, moveTarget{answer: 100 * time.Millisecond})
		open := f.open
		f.open = func(address string, start generation.Start) ([]step, error) {
			if start.Attempt == 1 {
				return append(eventSteps(1, 1, 4, silenceEvents), step{wait: 350 * time.Millisecond, err: io.EOF}), nil
			}
			return open(address, start)
		}
		require.NoError(t, runUntil(t, d, requestTime))
		require.Equal(t, eventLines(1, silenceEvents), got())
		require.Equal(t, 1, f.count(generation.EventLoss, generation.ClassConnection))
		require.Zero(t, f.count(generation.EventLoss, generation.ClassSilence))
	})
}

// Guards against a retry budget that other requests need and that the moves of one silent stream use up.
func TestRefusedMovesBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, d, got := handoverFixture(15*time.Second, moveTarget{err: refused{}})
		d.WaitBound = 16 * time.Second
		require.NoError(t, runUntil(t, d, requestTime))
		require.Equal(t, eventLines(1, silenceEvents), got())
		require.LessOrEqual(t, f.count(generation.EventMoveFailed, generation.MoveRefused), 20)
		require.Equal(t, 1, f.count(generation.EventKept, generation.ReasonMoveFailed), "the silence is not reported")
	})
}

// Guards against a stream that waits long for its next engine after its own was lost without a sign, because several others
// refuse it.
func TestRefusedMovesOfALostEngineFollowSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a", "b", "c", "d", "e"}}
		f.open = func(address string, start generation.Start) ([]step, error) {
			switch address {
			case "a":
				return append(eventSteps(1, 1, 4, silenceEvents), step{hang: true}), nil
			case "e":
				return eventSteps(start.Attempt, start.Offset+1, silenceEvents, silenceEvents), nil
			}
			return nil, refused{}
		}
		d, got := forwardDriver(f)
		began := time.Now()
		require.NoError(t, runUntil(t, d, requestTime))
		require.Equal(t, eventLines(1, silenceEvents), got())
		require.Less(t, time.Since(began), 700*time.Millisecond)
	})
}
