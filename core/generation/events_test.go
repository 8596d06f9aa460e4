package generation_test

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
)

// eventSteps returns the events from to to, and the end of the stream after the last of total.
func eventSteps(attempt, from, to, total int) []step {
	var steps []step
	for id := from; id <= to; id++ {
		steps = append(steps, step{
			wait:  30 * time.Millisecond,
			chunk: generation.NewEventChunk(fakeID, attempt, id, fmt.Appendf(nil, "event %d\n", id)),
		})
	}
	if to == total {
		end := generation.NewChunk(fakeID, attempt, generation.Spec{}, total, nil, "", generation.FinishStop)
		steps = append(steps, step{chunk: end})
	}
	return steps
}

// eventDriver drives a stream of opaque events on engines that end a stream with its connection.
func eventDriver(f *fixture, delivered int) (d *generation.Driver, got func() string) {
	text := ""
	d = f.driver(0)
	d.Attach, d.Cancel = nil, nil
	d.Log = generation.NewEventLog(fakeID, delivered)
	d.ExemptResumes = -1
	d.Deliver = func(part generation.Chunk) error {
		text += string(part.Event())
		return nil
	}
	return d, func() string { return text }
}

func lines(from, to int) string {
	text := ""
	for id := from; id <= to; id++ {
		text += fmt.Sprintf("event %d\n", id)
	}
	return text
}

// Guards against an event that is missing, repeated or joined from two runs after a loss, and against a cancel that
// engines without one don't have.
func TestEventsGoOnAfterLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a", "b", "c"}}
		f.open = func(_ string, start generation.Start) ([]step, error) {
			switch start.Attempt {
			case 1:
				return append(eventSteps(1, 1, 4, 9), step{err: io.ErrUnexpectedEOF}), nil
			case 2:
				// The engine repeats what the caller has, and then falls silent.
				return append(eventSteps(2, 3, 6, 9), step{hang: true}), nil
			default:
				return eventSteps(3, start.Offset+1, 9, 9), nil
			}
		}
		d, got := eventDriver(f, 0)
		require.NoError(t, d.Run(t.Context()))
		require.Equal(t, lines(1, 9), got())
		require.Equal(t, []int{0, 4, 6}, []int{f.starts[0].Offset, f.starts[1].Offset, f.starts[2].Offset})
	})
}

// Guards against a gap that is passed on: the run that skips an event is given up.
func TestEventsRefuseAGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a", "b"}}
		f.open = func(_ string, start generation.Start) ([]step, error) {
			if start.Attempt == 1 {
				return append(eventSteps(1, 1, 2, 5), eventSteps(1, 4, 5, 5)...), nil
			}
			return eventSteps(2, start.Offset+1, 5, 5), nil
		}
		d, got := eventDriver(f, 0)
		require.NoError(t, d.Run(t.Context()))
		require.Equal(t, lines(1, 5), got())
	})
}

// Guards against a caller that comes back and gets events that it has, or none although some are left.
func TestEventsOfAReturningCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpoints: []string{"a"}}
		f.open = func(_ string, start generation.Start) ([]step, error) {
			return eventSteps(1, start.Offset+1, 8, 8), nil
		}
		d, got := eventDriver(f, 5)
		require.NoError(t, d.Run(t.Context()))
		require.Equal(t, 5, f.starts[0].Offset)
		require.Equal(t, lines(6, 8), got())
	})
}

// Guards against more runs than the route allows, and against a stream that must not be repeated running twice.
func TestMaxRuns(t *testing.T) {
	for _, runs := range []int{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			f := &fixture{endpoints: []string{"a", "b", "c", "d", "e"}}
			f.open = func(_ string, start generation.Start) ([]step, error) {
				return append(eventSteps(start.Attempt, start.Offset+1, start.Offset+1, 99), step{err: io.ErrUnexpectedEOF}), nil
			}
			d, _ := eventDriver(f, 0)
			d.MaxRuns = runs
			err := d.Run(t.Context())
			_, lost := errors.AsType[generation.EngineLostError](err)
			require.True(t, lost)
			require.Len(t, f.starts, runs)
		})
	}
}

// Guards against a caller that waits until its deadline for endpoints that don't exist.
func TestFirstPickBoundsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{}
		d, _ := eventDriver(f, 0)
		d.WaitBound, d.FirstPickBound = 18*time.Second, time.Second
		begin := time.Now()
		require.Error(t, d.Run(t.Context()))
		require.LessOrEqual(t, time.Since(begin), 1500*time.Millisecond)
	})
}
