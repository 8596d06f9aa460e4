package config

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
)

// counts holds the number of calls of Syncer.Count for each class.
type counts struct {
	mu sync.Mutex
	by map[string]int
}

func (c *counts) add(class string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.by[class]++
}

func (c *counts) of(class string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.by[class]
}

func runSyncer(t *testing.T, store kv.Store, check func(s *Store, c *counts)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &counts{by: map[string]int{}}
		s := &Syncer{
			KV: store, Store: &Store{}, PollInterval: 10 * time.Second, WatchWait: 30 * time.Second, Count: c.add,
			OnContact: func() { c.add("contact") },
		}
		done := make(chan error)
		go func() { done <- s.Run(ctx) }()
		check(s.Store, c)
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
	})
}

func putDocument(t *testing.T, f *fakeKV, d Document) {
	t.Helper()
	value, err := record{Revision: d.Revision(), Digest: d.Digest(), Document: d.Fields()}.encode()
	require.NoError(t, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.value, f.revision = value, f.revision.Next()
}

func TestSyncerFollowsTheWatch(t *testing.T) {
	f := &fakeKV{}
	runSyncer(t, f.store(), func(s *Store, c *counts) {
		time.Sleep(time.Second)
		putDocument(t, f, NewDocument(1, fieldsOf(1, "a")))
		time.Sleep(time.Second)
		require.EqualValues(t, 1, s.Current().Revision())
		require.Equal(t, 1, c.of(FromWatch))
	})
}

// Guards against a daemon that keeps an old configuration because its watch hangs at the key-value service.
func TestSyncerPollFindsWhatTheWatchMisses(t *testing.T) {
	f := &fakeKV{}
	store := f.store()
	store.Watch = func(ctx context.Context, _ string, _ kv.Revision, _ time.Duration) ([]kv.Entry, kv.Revision, error) {
		<-ctx.Done()
		return nil, kv.Revision{}, ctx.Err()
	}
	runSyncer(t, store, func(s *Store, c *counts) {
		time.Sleep(time.Second)
		putDocument(t, f, NewDocument(1, fieldsOf(1, "a")))
		// The second poll follows the first after at most 12.5 s, which is 125 % of PollInterval.
		time.Sleep(14 * time.Second)
		require.EqualValues(t, 1, s.Current().Revision())
		require.Equal(t, 1, c.of(FromPoll))
	})
}

// Guards against polls of a large document that exceed the control traffic budget, and against an unlimited interval
// between polls.
func TestSyncerPollsLargeDocumentsLessOften(t *testing.T) {
	s := Syncer{PollInterval: 10 * time.Second}
	require.Equal(t, 10*time.Second, s.pollDelay(0))
	require.Equal(t, 10*time.Second, s.pollDelay(20_000))
	require.Equal(t, 100*time.Second, s.pollDelay(200_000))
	require.Equal(t, 2*time.Minute, s.pollDelay(1_000_000))
}

func TestSyncerIgnoresAnOlderState(t *testing.T) {
	f := &fakeKV{}
	runSyncer(t, f.store(), func(s *Store, c *counts) {
		putDocument(t, f, NewDocument(5, fieldsOf(5, "a")))
		time.Sleep(time.Second)
		putDocument(t, f, NewDocument(4, fieldsOf(4, "b")))
		time.Sleep(time.Second)
		putDocument(t, f, NewDocument(5, fieldsOf(5, "c")))
		time.Sleep(time.Second)
		require.EqualValues(t, 5, s.Current().Revision())
		require.Equal(t, []string{"a"}, s.Current().Fields().Places)
		require.Positive(t, c.of(Older))
		require.Positive(t, c.of(Refused))
	})
}

func TestSyncerRecoversFromAnOutage(t *testing.T) {
	f := &fakeKV{down: true}
	runSyncer(t, f.store(), func(s *Store, c *counts) {
		putDocument(t, f, NewDocument(1, fieldsOf(1, "a")))
		time.Sleep(time.Minute)
		require.Zero(t, s.Current().Revision())
		require.Zero(t, c.of("contact"), "a failed call must not count as contact")
		f.setDown(false)
		time.Sleep(2 * maxWatchRetryDelay)
		require.EqualValues(t, 1, s.Current().Revision())
	})
}

// Guards against a configuration that stays as it was after the store has come back from an older copy, whether its new
// revisions are below, at or above the last one that the watch has seen.
func TestSyncerFollowsAStoreInANewEra(t *testing.T) {
	for _, number := range []uint64{1, 5, 9} {
		f := &fakeKV{revision: kv.NewRevision(1, 4)}
		var eras kv.Eras
		store := eras.Guard(f.store())
		store.Get = func(ctx context.Context, _ string) (kv.Entry, error) {
			<-ctx.Done()
			return kv.Entry{}, ctx.Err()
		}
		runSyncer(t, store, func(s *Store, _ *counts) {
			putDocument(t, f, NewDocument(1, fieldsOf(1, "a")))
			time.Sleep(2 * time.Second)
			require.EqualValues(t, 1, s.Current().Revision())
			f.mu.Lock()
			f.revision = kv.NewRevision(2, number-1)
			f.mu.Unlock()
			eras.Observe(2)
			putDocument(t, f, NewDocument(2, fieldsOf(2, "b")))
			time.Sleep(2 * time.Second)
			require.EqualValues(t, 2, s.Current().Revision())
		})
	}
}

// Guards against lost content that stays in force after the operator has given its number to another one in a new era,
// on the whole way from the watch, and against revisions after it that come late.
func TestSyncerTakesRewrittenContent(t *testing.T) {
	for _, number := range []uint64{1, 3, 40} {
		f := &fakeKV{revision: kv.NewRevision(1, 2)}
		eras := &kv.Eras{}
		observe := func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			eras.Observe(f.revision.Era())
		}
		direct := f.store()
		store := eras.Guard(kv.Store{
			Get: func(ctx context.Context, key string) (kv.Entry, error) {
				defer observe()
				return direct.Get(ctx, key)
			},
			Watch: func(ctx context.Context, key string, after kv.Revision, wait time.Duration) ([]kv.Entry, kv.Revision, error) {
				defer observe()
				return direct.Watch(ctx, key, after, wait)
			},
		})
		runSyncer(t, store, func(s *Store, c *counts) {
			putDocument(t, f, NewDocument(5, fieldsOf(5, "lost")))
			time.Sleep(time.Second)
			require.EqualValues(t, 5, s.Current().Revision())
			f.mu.Lock()
			f.revision = kv.NewRevision(2, number)
			f.mu.Unlock()
			putDocument(t, f, NewDocument(5, fieldsOf(5, "rewritten")))
			time.Sleep(time.Second)
			require.Equal(t, []string{"rewritten"}, s.Current().Fields().Places)
			for revision := range uint64(5) {
				putDocument(t, f, NewDocument(6+revision, fieldsOf(6, "next")))
				time.Sleep(time.Second)
				require.Equal(t, 6+revision, s.Current().Revision())
			}
			require.Positive(t, c.of(FromWatch))
		})
	}
}
