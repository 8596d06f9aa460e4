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

// Each case guards against a missing, repeated or mixed token after one kind of loss, and against a wait over the
// bound.
func TestDriverContinuesAfterLoss(t *testing.T) {
	const total = 12
	crossed := generation.NewChunk("generation-2", 1, fakeSpec, 5, []uint32{9}, " w9", generation.NotFinished)
	other := generation.NewSpec("m", "2", "", "")
	changed := generation.NewChunk(fakeID, 1, other, 5, []uint32{9}, " w9", generation.NotFinished)
	tests := []struct {
		name     string
		first    []step
		second   []step
		class    string
		attempts int
		wait     time.Duration
	}{
		{name: "death", first: append(run(1, 0, 5, total), step{err: io.ErrUnexpectedEOF}),
			class: generation.ClassConnection, attempts: 2, wait: 100 * time.Millisecond},
		{name: "end mark without finish", first: run(1, 0, 5, total),
			class: generation.ClassConnection, attempts: 2, wait: 100 * time.Millisecond},
		{name: "freeze and wake", first: append(append(run(1, 0, 5, total), step{wait: 5 * time.Second,
			chunk: piece(1, 5, 6, total)}), run(1, 6, total, total)...),
			class: generation.ClassSilence, attempts: 2, wait: 1500 * time.Millisecond},
		{name: "gap", first: append(run(1, 0, 5, total), run(1, 6, total, total)...),
			class: generation.ClassCrossed, attempts: 2, wait: 100 * time.Millisecond},
		{name: "crossed chunk", first: append(run(1, 0, 5, total), step{chunk: crossed}),
			class: generation.ClassCrossed, attempts: 2, wait: 100 * time.Millisecond},
		{name: "spec change", first: append(run(1, 0, 5, total), step{chunk: changed}),
			class: generation.ClassCrossed, attempts: 2, wait: 100 * time.Millisecond},
		{name: "loss before the first token", first: []step{{hang: true}},
			class: generation.ClassSilence, attempts: 2, wait: 2100 * time.Millisecond},
		{name: "two losses in a row", first: append(run(1, 0, 5, total), step{err: io.ErrUnexpectedEOF}),
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
					return run(start.Attempt, start.Offset, total, total), nil
				}
				require.NoError(t, f.driver(total).Run(t.Context()))
				require.Equal(t, reference(total), f.got)
				require.Equal(t, textOf(reference(total)), f.text)
				require.Equal(t, generation.FinishStop, f.finish)
				require.Len(t, f.starts, tt.attempts)
				require.Equal(t, tt.attempts-1, f.count(generation.EventLoss, tt.class))
				last := f.starts[len(f.starts)-1]
				require.Equal(t, append([]uint32{1, 2, 3}, reference(total)[:last.Offset]...), last.Prompt)
				require.Equal(t, total-last.Offset, last.Sampling.MaxTokens)
				for i, c := range f.canceled {
					require.Equal(t, canceled{address: f.addresses[i], attempt: i + 1}, c, "superseded attempt")
				}
				require.Len(t, f.canceled, tt.attempts-1)
				for _, e := range f.events {
					require.LessOrEqual(t, e.Wait, tt.wait)
				}
			})
		})
	}
}

// Guards against a duplicate reaching the caller and against a failover for it.
func TestDriverDropsDuplicates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a"}}
		f.open = func(string, generation.Start) ([]step, error) {
			return append(append(run(1, 0, 5, 9), run(1, 2, 5, 9)...), run(1, 4, 9, 9)...), nil
		}
		require.NoError(t, f.driver(9).Run(t.Context()))
		require.Equal(t, reference(9), f.got)
		require.Len(t, f.starts, 1)
		require.Equal(t, 4, f.count(generation.EventDropped, generation.ClassDuplicate))
	})
}

// Guards against an unfinished answer that ends like a finished one.
func TestDriverTypedEnds(t *testing.T) {
	lost := func(string, generation.Start) ([]step, error) { return nil, io.ErrUnexpectedEOF }
	tests := []struct {
		name     string
		first    []step
		specless bool
		gone     bool
		budget   bool
		want     any
		outcome  failure.Outcome
	}{
		{name: "spec lost", first: run(1, 0, 3, 9), specless: true, want: &generation.SpecLostError{}, outcome: failure.Ran},
		{name: "all endpoints gone", first: run(1, 0, 3, 9), gone: true, want: &generation.EngineLostError{},
			outcome: failure.Ran},
		{name: "wait exceeded", first: run(1, 0, 3, 9), want: &generation.WaitExceededError{}, outcome: failure.Ran},
		{name: "retry budget", first: run(1, 0, 3, 9), budget: true, want: &generation.BudgetError{},
			outcome: failure.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fixture{endpoints: []string{"a", "b"}, specless: tt.specless}
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
				d.MayRetry = func() bool { return !tt.budget }
				began := time.Now()
				err := d.Run(t.Context())
				require.ErrorAs(t, err, tt.want)
				require.LessOrEqual(t, time.Since(began), 3200*time.Millisecond)
				require.Equal(t, reference(9)[:3], f.got)
				require.Equal(t, generation.NotFinished, f.finish)
				if !tt.budget {
					require.Equal(t, tt.outcome, failure.Of(err).Outcome())
				}
			})
		})
	}
}

// Guards against asking an engine for 0 tokens when only the finish chunk was lost.
func TestDriverEndsAtLength(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a", "b"}}
		f.open = func(string, generation.Start) ([]step, error) { return run(1, 0, 5, 9), nil }
		require.NoError(t, f.driver(5).Run(t.Context()))
		require.Equal(t, reference(9)[:5], f.got)
		require.Equal(t, generation.FinishLength, f.finish)
		require.Len(t, f.starts, 1)
	})
}

