package config

import (
	"context"
	"sync"
	"time"

	"radishhollow/core/clock"
	"radishhollow/core/kv"
)

// fakeKV is a key-value service with one key and configurable faults.
type fakeKV struct {
	mu       sync.Mutex
	value    []byte
	revision kv.Revision
	down     bool
	// loseResponses is the number of writes that take effect but whose response is lost, dropWrites the number of
	// writes that are lost before they take effect.
	loseResponses, dropWrites int
	// afterPut is called once, after the next write that takes effect.
	afterPut func()
}

func (f *fakeKV) store() kv.Store { return kv.Store{Get: f.get, Put: f.put, Watch: f.watch} }

func (f *fakeKV) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeKV) get(context.Context, string) (kv.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return kv.Entry{}, kv.UnavailableError{Call: "get", Cause: context.DeadlineExceeded}
	}
	if f.revision.IsZero() {
		return kv.Entry{}, kv.NotFoundError{Key: Key}
	}
	return kv.NewEntry(Key, f.value, f.revision, false), nil
}

func (f *fakeKV) put(_ context.Context, key string, value []byte, ifRevision kv.Revision, _ kv.Lease) (kv.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := kv.UnavailableError{Call: "put", MayHaveTakenEffect: true, Cause: context.DeadlineExceeded}
	if f.down || f.dropWrites > 0 {
		f.dropWrites--
		return kv.Revision{}, lost
	}
	if ifRevision != f.revision {
		return kv.Revision{}, kv.ConflictError{Key: key, Want: ifRevision, Current: f.revision}
	}
	f.value, f.revision = value, f.revision.Next()
	if f.afterPut != nil {
		after := f.afterPut
		f.afterPut = nil
		f.mu.Unlock()
		after()
		f.mu.Lock()
	}
	if f.loseResponses > 0 {
		f.loseResponses--
		return kv.Revision{}, lost
	}
	return f.revision, nil
}

func (f *fakeKV) watch(ctx context.Context, _ string, after kv.Revision, wait time.Duration) ([]kv.Entry, kv.Revision, error) {
	deadline := time.Now().Add(wait)
	for time.Now().Before(deadline) {
		f.mu.Lock()
		down, value, revision := f.down, f.value, f.revision
		f.mu.Unlock()
		if down {
			return nil, kv.Revision{}, kv.UnavailableError{Call: "watch", Cause: context.DeadlineExceeded}
		}
		if revision != after {
			return []kv.Entry{kv.NewEntry(Key, value, revision, false)}, revision, nil
		}
		if err := clock.Sleep(ctx, 10*time.Millisecond); err != nil {
			return nil, kv.Revision{}, err
		}
	}
	return nil, after, nil
}
