package kv_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
)

// script is a store whose answers are listed in advance; when they are used up, calls wait for the context.
type script struct {
	lists   []func() ([]kv.Entry, uint64, error)
	watches []func() ([]kv.Entry, uint64, error)
	after   []uint64
}

func take(ctx context.Context, list *[]func() ([]kv.Entry, uint64, error)) ([]kv.Entry, uint64, error) {
	if len(*list) == 0 {
		<-ctx.Done()
		return nil, 0, kv.UnavailableError{Call: "test", Cause: ctx.Err()}
	}
	next := (*list)[0]
	*list = (*list)[1:]
	return next()
}

func (s *script) store() kv.Store {
	return kv.Store{
		List: func(ctx context.Context, _ string) ([]kv.Entry, uint64, error) { return take(ctx, &s.lists) },
		Watch: func(ctx context.Context, _ string, after uint64, _ time.Duration) ([]kv.Entry, uint64, error) {
			s.after = append(s.after, after)
			return take(ctx, &s.watches)
		},
	}
}

func answer(revision uint64, keys ...string) func() ([]kv.Entry, uint64, error) {
	return func() ([]kv.Entry, uint64, error) {
		var entries []kv.Entry
		for _, key := range keys {
			entries = append(entries, kv.NewEntry(key, nil, revision, false))
		}
		return entries, revision, nil
	}
}

func failing(err error) func() ([]kv.Entry, uint64, error) {
	return func() ([]kv.Entry, uint64, error) { return nil, 0, err }
}

type applied struct {
	revision uint64
	whole    bool
	after    time.Duration
}

func follow(t *testing.T, s *script, f *kv.Follower) (got []applied, failures int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		begin := time.Now()
		f.Store, f.RelistInterval = s.store(), time.Hour
		f.Apply = func(_ []kv.Entry, revision uint64, whole bool) {
			got = append(got, applied{revision, whole, time.Since(begin)})
		}
		f.OnError = func(error) { failures++ }
		require.Error(t, f.Run(ctx))
	})
	return got, failures
}

// Guards against a copy that misses what happened while the store forgot its history.
func TestFollowerReadsAnewAfterCompaction(t *testing.T) {
	s := &script{
		lists:   []func() ([]kv.Entry, uint64, error){answer(5, "a"), answer(9, "b")},
		watches: []func() ([]kv.Entry, uint64, error){answer(6, "a"), failing(kv.CompactedError{After: 6}), answer(10, "c")},
	}
	got, _ := follow(t, s, &kv.Follower{})
	require.Len(t, got, 4)
	require.Equal(t, []uint64{5, 6, 9, 10}, []uint64{got[0].revision, got[1].revision, got[2].revision, got[3].revision})
	require.True(t, got[2].whole)
	require.Less(t, got[2].after, time.Second, "a change may wait to be seen")
	require.Equal(t, []uint64{5, 6, 9, 10}, s.after)
}

// Guards against a copy that goes back to an answer from before what it has seen.
func TestFollowerRefusesOldAnswers(t *testing.T) {
	s := &script{
		lists:   []func() ([]kv.Entry, uint64, error){answer(5), answer(4), answer(6)},
		watches: []func() ([]kv.Entry, uint64, error){answer(3)},
	}
	got, failures := follow(t, s, &kv.Follower{})
	require.Len(t, got, 2)
	require.EqualValues(t, 6, got[1].revision)
	require.GreaterOrEqual(t, failures, 2)
}

// Guards against a call to the store for each of many changes in quick succession.
func TestFollowerPausesAfterChanges(t *testing.T) {
	s := &script{
		lists:   []func() ([]kv.Entry, uint64, error){answer(1)},
		watches: []func() ([]kv.Entry, uint64, error){answer(2, "a"), answer(3, "a"), answer(3), answer(4, "a")},
	}
	got, _ := follow(t, s, &kv.Follower{BatchDelay: 500 * time.Millisecond})
	require.Len(t, got, 5)
	require.Equal(t, 500*time.Millisecond, got[2].after-got[1].after)
	require.Equal(t, time.Duration(0), got[4].after-got[3].after, "an answer without changes needs no pause")
}
