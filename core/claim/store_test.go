package claim_test

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"radishhollow/core/kv"
)

// fakeStore is an in-memory key-value service that loses answers, loses requests and applies writes late.
type fakeStore struct {
	mu       sync.Mutex
	rng      *rand.Rand
	faults   float64
	revision uint64
	entries  map[string]kv.Entry
	puts     int
	grants   int
	// fail overrides the drawn fault of the next calls, by call kind.
	fail map[string][]fault
	// late is the delay of a write that is applied late; zero draws one.
	late time.Duration
}

type fault int

const (
	faultNone fault = iota
	faultRefused
	faultRequestLost
	faultAnswerLost
	faultDelayed
)

func newFakeStore(seed uint64, faults float64) *fakeStore {
	return &fakeStore{
		rng: rand.New(rand.NewPCG(seed, 1)), faults: faults,
		entries: map[string]kv.Entry{}, fail: map[string][]fault{},
	}
}

func (f *fakeStore) store() kv.Store {
	return kv.Store{Get: f.get, Put: f.put, Watch: f.watch, Grant: f.grant}
}

// draw waits for the time of one call and returns its fault.
func (f *fakeStore) draw(call string) fault {
	f.mu.Lock()
	delay := time.Duration(1+f.rng.IntN(5)) * time.Millisecond
	if f.rng.Float64() < f.faults/4 {
		delay = time.Duration(f.rng.IntN(300)) * time.Millisecond
	}
	kind := faultNone
	if planned := f.fail[call]; len(planned) > 0 {
		kind, f.fail[call] = planned[0], planned[1:]
	} else if f.rng.Float64() < f.faults {
		kind = fault(1 + f.rng.IntN(4))
	}
	f.mu.Unlock()
	time.Sleep(delay)
	return kind
}

func lost(call string, written bool) error {
	return kv.UnavailableError{Call: call, Written: written, Cause: io.ErrUnexpectedEOF}
}

func (f *fakeStore) get(_ context.Context, key string) (kv.Entry, error) {
	if f.draw("get") != faultNone {
		return kv.Entry{}, lost("get", false)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if entry, ok := f.entries[key]; ok {
		return entry, nil
	}
	return kv.Entry{}, kv.NotFoundError{Key: key}
}

func (f *fakeStore) put(_ context.Context, key string, value []byte, ifRevision uint64, _ string) (uint64, error) {
	switch f.draw("put") {
	case faultRefused:
		return 0, lost("put", false)
	case faultRequestLost:
		return 0, lost("put", true)
	case faultAnswerLost:
		_, _ = f.apply(key, value, ifRevision)
		return 0, lost("put", true)
	case faultDelayed:
		f.mu.Lock()
		delay := time.Duration(f.rng.IntN(3000)) * time.Millisecond
		if f.late > 0 {
			delay = f.late
		}
		f.mu.Unlock()
		time.AfterFunc(delay, func() { _, _ = f.apply(key, value, ifRevision) })
		return 0, lost("put", true)
	default:
		return f.apply(key, value, ifRevision)
	}
}

func (f *fakeStore) apply(key string, value []byte, ifRevision uint64) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.puts++
	if current := f.entries[key].Revision(); current != ifRevision {
		return 0, kv.ConflictError{Key: key, Want: ifRevision, Current: current}
	}
	f.revision++
	f.entries[key] = kv.NewEntry(key, value, f.revision, false)
	return f.revision, nil
}

func (f *fakeStore) watch(
	ctx context.Context, prefix string, after uint64, wait time.Duration,
) ([]kv.Entry, uint64, error) {
	if f.draw("watch") != faultNone {
		return nil, 0, lost("watch", false)
	}
	for deadline := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		f.mu.Lock()
		entry, revision := f.entries[prefix], f.revision
		f.mu.Unlock()
		if entry.Revision() > after {
			return []kv.Entry{entry}, revision, nil
		}
		if err := ctx.Err(); err != nil {
			return nil, revision, err
		}
		if !time.Now().Before(deadline) {
			return nil, revision, nil
		}
	}
}

func (f *fakeStore) grant(context.Context, time.Duration) (string, error) {
	if f.draw("grant") != faultNone {
		return "", lost("grant", true)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.grants++
	return "lease", nil
}
