package generation_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
	"radishhollow/core/route"
)

const (
	silenceEvents = 9
	// requestTime is the time limit of the requests of these tests, well above the silences and the wait bound.
	requestTime = 20 * time.Second
)

// silentSteps returns the steps of an attempt that is silent for the given time before the event with this id and then
// goes on to the end.
func silentSteps(attempt, first, silentBefore int, silence time.Duration) []step {
	steps := eventSteps(attempt, first, silenceEvents, silenceEvents)
	steps[silentBefore-first].wait = silence
	return steps
}

// noMove is a reason for which a stream cannot be moved to another engine. Its function changes a Driver and the
// fixture so that the reason applies from the attempt with the given number on.
type noMove struct {
	name  string
	apply func(d *generation.Driver, f *fixture, attempt int)
}

func noMoves() []noMove {
	return []noMove{
		{name: "attempts used up", apply: func(d *generation.Driver, _ *fixture, attempt int) { d.MaxRuns = attempt }},
		{name: "retry budget empty", apply: func(d *generation.Driver, _ *fixture, attempt int) {
			left := attempt - 1
			d.TakeRetry = func() bool { left--; return left >= 0 }
		}},
		{name: "not admitted", apply: func(d *generation.Driver, _ *fixture, _ int) {
			d.AdmitMove = func() error { return refused{} }
		}},
		{name: "no other endpoint", apply: func(_ *generation.Driver, f *fixture, attempt int) {
			if attempt == 1 {
				f.endpoints = f.endpoints[:1]
				return
			}
			open := f.open
			f.open = func(address string, start generation.Start) ([]step, error) {
				if start.Attempt == attempt {
					f.endpoints = []string{address}
				}
				return open(address, start)
			}
		}},
	}
}

// forwardDriver returns an eventDriver whose timeouts and wait bound are as short as those of the forwarding server.
func forwardDriver(f *fixture) (d *generation.Driver, got func() string) {
	d, got = eventDriver(f, 0)
	d.Timeouts = generation.Timeouts{Floor: 300 * time.Millisecond, Ceiling: 400 * time.Millisecond, First: 12 * time.Second}
	d.WaitBound = 2 * time.Second
	return d, got
}

// runUntil runs the Driver with a time limit for the request.
func runUntil(t *testing.T, d *generation.Driver, limit time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	return d.Run(ctx)
}

// Guards against a response that is cut because a sound engine was silent for a while, although no other engine could
// continue the stream.
func TestSilentEngineIsKept(t *testing.T) {
	for _, reason := range noMoves() {
		for _, tt := range []struct {
			name    string
			before  int // the event before which the engine is silent
			silence time.Duration
			stalled bool
		}{
			{name: "between events", before: 5, silence: 1500 * time.Millisecond},
			{name: "between events, beyond the wait bound", before: 5, silence: 3 * time.Second},
			{name: "between events, stalled", before: 5, silence: 1500 * time.Millisecond, stalled: true},
			{name: "before the first event, stalled", before: 1, silence: 1500 * time.Millisecond, stalled: true},
			{name: "before the first event, beyond its timeout", before: 1, silence: 13 * time.Second},
		} {
			t.Run(reason.name+"/"+tt.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := &fixture{endpoints: []string{"a", "b"}}
					f.open = func(_ string, start generation.Start) ([]step, error) {
						return silentSteps(start.Attempt, start.Offset+1, max(tt.before, start.Offset+1), tt.silence), nil
					}
					d, got := forwardDriver(f)
					d.Stalled = func(string) bool { return tt.stalled }
					reason.apply(d, f, 1)
					require.NoError(t, runUntil(t, d, requestTime))
					require.Equal(t, eventLines(1, silenceEvents), got())
					require.Len(t, f.starts, 1)
					require.Zero(t, f.count(generation.EventLoss, ""))
				})
			})
		}
	}
}

// Guards against a resumed stream that is cut because its second engine is silent, before or after its first event.
func TestSilentEngineIsKeptAfterResume(t *testing.T) {
	for _, reason := range noMoves() {
		for name, before := range map[string]int{"while recovering": 5, "after new output": 7} {
			t.Run(reason.name+"/"+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := &fixture{endpoints: []string{"a", "b", "c"}}
					f.open = func(_ string, start generation.Start) ([]step, error) {
						if start.Attempt == 1 {
							return append(eventSteps(1, 1, 4, silenceEvents), step{err: io.ErrUnexpectedEOF}), nil
						}
						return silentSteps(start.Attempt, start.Offset+1, before, 2500*time.Millisecond), nil
					}
					d, got := forwardDriver(f)
					reason.apply(d, f, 2)
					require.NoError(t, runUntil(t, d, requestTime))
					require.Equal(t, eventLines(1, silenceEvents), got())
					require.Len(t, f.starts, 2)
					require.Zero(t, f.count(generation.EventLoss, generation.ClassSilence))
				})
			})
		}
	}
}

// openAfter makes the Open of the Driver wait for the response header for the given time.
func openAfter(d *generation.Driver, delay time.Duration) {
	open := d.Open
	d.Open = func(ctx context.Context, address string, start generation.Start) (generation.Stream, error) {
		stream, err := open(ctx, address, start)
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
			return stream, err
		case <-ctx.Done():
			return generation.Stream{}, ctx.Err()
		}
	}
}