// Guards against a second prefill when the engine still runs the stream whose connection broke.
func TestDriverAttachesToLivingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a", "b"}}
		f.open = func(string, generation.Start) ([]step, error) {
			return append(run(1, 0, 5, 9), step{err: io.ErrUnexpectedEOF}), nil
		}
		f.attach = func(_ string, attempt, offset int) ([]step, error) { return run(attempt, offset, 9, 9), nil }
		d := f.driver(9)
		d.Alive = func(string) (bool, float64) { return true, 1 }
		require.NoError(t, d.Run(t.Context()))
		require.Equal(t, reference(9), f.got)
		require.Len(t, f.starts, 1)
		require.Equal(t, 1, f.attaches)
		require.Empty(t, f.canceled)
	})
}

// Guards against an entry that woke up and takes a stream back, or cancels it, after another entry attached.
func TestDriverYieldsWhenSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a", "b"}}
		f.open = func(string, generation.Start) ([]step, error) {
			return append(run(1, 0, 5, 9), step{err: io.ErrUnexpectedEOF}), nil
		}
		f.attach = func(string, int, int) ([]step, error) { return nil, generation.StaleAttemptError{} }
		d := f.driver(9)
		d.Alive = func(string) (bool, float64) { return true, 1 }
		require.ErrorAs(t, d.Run(t.Context()), &generation.SupersededError{})
		require.Len(t, f.starts, 1)
		require.Empty(t, f.canceled)
	})
}

// Guards against a failover away from an engine that load has slowed.
func TestDriverWaitsForSlowEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a", "b"}}
		f.open = func(string, generation.Start) ([]step, error) {
			steps := run(1, 0, 9, 9)
			steps[5].wait = 800 * time.Millisecond
			return steps, nil
		}
		d := f.driver(9)
		d.Alive = func(string) (bool, float64) { return true, 4 }
		require.NoError(t, d.Run(t.Context()))
		require.Len(t, f.starts, 1)
		require.Zero(t, f.count(generation.EventLoss, ""))
	})
}

// Guards against a cancel that the caller's departure did not cause, and against one that precedes its return.
func TestDriverCancelsOnlyForDepartedCaller(t *testing.T) {
	for _, gone := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := &fixture{endpoints: []string{"a"}}
			f.open = func(string, generation.Start) ([]step, error) {
				return append(run(1, 0, 3, 9), step{wait: 200 * time.Millisecond, chunk: piece(1, 3, 4, 9)}), nil
			}
			ctx, cancel := context.WithCancelCause(t.Context())
			cause := context.Canceled
			if gone {
				cause = generation.CallerGoneError{}
			}
			time.AfterFunc(100*time.Millisecond, func() { cancel(cause) })
			require.ErrorIs(t, f.driver(9).Run(ctx), cause)
			if gone {
				require.Equal(t, []canceled{{address: "a", attempt: 1, after: generation.DefaultCallerReturn}}, f.canceled)
				return
			}
			require.Empty(t, f.canceled)
		})
	}
}

// Guards against a resume by cursor that repeats ids, and against one elsewhere without the ids.
func TestDriverAttachesByCursor(t *testing.T) {
	cursor := generation.Cursor{
		Generation: fakeID, Attempt: 1, Offset: 5, Spec: fakeSpec.String(),
		Digest: generation.DigestOf(reference(9)[:5]),
	}
	for _, tt := range []struct {
		name  string
		alive bool
		held  []uint32
		want  any
	}{
		{name: "running", alive: true},
		{name: "gone", want: &generation.CursorLostError{}},
		{name: "gone with ids", held: reference(9)[:5]},
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
					return run(attempt, offset, 9, 9), nil
				}
				f.open = func(_ string, start generation.Start) ([]step, error) {
					return run(start.Attempt, start.Offset, 9, 9), nil
				}
				d := f.driver(9)
				var err error
				d.Log, err = generation.ResumeLog(cursor, []uint32{1, 2, 3}, tt.held)
				require.NoError(t, err)
				d.AttachTo = route.NewChoice("a", "i-a", "p", nil)
				err = d.Run(t.Context())
				if tt.want != nil {
					require.ErrorAs(t, err, tt.want)
					return
				}
				require.NoError(t, err)
				require.Equal(t, reference(9)[5:], f.got)
				require.Equal(t, generation.DigestOf(reference(9)), d.Log.Digest())
			})
		})
	}
}

type refused struct{}

func (refused) Error() string            { return "refused" }
func (refused) Code() string             { return "refused" }
func (refused) Outcome() failure.Outcome { return failure.NotRun }

// Guards against a loop without pause on an endpoint that refuses, and against a refused request reported as run.
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

// Guards against streams that end because one engine's loss exhausts the retry budget, and against resumes without end
// that the budget doesn't limit.
func TestDriverOwnResumes(t *testing.T) {
	for losses, draws := range map[int]int{1: 0, 3: 0, 5: 2} {
		synctest.Test(t, func(t *testing.T) {
			f := &fixture{endpoints: []string{"a", "b"}}
			f.open = func(_ string, start generation.Start) ([]step, error) {
				if start.Attempt <= losses {
					return append(run(start.Attempt, start.Offset, start.Offset+1, 9), step{err: io.ErrUnexpectedEOF}), nil
				}
				return run(start.Attempt, start.Offset, 9, 9), nil
			}
			d, drawn := f.driver(9), 0
			d.MayRetry = func() bool { drawn++; return true }
			require.NoError(t, d.Run(t.Context()))
			require.Equal(t, reference(9), f.got)
			require.Equal(t, draws, drawn)
		})
	}
}
