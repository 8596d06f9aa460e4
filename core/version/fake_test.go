package version

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"radishhollow/core/kv"
)

// fakeStore is an in-memory key-value service. Each call takes 4 ms, or fails after 700 ms while the service is away.
type fakeStore struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	entries  map[string]kv.Entry
	away     bool
	calls    map[string]int
	saved    map[string]kv.Entry
}

func newFakeStore() *fakeStore {
	return &fakeStore{era: 1, revision: 1, entries: map[string]kv.Entry{}, calls: map[string]int{}}
}

// client returns the calls of one daemon and its view of the eras.
func (f *fakeStore) client() (kv.Store, *kv.Eras) {
	eras := &kv.Eras{}
	return eras.Guard(kv.Store{
		Get: func(ctx context.Context, key string) (kv.Entry, error) {
			return call(ctx, f, eras, "get", func() (kv.Entry, error) {
				entry, found := f.entries[key]
				if !found {
					return kv.Entry{}, kv.NotFoundError{Key: key}
				}
				return kv.NewEntry(key, entry.Value(), kv.NewRevision(f.era, entry.Revision().Number()), false), nil
			})
		},
		Put: func(ctx context.Context, key string, value []byte, ifRevision kv.Revision, _ kv.Lease) (kv.Revision, error) {
			return call(ctx, f, eras, "put", func() (kv.Revision, error) {
				if current := f.entries[key].Revision(); current.Number() != ifRevision.Number() {
					return kv.Revision{}, kv.ConflictError{Key: key, Want: ifRevision, Current: current}
				}
				return f.put(key, value), nil
			})
		},
		PutAll: func(ctx context.Context, values map[string][]byte, _ kv.Lease) error {
			_, err := call(ctx, f, eras, "put-all", func() (kv.Revision, error) {
				for key, value := range values {
					f.put(key, value)
				}
				return kv.Revision{}, nil
			})
			return err
		},
		Grant: func(ctx context.Context, _ time.Duration) (kv.Lease, error) {
			return call(ctx, f, eras, "grant", func() (kv.Lease, error) { return kv.NewLease(f.era, "1"), nil })
		},
	}), eras
}

func call[T any](ctx context.Context, f *fakeStore, eras *kv.Eras, kind string, run func() (T, error)) (T, error) {
	var none T
	f.mu.Lock()
	away := f.away
	f.calls[kind]++
	f.mu.Unlock()
	latency := 4 * time.Millisecond
	if away {
		latency = 700 * time.Millisecond
	}
	select {
	case <-time.After(latency):
	case <-ctx.Done():
		away = true
	}
	if away {
		return none, kv.UnavailableError{Call: kind}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	eras.Observe(f.era)
	return run()
}

func (f *fakeStore) put(key string, value []byte) kv.Revision {
	f.revision++
	revision := kv.NewRevision(f.era, f.revision)
	f.entries[key] = kv.NewEntry(key, value, revision, false)
	return revision
}

func (f *fakeStore) setAway(away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = away
}

func (f *fakeStore) save() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.saved = maps.Clone(f.entries)
}

// restore replaces the entries by those of save and begins a new era.
func (f *fakeStore) restore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era++
	f.entries = maps.Clone(f.saved)
}

func (f *fakeStore) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, count := range f.calls {
		total += count
	}
	return total
}

func (f *fakeStore) recordCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for key := range f.entries {
		if strings.HasPrefix(key, streamPrefix) {
			count++
		}
	}
	return count
}