// Guards against an error before the first event that is sent sooner than necessary, because the engine has not sent its
// header yet and no other engine could run the request.
func TestSilentEngineIsKeptWhileItOpens(t *testing.T) {
	for _, reason := range noMoves() {
		for _, tt := range []struct {
			name    string
			silence time.Duration
			stalled bool
		}{
			{name: "stalled", silence: 1500 * time.Millisecond, stalled: true},
			{name: "beyond the wait bound", silence: 3 * time.Second},
			{name: "beyond the timeout of the first event", silence: 13 * time.Second},
		} {
			t.Run(reason.name+"/"+tt.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := &fixture{endpoints: []string{"a", "b"}}
					f.open = func(_ string, start generation.Start) ([]step, error) {
						return eventSteps(start.Attempt, start.Offset+1, silenceEvents, silenceEvents), nil
					}
					d, got := forwardDriver(f)
					d.Stalled = func(string) bool { return tt.stalled }
					openAfter(d, tt.silence)
					reason.apply(d, f, 1)
					require.NoError(t, runUntil(t, d, requestTime))
					require.Equal(t, eventLines(1, silenceEvents), got())
					require.Len(t, f.starts, 1)
					require.Zero(t, f.count(generation.EventLoss, ""))
				})
			})
		}
	}
}

// Guards against a caller that reconnects with its cursor alone and loses its stream, because the engine that runs it is
// silent for a while and no other engine can continue it.
func TestSilentEngineIsKeptWhileItAttaches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"b"}}
		d := f.driver(9)
		d.Attach = func(ctx context.Context, _, _ string, attempt, offset int) (generation.Stream, error) {
			timer := time.NewTimer(1500 * time.Millisecond)
			defer timer.Stop()
			select {
			case <-timer.C:
				return scriptedStream(tokenSteps(attempt, offset, 9, 9)), nil
			case <-ctx.Done():
				return generation.Stream{}, ctx.Err()
			}
		}
		var err error
		d.Log, err = generation.ResumeLog(generation.Cursor{
			Generation: fakeID, Attempt: 1, Offset: 5, Spec: fakeSpec.String(), Digest: generation.DigestOf(referenceTokens(9)[:5]),
		}, []uint32{1, 2, 3}, nil)
		require.NoError(t, err)
		d.AttachTo = route.NewChoice("a", "i-a", "p", nil)
		require.NoError(t, d.Run(t.Context()))
		require.Equal(t, referenceTokens(9)[5:], f.got)
	})
}

// Guards against a stream that is kept after the wait bound and never moved, although its engine has stopped responding
// and a move has become possible, and against one that is taken from an engine that is only slow.
func TestKeptStreamAfterTheWaitBound(t *testing.T) {
	for _, tt := range []struct {
		name    string
		before  int // the event before which the engine is silent; 0 stands for the header
		stalled bool
	}{
		{name: "stalled", before: 5, stalled: true},
		{name: "slow", before: 5},
		{name: "stalled before the first event", before: 1, stalled: true},
		{name: "slow before the first event", before: 1},
		{name: "stalled before the header", stalled: true},
		{name: "slow before the header"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const silence = 8 * time.Second
				f := &fixture{endpoints: []string{"a", "b"}}
				f.open = func(address string, start generation.Start) ([]step, error) {
					if address == "a" {
						return silentSteps(start.Attempt, 1, max(tt.before, 1), silence), nil
					}
					return eventSteps(start.Attempt, start.Offset+1, silenceEvents, silenceEvents), nil
				}
				d, got := forwardDriver(f)
				b := &budget{from: time.Now().Add(5 * time.Second)}
				d.TakeRetry, d.ReturnRetry = b.take, b.put
				d.Stalled = func(address string) bool { return tt.stalled && address == "a" }
				open := d.Open
				d.Open = func(ctx context.Context, address string, start generation.Start) (generation.Stream, error) {
					stream, err := open(ctx, address, start)
					if address == "a" && tt.before == 0 {
						if err := sleepFor(ctx, silence); err != nil {
							return generation.Stream{}, err
						}
					}
					return stream, err
				}
				began := time.Now()
				require.NoError(t, runUntil(t, d, requestTime))
				require.Equal(t, eventLines(1, silenceEvents), got())
				want := 1
				if tt.stalled {
					want = 2
					require.Less(t, time.Since(began), 6*time.Second)
				}
				require.Len(t, f.starts, want)
				require.Equal(t, want-1, b.taken-b.returned)
			})
		})
	}
}

// Guards against a request that ends without an answer because its engine was given up before its header and the next one
// refuses beyond the wait bound.
func TestRefusalsAfterASilentOpeningAreOutlasted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a", "b"}}
		began := time.Now()
		f.open = func(_ string, start generation.Start) ([]step, error) {
			if time.Since(began) < 5*time.Second {
				return nil, refused{}
			}
			return eventSteps(start.Attempt, 1, silenceEvents, silenceEvents), nil
		}
		d, got := forwardDriver(f)
		d.Stalled = func(string) bool { return true }
		open := d.Open
		d.Open = func(ctx context.Context, address string, start generation.Start) (generation.Stream, error) {
			if start.Attempt == 1 {
				<-ctx.Done()
				return generation.Stream{}, ctx.Err()
			}
			return open(ctx, address, start)
		}
		require.NoError(t, runUntil(t, d, requestTime))
		require.Equal(t, eventLines(1, silenceEvents), got())
		require.Len(t, f.addresses, len(f.starts))
	})
}
