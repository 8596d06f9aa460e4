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

// counts collects the classes that a Syncer reports.
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
			KV: store, Store: &Store{}, Poll: 10 * time.Second, Wait: 30 * time.Second, Count: c.add, Contact: func() { c.add("contact") },
		}
		done := make(chan error)
		go func() { done <- s.Run(ctx) }()
		check(s.Store, c)
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
	})
}

func put(t *testing.T, f *fakeKV, d Document) {
	t.Helper()
	value, err := record{Revision: d.Revision(), Digest: d.Digest(), Document: d.Fields()}.encode()
	require.NoError(t, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.value, f.revision = value, f.revision+1
}

func TestSyncerFollowsTheWatch(t *testing.T) {
	f := &fakeKV{}
	runSyncer(t, f.store(), func(s *Store, c *counts) {
		time.Sleep(time.Second)
		put(t, f, NewDocument(1, sheet(1, "a")))
		time.Sleep(time.Second)
		require.EqualValues(t, 1, s.Current().Revision())
		require.Equal(t, 1, c.of(FromWatch))
	})
}

// A watch may hang at the platform; without the poll such a daemon would keep an old configuration.
func TestSyncerPollFindsWhatTheWatchMisses(t *testing.T) {
	f := &fakeKV{}
	store := f.store()
	store.Watch = func(ctx context.Context, _ string, _ uint64, _ time.Duration) ([]kv.Entry, uint64, error) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	runSyncer(t, store, func(s *Store, c *counts) {
		time.Sleep(time.Second)
		put(t, f, NewDocument(1, sheet(1, "a")))
		time.Sleep(14 * time.Second)
		require.EqualValues(t, 1, s.Current().Revision())
		require.Equal(t, 1, c.of(FromPoll))
	})
}

// Guards against polls of a large document that exceed the budget of control traffic, and against ones that end.
func TestSyncerPollsLargeDocumentsLessOften(t *testing.T) {
	s := Syncer{Poll: 10 * time.Second}
	require.Equal(t, 10*time.Second, s.pollPause(0))
	require.Equal(t, 10*time.Second, s.pollPause(20_000))
	require.Equal(t, 100*time.Second, s.pollPause(200_000))
	require.Equal(t, 2*time.Minute, s.pollPause(1_000_000))
}

func TestSyncerIgnoresAnOlderState(t *testing.T) {
	f := &fakeKV{}
	runSyncer(t, f.store(), func(s *Store, c *counts) {
		put(t, f, NewDocument(5, sheet(5, "a")))
		time.Sleep(time.Second)
		put(t, f, NewDocument(4, sheet(4, "b")))
		time.Sleep(time.Second)
		put(t, f, NewDocument(5, sheet(5, "c")))
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
		put(t, f, NewDocument(1, sheet(1, "a")))
		time.Sleep(time.Minute)
		require.Zero(t, s.Current().Revision())
		require.Zero(t, c.of("contact"), "a failed call is no contact")
		f.setDown(false)
		time.Sleep(2 * maxWatchPause)
		require.EqualValues(t, 1, s.Current().Revision())
	})
}
