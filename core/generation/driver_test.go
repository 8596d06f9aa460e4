package generation_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/failure"
	"radishhollow/core/generation"
	"radishhollow/core/route"
)

// Each case guards against a missing or repeated token, or one of another stream, after one kind of loss, and against a
// wait above its bound.
func TestDriverContinuesAfterLoss(t *testing.T) {
	const total = 12
	otherGeneration := generation.NewChunk("generation-2", 1, fakeSpec, 5, []uint32{9}, " w9", generation.NotFinished)
	otherSpec := generation.NewSpec("m", "2", "", "")
	specChanged := generation.NewChunk(fakeID, 1, otherSpec, 5, []uint32{9}, " w9", generation.NotFinished)
	tests := []struct {
		name     string
		first    []step
		second   []step
		class    string
		attempts int
		wait     time.Duration
	}{
		{name: "broken connection", first: append(tokenSteps(1, 0, 5, total), step{err: io.ErrUnexpectedEOF}),
			class: generation.ClassConnection, attempts: 2, wait: 100 * time.Millisecond},
		{name: "end marker without finish reason", first: tokenSteps(1, 0, 5, total),
			class: generation.ClassConnection, attempts: 2, wait: 100 * time.Millisecond},
		{name: "freeze and recovery", first: append(append(tokenSteps(1, 0, 5, total), step{wait: 5 * time.Second,
			chunk: referenceChunk(1, 5, 6, total)}), tokenSteps(1, 6, total, total)...),
			class: generation.ClassSilence, attempts: 2, wait: 1500 * time.Millisecond},
		{name: "gap", first: append(tokenSteps(1, 0, 5, total), tokenSteps(1, 6, total, total)...),
			class: generation.ClassCrossed, attempts: 2, wait: 100 * time.Millisecond},
		{name: "crossed chunk", first: append(tokenSteps(1, 0, 5, total), step{chunk: otherGeneration}),
			class: generation.ClassCrossed, attempts: 2, wait: 100 * time.Millisecond},
		{name: "spec change", first: append(tokenSteps(1, 0, 5, total), step{chunk: specChanged}),
			class: generation.ClassCrossed, attempts: 2, wait: 100 * time.Millisecond},
		{name: "loss before the first chunk", first: []step{{hang: true}},
			class: generation.ClassSilence, attempts: 2, wait: 2100 * time.Millisecond},
		{name: "two losses in a row", first: append(tokenSteps(1, 0, 5, total), step{err: io.ErrUnexpectedEOF}),
			second: []step{{hang: true}}, class: "", attempts: 3, wait: 2100 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fixture{endpoints: []string{"a", "b", "c"}}
				f.open = func(_ string, start generation.Start) ([]step, error) {
					if start.Attempt == 1 {
						return tt.first, nil
					}
					if start.Attempt == 2 && tt.second != nil {
						return tt.second, nil
					}
					return tokenSteps(start.Attempt, start.Offset, total, total), nil
				}
				require.NoError(t, f.driver(total).Run(t.Context()))
				require.Equal(t, referenceTokens(total), f.got)
				require.Equal(t, textOf(referenceTokens(total)), f.text)
				require.Equal(t, generation.FinishStop, f.finish)
				require.Len(t, f.starts, tt.attempts)
				require.Equal(t, tt.attempts-1, f.count(generation.EventLoss, tt.class))
				last := f.starts[len(f.starts)-1]
				require.Equal(t, append([]uint32{1, 2, 3}, referenceTokens(total)[:last.Offset]...), last.Prompt)
				require.Equal(t, total-last.Offset, last.Sampling.MaxTokens)
				for i, c := range f.canceled {
					require.Equal(t, cancelCall{address: f.addresses[i], attempt: i + 1}, c, "superseded attempt")
				}
				require.Len(t, f.canceled, tt.attempts-1)
				for _, e := range f.events {
					require.LessOrEqual(t, e.Wait, tt.wait)
				}
			})
		})
	}
}

// Guards against a duplicate chunk that reaches the caller or causes a failover.
func TestDriverDropsDuplicates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a"}}
		f.open = func(string, generation.Start) ([]step, error) {
			return append(append(tokenSteps(1, 0, 5, 9), tokenSteps(1, 2, 5, 9)...), tokenSteps(1, 4, 9, 9)...), nil
		}
		require.NoError(t, f.driver(9).Run(t.Context()))
		require.Equal(t, referenceTokens(9), f.got)
		require.Len(t, f.starts, 1)
		require.Equal(t, 4, f.count(generation.EventDropped, generation.ClassDuplicate))
	})
}

