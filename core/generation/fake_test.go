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

// step is one result of a scripted stream's Next, after a wait.
type step struct {
	wait  time.Duration
	chunk generation.Chunk
	err   error
	// hang blocks until the reader gives up.
	hang bool
}

func reference(n int) []uint32 {
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

// piece returns a chunk of the reference; the last id of total carries the finish reason.
func piece(attempt, from, to, total int) generation.Chunk {
	finish := generation.NotFinished
	if to == total {
		finish = generation.FinishStop
	}
	ids := reference(total)[from:to]
	return generation.NewChunk(fakeID, attempt, fakeSpec, from, ids, textOf(ids), finish)
}

// run returns one step per id, 20 ms apart.
func run(attempt, from, to, total int) []step {
	var steps []step
	for i := from; i < to; i++ {
		steps = append(steps, step{wait: 20 * time.Millisecond, chunk: piece(attempt, i, i+1, total)})
	}
	return steps
}

func scripted(steps []step) generation.Stream {
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

type canceled struct {
	address string
	attempt int
	after   time.Duration
}

// fixture drives a generation against endpoints a, b, c ... whose streams are scripted by attempt.
type fixture struct {
	endpoints []string
	open      func(address string, start generation.Start) ([]step, error)
	attach    func(address string, attempt, offset int) ([]step, error)
	specless  bool // no endpoint has the pinned spec
	starts    []generation.Start
	addresses []string
	canceled  []canceled
	got       []uint32
	text      string
	finish    generation.Finish
	events    []generation.Event
	attaches  int
}

type noEndpoint struct{}

func (noEndpoint) Error() string { return "no endpoint" }

func (f *fixture) pick(_ context.Context, need route.Criteria) (route.Choice, error) {
	if f.specless && need.Spec != "" {
		return route.Choice{}, noEndpoint{}
	}
	for _, address := range f.endpoints {
		if !need.Exclude[address] {
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
			return scripted(steps), err
		},
		Attach: func(_ context.Context, address, _ string, attempt, offset int) (generation.Stream, error) {
			f.attaches++
			steps, err := f.attach(address, attempt, offset)
			return scripted(steps), err
		},
		Cancel: func(address, _ string, attempt int, after time.Duration) {
			f.canceled = append(f.canceled, canceled{address: address, attempt: attempt, after: after})
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
