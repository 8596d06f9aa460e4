package relay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
)

// newRelayedStore returns the Store of a daemon that is no reader, with a service in the era that eras has seen last.
func newRelayedStore(eras *kv.Eras, ask func(ctx context.Context, address string, request Request) (Response, error)) *Store {
	peers := make([]string, 40)
	for i := range peers {
		peers[i] = fmt.Sprintf("10.0.1.%d:1", i+1)
	}
	return &Store{
		Direct: eras.Guard(kv.Store{
			List: func(context.Context, string) ([]kv.Entry, kv.Revision, error) {
				revision := kv.NewRevision(eras.Current(), 8)
				return []kv.Entry{kv.NewEntry(testPrefix+"a", nil, revision, false)}, revision, nil
			},
			Watch: func(context.Context, string, kv.Revision, time.Duration) ([]kv.Entry, kv.Revision, error) {
				return nil, kv.NewRevision(eras.Current(), 8), nil
			},
		}),
		Timings: map[string]Timing{testPrefix: NewTiming(time.Second)}, Ask: ask,
		Self: "10.0.0.1:1", Peers: func() []string { return peers },
	}
}

// Guards against a list that is put together from pages of two eras, and against a reader that is not told the era that
// the follower knows.
func TestRelayedListOfTwoErasIsRefused(t *testing.T) {
	eras := &kv.Eras{}
	eras.Observe(1)
	asked := 0
	s := newRelayedStore(eras, func(_ context.Context, _ string, request Request) (Response, error) {
		asked++
		require.EqualValues(t, 1, request.After.Era())
		if request.AfterKey == "" {
			revision := kv.NewRevision(1, 8)
			return Response{Entries: []kv.Entry{kv.NewEntry(testPrefix+"a", nil, revision, false)}, Revision: revision, HasMore: true}, nil
		}
		eras.Observe(2)
		revision := kv.NewRevision(2, 4)
		return Response{Entries: []kv.Entry{kv.NewEntry(testPrefix+"lost", nil, revision, false)}, Revision: revision}, nil
	})
	for range 2 {
		entries, listed, err := s.KV().List(t.Context(), testPrefix)
		require.NoError(t, err)
		require.Len(t, entries, 1)
		require.Equal(t, testPrefix+"a", entries[0].Key())
		require.True(t, entries[0].Revision().SameEra(listed))
	}
	require.Equal(t, 2, asked)
}

// Guards against changes of a new era that are applied after a revision of the earlier one.
func TestRelayedChangesOfAnotherEraAreRefused(t *testing.T) {
	eras := &kv.Eras{}
	eras.Observe(1)
	s := newRelayedStore(eras, func(context.Context, string, Request) (Response, error) {
		eras.Observe(2)
		revision := kv.NewRevision(2, 8)
		return Response{Entries: []kv.Entry{kv.NewEntry(testPrefix+"b", nil, revision, false)}, Revision: revision}, nil
	})
	_, listed, err := s.KV().List(t.Context(), testPrefix)
	require.NoError(t, err)
	_, _, err = s.KV().Watch(t.Context(), testPrefix, listed, time.Second)
	_, ended := errors.AsType[kv.EraEndedError](err)
	require.True(t, ended, "%v", err)
}

// Guards against a sound reader that is left out because this daemon ended its own call to check the era.
func TestInterruptedReaderIsNotSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eras := &kv.Eras{}
		eras.Observe(1)
		s := newRelayedStore(eras, func(ctx context.Context, _ string, _ Request) (Response, error) {
			<-ctx.Done()
			return Response{}, errors.Trace(ctx.Err())
		})
		_, listed, err := s.KV().List(t.Context(), testPrefix)
		require.NoError(t, err)
		time.Sleep(time.Second)
		go func() {
			time.Sleep(50 * time.Millisecond)
			f, _, _ := s.state(testPrefix)
			f.requestCheck(2, 0)
		}()
		begun := time.Now()
		_, revision, err := s.KV().Watch(t.Context(), testPrefix, listed, time.Second)
		require.NoError(t, err)
		require.Equal(t, kv.NewRevision(1, 8), revision)
		require.Equal(t, 50*time.Millisecond, time.Since(begun))
		require.Empty(t, s.suspended)
	})
}

// Guards against a page whose entries are of another era than its revision says.
func TestPagesAreOfOneEra(t *testing.T) {
	f := &followed{}
	list := func(era uint64) {
		revision := kv.NewRevision(era, 8)
		f.replica.ApplyList([]kv.Entry{kv.NewEntry(testPrefix+"a", nil, revision, false)}, revision, time.Now())
	}
	list(1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for era := range uint64(20_000) {
			list(era + 2)
		}
	}()
	for {
		page, err := f.page(NewTiming(time.Minute), Request{Full: true})
		require.NoError(t, err)
		require.True(t, page.Entries[0].Revision().SameEra(page.Revision), "%s in a page of %s", page.Entries[0].Revision(), page.Revision)
		select {
		case <-done:
			return
		default:
		}
	}
}

// Guards against daemons that mislead each other in a rolling upgrade from a build without eras, one after the other,
// while the store comes back from older copies: each daemon of the newer build must know each change within the bound.
func TestRollingUpgradeToEras(t *testing.T) {
	const bound = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(40, bound)
		for _, d := range fl.daemons {
			d.withoutEras.Store(true)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			fl.group.Wait()
		}()
		fl.start(ctx)
		time.Sleep(3 * time.Second)
		restored := fl.store.copy()
		for i, upgraded := range fl.daemons {
			upgraded.kill()
			time.Sleep(100 * time.Millisecond)
			upgraded.withoutEras.Store(false)
			upgraded.start(ctx)
			fl.store.put(fmt.Sprintf("%sengine-%d", testPrefix, i), "ready")
			if i%8 == 7 {
				fl.store.restore(restored, i%16 == 7)
				restored = fl.store.copy()
			}
			time.Sleep(bound)
			for _, d := range fl.daemons[:i+1] {
				requireStoreState(t, fl, d)
			}
		}
	})
}