// Guards against an unfinished output that ends like a finished one, without a typed error.
func TestDriverReturnsTypedErrors(t *testing.T) {
	lost := func(string, generation.Start) ([]step, error) { return nil, io.ErrUnexpectedEOF }
	tests := []struct {
		name        string
		first       []step
		specMissing bool
		gone        bool
		budget      bool
		want        any
		outcome     failure.Outcome
	}{
		{name: "spec lost", first: tokenSteps(1, 0, 3, 9), specMissing: true, want: &generation.SpecLostError{},
			outcome: failure.Ran},
		{name: "all endpoints gone", first: tokenSteps(1, 0, 3, 9), gone: true, want: &generation.EngineLostError{},
			outcome: failure.Ran},
		{name: "wait exceeded", first: tokenSteps(1, 0, 3, 9), want: &generation.WaitExceededError{}, outcome: failure.Ran},
		{name: "retry budget", first: tokenSteps(1, 0, 3, 9), budget: true, want: &generation.RetryBudgetError{},
			outcome: failure.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fixture{endpoints: []string{"a", "b"}, specMissing: tt.specMissing}
				f.open = func(address string, start generation.Start) ([]step, error) {
					if start.Attempt == 1 {
						if tt.gone {
							f.endpoints = nil
						}
						return tt.first, nil
					}
					time.Sleep(50 * time.Millisecond)
					return lost(address, start)
				}
				d := f.driver(9)
				d.TakeRetry = func() bool { return !tt.budget }
				began := time.Now()
				err := d.Run(t.Context())
				require.ErrorAs(t, err, tt.want)
				require.LessOrEqual(t, time.Since(began), 3200*time.Millisecond)
				require.Equal(t, referenceTokens(9)[:3], f.got)
				require.Equal(t, generation.NotFinished, f.finish)
				if !tt.budget {
					require.Equal(t, tt.outcome, failure.Of(err).Outcome())
				}
			})
		})
	}
}

// Guards against a request for 0 tokens after the loss of only the finish chunk.
func TestDriverEndsAtLength(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a", "b"}}
		f.open = func(string, generation.Start) ([]step, error) { return tokenSteps(1, 0, 5, 9), nil }
		require.NoError(t, f.driver(5).Run(t.Context()))
		require.Equal(t, referenceTokens(9)[:5], f.got)
		require.Equal(t, generation.FinishLength, f.finish)
		require.Len(t, f.starts, 1)
	})
}

// Guards against a second prefill when the connection breaks but the engine still runs the stream.
func TestDriverReattachesToLiveEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a", "b"}}
		f.open = func(string, generation.Start) ([]step, error) {
			return append(tokenSteps(1, 0, 5, 9), step{err: io.ErrUnexpectedEOF}), nil
		}
		f.attach = func(_ string, attempt, offset int) ([]step, error) { return tokenSteps(attempt, offset, 9, 9), nil }
		d := f.driver(9)
		d.Health = func(string) (bool, float64) { return true, 1 }
		require.NoError(t, d.Run(t.Context()))
		require.Equal(t, referenceTokens(9), f.got)
		require.Len(t, f.starts, 1)
		require.Equal(t, 1, f.attaches)
		require.Empty(t, f.canceled)
	})
}

// Guards against a daemon that continues after a pause and takes back or cancels a stream to which another daemon has
// attached meanwhile.
func TestDriverStopsWhenSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a", "b"}}
		f.open = func(string, generation.Start) ([]step, error) {
			return append(tokenSteps(1, 0, 5, 9), step{err: io.ErrUnexpectedEOF}), nil
		}
		f.attach = func(string, int, int) ([]step, error) { return nil, generation.StaleAttemptError{} }
		d := f.driver(9)
		d.Health = func(string) (bool, float64) { return true, 1 }
		require.ErrorAs(t, d.Run(t.Context()), &generation.SupersededError{})
		require.Len(t, f.starts, 1)
		require.Empty(t, f.canceled)
	})
}

// Guards against a failover from an engine that is only slow because of its load.
func TestDriverWaitsForSlowEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a", "b"}}
		f.open = func(string, generation.Start) ([]step, error) {
			steps := tokenSteps(1, 0, 9, 9)
			steps[5].wait = 800 * time.Millisecond
			return steps, nil
		}
		d := f.driver(9)
		d.Health = func(string) (bool, float64) { return true, 4 }
		require.NoError(t, d.Run(t.Context()))
		require.Len(t, f.starts, 1)
		require.Zero(t, f.count(generation.EventLoss, ""))
	})
}

