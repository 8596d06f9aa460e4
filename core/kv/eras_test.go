package kv_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
)

// eraStore is a store with one key that may come back from an older copy. answerEra, if not 0, is the era of the
// responses, for those that arrive late.
type eraStore struct {
	eras *kv.Eras

	mu        sync.Mutex
	revision  kv.Revision
	entries   []kv.Entry
	answerEra uint64
	calls     int
}

func newEraStore() (*eraStore, kv.Store) {
	s := &eraStore{eras: &kv.Eras{}, revision: kv.NewRevision(1, 100)}
	return s, s.eras.Guard(kv.Store{
		Get: func(context.Context, string) (kv.Entry, error) {
			return kv.NewEntry("k", nil, s.answer(), false), nil
		},
		Put: func(context.Context, string, []byte, kv.Revision, kv.Lease) (kv.Revision, error) {
			return s.answer(), nil
		},
		Delete: func(context.Context, string, kv.Revision) error {
			s.answer()
			return nil
		},
		List: s.list,
		Watch: func(_ context.Context, _ string, _ kv.Revision, wait time.Duration) ([]kv.Entry, kv.Revision, error) {
			time.Sleep(wait)
			return nil, s.answer(), nil
		},
		Grant: func(context.Context, time.Duration) (kv.Lease, error) { return kv.NewLease(s.answer().Era(), "7"), nil },
		Renew: func(context.Context, kv.Lease) error {
			s.answer()
			return nil
		},
		Revoke: func(context.Context, kv.Lease) error {
			s.answer()
			return nil
		},
	})
}

// answer returns the revision of the next response.
func (s *eraStore) answer() kv.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	revision := s.revision
	if s.answerEra != 0 {
		revision = kv.NewRevision(s.answerEra, revision.Number())
	}
	s.eras.Observe(revision.Era())
	return revision
}

// restore begins a new era at the given number, with the given entries.
func (s *eraStore) restore(number uint64, entries ...kv.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.entries = kv.NewRevision(s.revision.Era()+1, number), entries
}

func (s *eraStore) list(context.Context, string) ([]kv.Entry, kv.Revision, error) {
	revision := s.answer()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries, revision, nil
}

func requireEraEnded(t *testing.T, err error) {
	t.Helper()
	_, ended := errors.AsType[kv.EraEndedError](err)
	require.True(t, ended, "%v", err)
}

// Guards against a revision or lease of a store's earlier history that is used in the later one: a watch that misses
// what the later one wrote up to the same number, a write over another value, and the end of another holder's lease.
func TestGuardKeepsErasApart(t *testing.T) {
	old, oldLease := kv.NewRevision(1, 100), kv.NewLease(1, "7")
	calls := map[string]func(store kv.Store) error{
		"watch":  func(store kv.Store) error { _, _, err := store.Watch(t.Context(), "", old, 0); return err },
		"put":    func(store kv.Store) error { _, err := store.Put(t.Context(), "k", nil, old, kv.Lease{}); return err },
		"delete": func(store kv.Store) error { return store.Delete(t.Context(), "k", old) },
		"renew":  func(store kv.Store) error { return store.Renew(t.Context(), oldLease) },
		"revoke": func(store kv.Store) error { return store.Revoke(t.Context(), oldLease) },
		"put with lease": func(store kv.Store) error {
			_, err := store.Put(t.Context(), "k", nil, kv.Revision{}, oldLease)
			return err
		},
	}
	for name, call := range calls {
		for _, number := range []uint64{60, 100, 140} {
			t.Run(name, func(t *testing.T) {
				s, store := newEraStore()
				require.NoError(t, call(store))
				s.restore(number)
				require.Error(t, call(store), "the response is the first one of the era")
				_, _, err := store.List(t.Context(), "")
				require.NoError(t, err)
				sent := s.calls
				require.Error(t, call(store))
				require.Equal(t, sent, s.calls, "the call was sent although the era is known to have ended")
			})
		}
	}
}

