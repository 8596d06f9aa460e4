package claim_test

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"radishhollow/core/kv"
)

// fakeStore is an in-memory key-value service that loses requests, loses responses and delays writes.
type fakeStore struct {
	mu            sync.Mutex
	rng           *rand.Rand
	faultRate     float64
	revision      kv.Revision
	entries       map[string]kv.Entry
	puts          int
	grants        int
	eras          kv.Eras
	saved         map[string]kv.Entry
	savedRevision kv.Revision
	// fail sets the faults of the next calls in place of random ones, by kind of call.
	fail map[string][]fault
	// applyDelay is the delay of a delayed write. Zero means a random delay.
	applyDelay time.Duration
}

type fault int

const (
	faultNone         fault = iota
	faultRefused            // the write has no effect, and the error says so
	faultRequestLost        // the write has no effect, but the error does not say so
	faultResponseLost       // the write takes effect, but the call fails
	faultDelayed            // the call fails, and the write takes effect later
)

func newFakeStore(seed uint64, faultRate float64) *fakeStore {
	return &fakeStore{
		rng: rand.New(rand.NewPCG(seed, 1)), faultRate: faultRate, revision: kv.NewRevision(1, 0),
		entries: map[string]kv.Entry{}, fail: map[string][]fault{},
	}
}

func (f *fakeStore) store() kv.Store {
	return f.eras.Guard(kv.Store{Get: f.get, Put: f.put, Watch: f.watch, Grant: f.grant})
}

// save copies the state, and restore replaces the state by the copy and begins a new era.
func (f *fakeStore) save() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.saved, f.savedRevision = maps.Clone(f.entries), f.revision
}

func (f *fakeStore) restore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	era := f.revision.Era() + 1
	f.revision, f.entries = kv.NewRevision(era, f.savedRevision.Number()), map[string]kv.Entry{}
	for key, entry := range f.saved {
		f.entries[key] = kv.NewEntry(key, entry.Value(), kv.NewRevision(era, entry.Revision().Number()), false)
	}
	f.eras.Observe(era)
}

// drawFault sleeps for the latency of one call and returns the fault of the call.
func (f *fakeStore) drawFault(call string) fault {
	f.mu.Lock()
	delay := time.Duration(1+f.rng.IntN(5)) * time.Millisecond
	if f.rng.Float64() < f.faultRate/4 {
		delay = time.Duration(f.rng.IntN(300)) * time.Millisecond
	}
	kind := faultNone
	if planned := f.fail[call]; len(planned) > 0 {
		kind, f.fail[call] = planned[0], planned[1:]
	} else if f.rng.Float64() < f.faultRate {
		kind = fault(1 + f.rng.IntN(4))
	}
	f.mu.Unlock()
	time.Sleep(delay)
	return kind
}

func unavailable(call string, mayHaveTakenEffect bool) error {
	return kv.UnavailableError{Call: call, MayHaveTakenEffect: mayHaveTakenEffect, Cause: io.ErrUnexpectedEOF}
}

func (f *fakeStore) get(_ context.Context, key string) (kv.Entry, error) {
	if f.drawFault("get") != faultNone {
		return kv.Entry{}, unavailable("get", false)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if entry, ok := f.entries[key]; ok {
		return entry, nil
	}
	return kv.Entry{}, kv.NotFoundError{Key: key}
}

func (f *fakeStore) put(_ context.Context, key string, value []byte, ifRevision kv.Revision, _ kv.Lease) (kv.Revision, error) {
	switch f.drawFault("put") {
	case faultRefused:
		return kv.Revision{}, unavailable("put", false)
	case faultRequestLost:
		return kv.Revision{}, unavailable("put", true)
	case faultResponseLost:
		_, _ = f.apply(key, value, ifRevision)
		return kv.Revision{}, unavailable("put", true)
	case faultDelayed:
		f.mu.Lock()
		delay := time.Duration(f.rng.IntN(3000)) * time.Millisecond
		if f.applyDelay > 0 {
			delay = f.applyDelay
		}
		f.mu.Unlock()
		time.AfterFunc(delay, func() { _, _ = f.apply(key, value, ifRevision) })
		return kv.Revision{}, unavailable("put", true)
	default:
		return f.apply(key, value, ifRevision)
	}
}

func (f *fakeStore) apply(key string, value []byte, ifRevision kv.Revision) (kv.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.puts++
	if current := f.entries[key].Revision(); current != ifRevision {
		return kv.Revision{}, kv.ConflictError{Key: key, Want: ifRevision, Current: current}
	}
	f.revision = f.revision.Next()
	f.entries[key] = kv.NewEntry(key, value, f.revision, false)
	return f.revision, nil
}

func (f *fakeStore) watch(
	ctx context.Context, prefix string, after kv.Revision, wait time.Duration,
) ([]kv.Entry, kv.Revision, error) {
	if f.drawFault("watch") != faultNone {
		return nil, kv.Revision{}, unavailable("watch", false)
	}
	for deadline := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		f.mu.Lock()
		entry, revision := f.entries[prefix], f.revision
		f.mu.Unlock()
		if entry.Revision().After(after) {
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

func (f *fakeStore) grant(context.Context, time.Duration) (kv.Lease, error) {
	if f.drawFault("grant") != faultNone {
		return kv.Lease{}, unavailable("grant", true)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.grants++
	return kv.NewLease(f.revision.Era(), "lease"), nil
}