// Guards against a cancel call when the caller has not disconnected, and against one that does not leave the caller its
// time to reconnect.
func TestDriverCancelsOnlyForDisconnectedCaller(t *testing.T) {
	for _, gone := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := &fixture{endpoints: []string{"a"}}
			f.open = func(string, generation.Start) ([]step, error) {
				return append(tokenSteps(1, 0, 3, 9), step{wait: 200 * time.Millisecond, chunk: referenceChunk(1, 3, 4, 9)}), nil
			}
			ctx, cancel := context.WithCancelCause(t.Context())
			cause := context.Canceled
			if gone {
				cause = generation.CallerGoneError{}
			}
			time.AfterFunc(100*time.Millisecond, func() { cancel(cause) })
			require.ErrorIs(t, f.driver(9).Run(ctx), cause)
			if gone {
				require.Equal(t, []cancelCall{{address: "a", attempt: 1, after: generation.DefaultReconnectGrace}}, f.canceled)
				return
			}
			require.Empty(t, f.canceled)
		})
	}
}

// Guards against a resume by cursor that repeats ids, and against one on another engine without the delivered ids.
func TestDriverAttachesByCursor(t *testing.T) {
	cursor := generation.Cursor{
		Generation: fakeID, Attempt: 1, Offset: 5, Spec: fakeSpec.String(),
		Digest: generation.DigestOf(referenceTokens(9)[:5]),
	}
	for _, tt := range []struct {
		name         string
		alive        bool
		deliveredIDs []uint32
		want         any
	}{
		{name: "running", alive: true},
		{name: "gone", want: &generation.CursorLostError{}},
		{name: "gone with ids", deliveredIDs: referenceTokens(9)[:5]},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fixture{endpoints: []string{"b"}}
				f.attach = func(_ string, attempt, offset int) ([]step, error) {
					if !tt.alive {
						return nil, io.ErrUnexpectedEOF
					}
					if attempt < 3 {
						return nil, generation.StaleAttemptError{}
					}
					return tokenSteps(attempt, offset, 9, 9), nil
				}
				f.open = func(_ string, start generation.Start) ([]step, error) {
					return tokenSteps(start.Attempt, start.Offset, 9, 9), nil
				}
				d := f.driver(9)
				var err error
				d.Log, err = generation.ResumeLog(cursor, []uint32{1, 2, 3}, tt.deliveredIDs)
				require.NoError(t, err)
				d.AttachTo = route.NewChoice("a", "i-a", "p", nil)
				err = d.Run(t.Context())
				if tt.want != nil {
					require.ErrorAs(t, err, tt.want)
					return
				}
				require.NoError(t, err)
				require.Equal(t, referenceTokens(9)[5:], f.got)
				require.Equal(t, generation.DigestOf(referenceTokens(9)), d.Log.Digest())
			})
		})
	}
}

type refused struct{}

func (refused) Error() string            { return "refused" }
func (refused) Code() string             { return "refused" }
func (refused) Outcome() failure.Outcome { return failure.NotRun }

// Guards against retries without delay on an endpoint that refuses, and against a refused request that is reported as
// run.
func TestDriverPausesAfterRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{}
		f.open = func(string, generation.Start) ([]step, error) {
			require.Less(t, len(f.starts), 100)
			return nil, refused{}
		}
		d := f.driver(9)
		d.Pick = func(context.Context, route.Criteria) (route.Choice, error) {
			return route.NewChoice("a", "i", "p", nil), nil
		}
		began := time.Now()
		err := d.Run(t.Context())
		require.ErrorAs(t, err, &generation.WaitExceededError{})
		require.Equal(t, failure.NotRun, failure.Of(err).Outcome())
		require.LessOrEqual(t, time.Since(began), generation.DefaultWaitBound)
		require.Empty(t, f.canceled)
	})
}

// Guards against streams that fail because the loss of one engine exhausts the retry budget, and against an unlimited
// number of resumes that are exempt from the budget.
func TestDriverExemptResumes(t *testing.T) {
	for losses, charged := range map[int]int{1: 0, 3: 0, 5: 2} {
		synctest.Test(t, func(t *testing.T) {
			f := &fixture{endpoints: []string{"a", "b"}}
			f.open = func(_ string, start generation.Start) ([]step, error) {
				if start.Attempt <= losses {
					return append(tokenSteps(start.Attempt, start.Offset, start.Offset+1, 9), step{err: io.ErrUnexpectedEOF}), nil
				}
				return tokenSteps(start.Attempt, start.Offset, 9, 9), nil
			}
			d, taken := f.driver(9), 0
			d.TakeRetry = func() bool { taken++; return true }
			require.NoError(t, d.Run(t.Context()))
			require.Equal(t, referenceTokens(9), f.got)
			require.Equal(t, charged, taken)
		})
	}
}
