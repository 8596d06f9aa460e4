package kv_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
)

// scriptedStore is a store with predefined responses. When all of them are used, calls block until the context ends.
type scriptedStore struct {
	lists   []func() ([]kv.Entry, kv.Revision, error)
	watches []func() ([]kv.Entry, kv.Revision, error)
	after   []kv.Revision // the revisions that Watch was called with
}

func nextResponse(ctx context.Context, responses *[]func() ([]kv.Entry, kv.Revision, error)) ([]kv.Entry, kv.Revision, error) {
	if len(*responses) == 0 {
		<-ctx.Done()
		return nil, kv.Revision{}, kv.UnavailableError{Call: "test", Cause: ctx.Err()}
	}
	next := (*responses)[0]
	*responses = (*responses)[1:]
	return next()
}

func (s *scriptedStore) store() kv.Store {
	return kv.Store{
		List: func(ctx context.Context, _ string) ([]kv.Entry, kv.Revision, error) {
			return nextResponse(ctx, &s.lists)
		},
		Watch: func(ctx context.Context, _ string, after kv.Revision, _ time.Duration) ([]kv.Entry, kv.Revision, error) {
			s.after = append(s.after, after)
			return nextResponse(ctx, &s.watches)
		},
	}
}

func response(revision uint64, keys ...string) func() ([]kv.Entry, kv.Revision, error) {
	return func() ([]kv.Entry, kv.Revision, error) {
		var entries []kv.Entry
		for _, key := range keys {
			entries = append(entries, kv.NewEntry(key, nil, kv.NewRevision(0, revision), false))
		}
		return entries, kv.NewRevision(0, revision), nil
	}
}

func failing(err error) func() ([]kv.Entry, kv.Revision, error) {
	return func() ([]kv.Entry, kv.Revision, error) { return nil, kv.Revision{}, err }
}

type applied struct {
	revision uint64
	full     bool
	elapsed  time.Duration
}

func follow(t *testing.T, s *scriptedStore, f *kv.Follower) (got []applied, failures int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		start := time.Now()
		f.Store, f.RelistInterval = s.store(), time.Hour
		f.Apply = func(_ []kv.Entry, revision kv.Revision, full bool) {
			got = append(got, applied{revision.Number(), full, time.Since(start)})
		}
		f.OnError = func(error) { failures++ }
		require.Error(t, f.Run(ctx))
	})
	return got, failures
}

// Guards against a copy that misses changes that the store has compacted.
func TestFollowerRelistsAfterCompaction(t *testing.T) {
	s := &scriptedStore{
		lists:   []func() ([]kv.Entry, kv.Revision, error){response(5, "a"), response(9, "b")},
		watches: []func() ([]kv.Entry, kv.Revision, error){response(6, "a"), failing(kv.CompactedError{After: kv.NewRevision(0, 6)}), response(10, "c")},
	}
	got, _ := follow(t, s, &kv.Follower{})
	require.Len(t, got, 4)
	require.Equal(t, []uint64{5, 6, 9, 10}, []uint64{got[0].revision, got[1].revision, got[2].revision, got[3].revision})
	require.True(t, got[2].full)
	require.Less(t, got[2].elapsed, time.Second, "a change may be unnoticed until the next list")
	require.Equal(t, []kv.Revision{kv.NewRevision(0, 5), kv.NewRevision(0, 6), kv.NewRevision(0, 9), kv.NewRevision(0, 10)}, s.after)
}

// Guards against a copy that is replaced by a response with a lower revision.
func TestFollowerRejectsOldResponses(t *testing.T) {
	s := &scriptedStore{
		lists:   []func() ([]kv.Entry, kv.Revision, error){response(5), response(4), response(6)},
		watches: []func() ([]kv.Entry, kv.Revision, error){response(3)},
	}
	got, failures := follow(t, s, &kv.Follower{})
	require.Len(t, got, 2)
	require.EqualValues(t, 6, got[1].revision)
	require.GreaterOrEqual(t, failures, 2)
}

// Guards against a call to the store for each of many changes in quick succession.
func TestFollowerPausesAfterChanges(t *testing.T) {
	s := &scriptedStore{
		lists:   []func() ([]kv.Entry, kv.Revision, error){response(1)},
		watches: []func() ([]kv.Entry, kv.Revision, error){response(2, "a"), response(3, "a"), response(3), response(4, "a")},
	}
	got, _ := follow(t, s, &kv.Follower{BatchDelay: 500 * time.Millisecond})
	require.Len(t, got, 5)
	require.Equal(t, 500*time.Millisecond, got[2].elapsed-got[1].elapsed)
	require.Equal(t, time.Duration(0), got[4].elapsed-got[3].elapsed, "no pause after a response without changes")
}