// Guards against a write that is reported as not made although it was made in a new era of the store.
func TestGuardReportsAWriteInAnotherEraAsUnknown(t *testing.T) {
	s, store := newEraStore()
	lease, err := store.Grant(t.Context(), time.Second)
	require.NoError(t, err)
	s.restore(60)
	for _, sent := range []struct {
		revision kv.Revision
		lease    kv.Lease
	}{{revision: kv.NewRevision(1, 100)}, {lease: lease}} {
		s.eras = &kv.Eras{}
		guarded := s.eras.Guard(kv.Store{Put: func(context.Context, string, []byte, kv.Revision, kv.Lease) (kv.Revision, error) {
			return s.answer(), nil
		}})
		s.eras.Observe(1)
		_, err = guarded.Put(t.Context(), "k", nil, sent.revision, sent.lease)
		unavailable, ok := errors.AsType[kv.UnavailableError](err)
		require.True(t, ok)
		require.True(t, unavailable.MayHaveTakenEffect)
	}
}

// Guards against a response of an earlier era that arrives late, on a kept connection, and replaces newer knowledge.
func TestGuardRefusesALateResponse(t *testing.T) {
	s, store := newEraStore()
	s.restore(60)
	_, _, err := store.List(t.Context(), "")
	require.NoError(t, err)
	s.answerEra = 1
	_, _, err = store.List(t.Context(), "")
	requireEraEnded(t, err)
	_, err = store.Get(t.Context(), "k")
	require.Error(t, err)
	_, _, err = store.Watch(t.Context(), "", kv.NewRevision(2, 60), 0)
	requireEraEnded(t, err)
	_, err = store.Put(t.Context(), "k", nil, kv.Revision{}, kv.Lease{})
	require.Error(t, err)
	require.EqualValues(t, 2, s.eras.Current())
}

// Guards against a list whose pages come from two histories of the store.
func TestGuardRefusesAListOfTwoEras(t *testing.T) {
	s, store := newEraStore()
	s.entries = []kv.Entry{kv.NewEntry("a", nil, kv.NewRevision(1, 3), false), kv.NewEntry("b", nil, kv.NewRevision(2, 3), false)}
	_, _, err := store.List(t.Context(), "")
	requireEraEnded(t, err)
}

// Guards against an era that begins without being counted, and against the first era that is counted as a change.
func TestErasReportEachBeginningOnce(t *testing.T) {
	var seen [][2]uint64
	eras := &kv.Eras{OnBegin: func(before, after uint64) { seen = append(seen, [2]uint64{before, after}) }}
	for _, era := range []uint64{0, 3, 3, 0, 2, 4, 3, 6} {
		eras.Observe(era)
	}
	require.Equal(t, [][2]uint64{{3, 4}, {4, 6}}, seen)
}

// Guards against a copy that stays as it was after the store has come back from an older one: with a lower, the same or
// a higher revision, and also if nothing is written after the return.
func TestFollowerReadsANewEraAtOnce(t *testing.T) {
	for _, number := range []uint64{60, 100, 140} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s, store := newEraStore()
			s.entries = []kv.Entry{kv.NewEntry("old", nil, kv.NewRevision(1, 90), false)}
			var revision kv.Revision
			var keys []string
			f := &kv.Follower{Store: store, WatchWait: time.Second, RelistInterval: time.Hour, Apply: func(entries []kv.Entry, r kv.Revision, full bool) {
				revision = r
				if full {
					keys = nil
				}
				for _, entry := range entries {
					keys = append(keys, entry.Key())
				}
			}}
			done := make(chan error)
			go func() { done <- f.Run(ctx) }()
			time.Sleep(500 * time.Millisecond)
			s.restore(number, kv.NewEntry("new", nil, kv.NewRevision(2, number), false))
			time.Sleep(time.Second)
			cancel()
			require.Error(t, <-done)
			require.Equal(t, kv.NewRevision(2, number), revision)
			require.Equal(t, []string{"new"}, keys)
		})
	}
}

// Guards against a missing key that is reported as a failure of the store because it is the first response of all, and
// against one that is believed although a new era has begun during the call.
func TestGuardReportsAMissingKey(t *testing.T) {
	var eras kv.Eras
	era := uint64(7)
	store := eras.Guard(kv.Store{Get: func(_ context.Context, key string) (kv.Entry, error) {
		eras.Observe(era)
		return kv.Entry{}, kv.NotFoundError{Key: key}
	}})
	for _, missing := range []bool{true, true, false, true} {
		if !missing {
			era++
		}
		_, err := store.Get(t.Context(), "k")
		_, notFound := errors.AsType[kv.NotFoundError](err)
		require.Equal(t, missing, notFound, "%v", err)
	}
}
