package generation_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"radishhollow/core/generation"
	"radishhollow/core/route"
)

const fakeID = "generation-1"

var fakeSpec = generation.NewSpec("m", "1", "", "")

// step is one result of Next of a scripted stream, returned after the wait.
type step struct {
	wait  time.Duration
	chunk generation.Chunk
	err   error
	// hang blocks Next until its context ends.
	hang bool
}

// referenceTokens returns the first n ids of the expected output.
func referenceTokens(n int) []uint32 {
	ids := make([]uint32, n)
	for i := range ids {
		ids[i] = uint32(7 + i*i%101)
	}
	return ids
}

func textOf(ids []uint32) string {
	var b strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&b, " w%d", id)
	}
	return b.String()
}

// referenceChunk returns the reference tokens [start, end) as a chunk. It has a finish reason if end is total.
func referenceChunk(attempt, start, end, total int) generation.Chunk {
	finish := generation.NotFinished
	if end == total {
		finish = generation.FinishStop
	}
	ids := referenceTokens(total)[start:end]
	return generation.NewChunk(fakeID, attempt, fakeSpec, start, ids, textOf(ids), finish)
}

// tokenSteps returns one step for each of the reference tokens [start, end), 20 ms apart.
func tokenSteps(attempt, start, end, total int) []step {
	var steps []step
	for i := start; i < end; i++ {
		steps = append(steps, step{wait: 20 * time.Millisecond, chunk: referenceChunk(attempt, i, i+1, total)})
	}
	return steps
}

// scriptedStream returns a Stream whose Next returns the steps and then io.EOF.
func scriptedStream(steps []step) generation.Stream {
	var due time.Time
	return generation.Stream{
		Next: func(ctx context.Context) (generation.Chunk, error) {
			if len(steps) == 0 {
				return generation.Chunk{}, io.EOF
			}
			s := steps[0]
			if due.IsZero() {
				due = time.Now().Add(s.wait)
			}
			if !s.hang && !time.Now().Before(due) {
				// As in package sse, a chunk that has arrived is returned even if ctx has ended.
				due, steps = time.Time{}, steps[1:]
				return s.chunk, s.err
			}
			timer := time.NewTimer(time.Until(due))
			defer timer.Stop()
			ready := timer.C
			if s.hang {
				ready = nil
			}
			select {
			case <-ready:
				due = time.Time{}
				steps = steps[1:]
				return s.chunk, s.err
			case <-ctx.Done():
				return generation.Chunk{}, ctx.Err()
			}
		},
		Close: func() error { return nil },
	}
}

type cancelCall struct {
	address string
	attempt int
	after   time.Duration
}

// fixture runs a Driver against fake endpoints whose streams are scripted by attempt, and records calls and output.
type fixture struct {
	endpoints   []string
	open        func(address string, start generation.Start) ([]step, error)
	attach      func(address string, attempt, offset int) ([]step, error)
	specMissing bool // no endpoint has the spec of the delivered output
	starts      []generation.Start
	addresses   []string
	canceled    []cancelCall
	got         []uint32
	text        string
	finish      generation.Finish
	events      []generation.Event
	attaches    int
}

type noEndpoint struct{}

func (noEndpoint) Error() string { return "no endpoint" }

func (f *fixture) pick(_ context.Context, criteria route.Criteria) (route.Choice, error) {
	if f.specMissing && criteria.Spec != "" {
		return route.Choice{}, noEndpoint{}
	}
	for _, address := range f.endpoints {
		if !criteria.Exclude[address] {
			return route.NewChoice(address, "i-"+address, "p", nil), nil
		}
	}
	return route.Choice{}, noEndpoint{}
}

func (f *fixture) driver(maxTokens int) *generation.Driver {
	return &generation.Driver{
		Pick: f.pick,
		Open: func(_ context.Context, address string, start generation.Start) (generation.Stream, error) {
			f.starts = append(f.starts, start)
			f.addresses = append(f.addresses, address)
			steps, err := f.open(address, start)
			return scriptedStream(steps), err
		},
		Attach: func(_ context.Context, address, _ string, attempt, offset int) (generation.Stream, error) {
			f.attaches++
			steps, err := f.attach(address, attempt, offset)
			return scriptedStream(steps), err
		},
		Cancel: func(address, _ string, attempt int, after time.Duration) {
			f.canceled = append(f.canceled, cancelCall{address: address, attempt: attempt, after: after})
		},
		Deliver: func(part generation.Chunk) error {
			f.got = append(f.got, part.Tokens()...)
			f.text += part.Text()
			f.finish = part.Finish()
			return nil
		},
		Observe:  func(e generation.Event) { f.events = append(f.events, e) },
		Log:      generation.NewLog(fakeID, []uint32{1, 2, 3}),
		Model:    "m",
		Sampling: generation.Sampling{MaxTokens: maxTokens},
	}
}

func (f *fixture) count(kind generation.EventKind, class string) int {
	n := 0
	for _, e := range f.events {
		if e.Kind == kind && (class == "" || e.Class == class) {
			n++
		}
	}
	return n
}
