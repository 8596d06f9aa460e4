package lease_test

import (
	"context"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/failure"
	"radishhollow/core/kv"
	"radishhollow/core/lease"
)

// fakeStore is a key-value service with one key, and with leases that expire by the clock of the synctest bubble.
type fakeStore struct {
	mu              sync.Mutex
	revision        kv.Revision
	entry           kv.Entry
	leaseID         kv.Lease
	expiry          map[kv.Lease]time.Time
	ttl             map[kv.Lease]time.Duration
	unavailable     bool
	losePutResponse bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{expiry: map[kv.Lease]time.Time{}, ttl: map[kv.Lease]time.Duration{}}
}

var errUnavailable = kv.UnavailableError{Call: "call", MayHaveTakenEffect: true, Cause: io.ErrUnexpectedEOF}

// lockAndExpire locks the store and removes the key if its lease has expired.
func (f *fakeStore) lockAndExpire() error {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	if !time.Now().Before(f.expiry[f.leaseID]) {
		f.entry, f.leaseID = kv.Entry{}, kv.Lease{}
	}
	if f.unavailable {
		return errUnavailable
	}
	return nil
}

func (f *fakeStore) get(_ context.Context, key string) (kv.Entry, error) {
	err := f.lockAndExpire()
	defer f.mu.Unlock()
	if err == nil && f.leaseID.IsZero() {
		return kv.Entry{}, kv.NotFoundError{Key: key}
	}
	return f.entry, err
}

func (f *fakeStore) put(_ context.Context, key string, value []byte, _ kv.Revision, id kv.Lease) (kv.Revision, error) {
	err := f.lockAndExpire()
	defer f.mu.Unlock()
	if err != nil {
		return kv.Revision{}, err
	}
	if !f.leaseID.IsZero() {
		return kv.Revision{}, kv.ConflictError{Key: key, Current: f.entry.Revision()}
	}
	if !time.Now().Before(f.expiry[id]) {
		return kv.Revision{}, kv.LeaseLostError{Lease: id}
	}
	f.revision = f.revision.Next()
	f.entry, f.leaseID = kv.NewEntry(key, value, f.revision, false), id
	if f.losePutResponse {
		f.losePutResponse = false
		return kv.Revision{}, errUnavailable
	}
	return f.revision, nil
}

func (f *fakeStore) watch(ctx context.Context, _ string, after kv.Revision, wait time.Duration) ([]kv.Entry, kv.Revision, error) {
	for deadline := time.Now().Add(wait); time.Now().Before(deadline) && ctx.Err() == nil; {
		err := f.lockAndExpire()
		changed := f.entry.Revision() != after
		f.mu.Unlock()
		if err != nil || changed {
			return nil, kv.Revision{}, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, kv.Revision{}, ctx.Err()
}

func (f *fakeStore) grant(_ context.Context, ttl time.Duration) (kv.Lease, error) {
	err := f.lockAndExpire()
	defer f.mu.Unlock()
	id := kv.NewLease(f.revision.Era(), strconv.Itoa(len(f.expiry)+1))
	f.expiry[id], f.ttl[id] = time.Now().Add(ttl), ttl
	return id, err
}

func (f *fakeStore) renew(_ context.Context, id kv.Lease) error {
	err := f.lockAndExpire()
	defer f.mu.Unlock()
	if err != nil {
		return err
	}
	if !time.Now().Before(f.expiry[id]) {
		return kv.LeaseLostError{Lease: id}
	}
	f.expiry[id] = time.Now().Add(f.ttl[id])
	return nil
}

func (f *fakeStore) revoke(_ context.Context, id kv.Lease) error {
	err := f.lockAndExpire()
	defer f.mu.Unlock()
	if err == nil {
		delete(f.expiry, id)
	}
	return err
}

// restore begins a new era from an empty copy.
func (f *fakeStore) restore(revision kv.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision, f.entry, f.leaseID = revision, kv.Entry{}, kv.Lease{}
}

func (f *fakeStore) store() kv.Store {
	return kv.Store{Get: f.get, Put: f.put, Watch: f.watch, Grant: f.grant, Renew: f.renew, Revoke: f.revoke}
}

func (f *fakeStore) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// start starts a holder, which runs until the returned function is called.
func start(t *testing.T, store kv.Store) (*lease.Holder, func()) {
	t.Helper()
	h := &lease.Holder{Store: store, Place: "liberia"}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.Run(ctx)
	}()
	return h, func() { cancel(); <-done }
}

func requireCode(t *testing.T, err error, code string) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, code, failure.Of(err).Code())
}

// Guards against two holders at the same time, a slow handover after a planned stop, and a token that does not
// increase.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		a, stopA := start(t, f.store())
		time.Sleep(time.Second)
		b, stopB := start(t, f.store())
		defer stopB()
		var last uint64
		for range 120 {
			time.Sleep(time.Second)
			token, err := a.Check(true)
			require.NoError(t, err)
			last = token
			_, err = b.Check(true)
			requireCode(t, err, "not-lease-holder")
		}
		stopA()
		time.Sleep(2 * time.Second)
		_, err := a.Check(true)
		requireCode(t, err, "not-lease-holder")
		token, err := b.Check(true)
		require.NoError(t, err, "a planned stop hands over immediately")
		require.Greater(t, token, last)
	})
}

// Guards against a holder that sends orders after its lease has expired during a pause, even if a delayed response
// confirms a renewal.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		store := f.store()
		pause := make(chan struct{})
		var paused atomic.Bool
		store.Renew = func(ctx context.Context, id kv.Lease) error {
			err := f.renew(ctx, id)
			if paused.Load() {
				<-pause
			}
			return err
		}
		a, stopA := start(t, store)
		defer stopA()
		time.Sleep(time.Second)
		first, err := a.Check(true)
		require.NoError(t, err)
		b, stopB := start(t, f.store())
		defer stopB()
		paused.Store(true)
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			_, errA := a.Check(true)
			_, errB := b.Check(true)
			require.False(t, errA == nil && errB == nil, "two holders")
		}
		second, err := b.Check(true)
		require.NoError(t, err)
		require.Greater(t, second, first)
		paused.Store(false)
		close(pause)
		time.Sleep(time.Second)
		_, err = a.Check(true)
		requireCode(t, err, "not-lease-holder")
	})
}

// Guards against a holder that keeps the lease during a long outage of the platform, or never acquires it again.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		h, stop := start(t, f.store())
		defer stop()
		time.Sleep(time.Second)
		first, err := h.Check(true)
		require.NoError(t, err)
		f.set(func() { f.unavailable = true })
		time.Sleep(5 * time.Second)
		_, err = h.Check(true)
		require.NoError(t, err, "a short outage does not lose the lease")
		time.Sleep(lease.DefaultTTL)
		_, err = h.Check(true)
		requireCode(t, err, "not-lease-holder")
		f.set(func() { f.unavailable = false })
		time.Sleep(5 * time.Second)
		second, err := h.Check(true)
		require.NoError(t, err)
		require.Greater(t, second, first)
	})
}

// Guards against an instance that waits for a lease that it holds itself, because the response to its write was lost.
func TestLostPutResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		f.losePutResponse = true
		h, stop := start(t, f.store())
		defer stop()
		time.Sleep(2 * time.Second)
		token, err := h.Check(true)
		require.NoError(t, err)
		require.EqualValues(t, 1, token)
	})
}

// Guards against an order to an endpoint that ignores the token while an earlier holder's order may be in flight.
func TestWaitForEarlierHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, stop := start(t, newFakeStore().store())
		defer stop()
		time.Sleep(lease.DefaultTTL + lease.DefaultOrderTimeout - time.Second)
		_, err := h.Check(true)
		require.NoError(t, err)
		_, err = h.Check(false)
		requireCode(t, err, "waiting-out-lease")
		time.Sleep(3 * time.Second)
		_, err = h.Check(false)
		require.NoError(t, err)
	})
}

// Guards against several holders when all instances of a place start at once.
func TestSimultaneousStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		var holders []*lease.Holder
		for range 5 {
			h, stop := start(t, f.store())
			defer stop()
			holders = append(holders, h)
		}
		for range 100 {
			time.Sleep(500 * time.Millisecond)
			held := 0
			for _, h := range holders {
				if _, err := h.Check(true); err == nil {
					held++
				}
			}
			require.Equal(t, 1, held)
		}
	})
}

// Guards against two holders, and against orders with a fencing token that an endpoint has already seen: after the store
// has come back from an older copy, the lease may be another holder's, and revisions are given out again.
func TestHolderStopsInANewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.revision = kv.NewRevision(1, 100)
		var eras kv.Eras
		eras.Observe(1)
		h := &lease.Holder{Store: eras.Guard(store.store()), Place: "liberia", Era: eras.Current}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = h.Run(ctx)
		}()
		time.Sleep(time.Second)
		before, err := h.Check(true)
		require.NoError(t, err)
		store.restore(kv.NewRevision(2, 10))
		eras.Observe(2)
		_, err = h.Check(true)
		require.Error(t, err, "the lease belongs to the last era")
		time.Sleep(time.Minute)
		after, err := h.Check(true)
		require.NoError(t, err)
		require.Greater(t, after, before)
		cancel()
		<-done
	})
}

// Guards against a holder that ends another one's lease: its first call after the return of the store is the end of its own
// lease, whose ID has been given out again.
func TestHolderEndsNoLeaseOfTheNextEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var eras kv.Eras
		var mu sync.Mutex
		era, down := uint64(1), false
		var ended []uint64
		call := func() (uint64, error) {
			mu.Lock()
			defer mu.Unlock()
			if down {
				return 0, kv.UnavailableError{Call: "x", Cause: context.DeadlineExceeded}
			}
			eras.Observe(era)
			return era, nil
		}
		store := eras.Guard(kv.Store{
			Get: func(context.Context, string) (kv.Entry, error) {
				if _, err := call(); err != nil {
					return kv.Entry{}, err
				}
				return kv.Entry{}, kv.NotFoundError{}
			},
			Grant: func(context.Context, time.Duration) (kv.Lease, error) {
				e, err := call()
				return kv.NewLease(e, "57"), err
			},
			Put: func(context.Context, string, []byte, kv.Revision, kv.Lease) (kv.Revision, error) {
				e, err := call()
				return kv.NewRevision(e, 5), err
			},
			Renew: func(context.Context, kv.Lease) error { _, err := call(); return err },
			Revoke: func(_ context.Context, l kv.Lease) error {
				e, err := call()
				if err == nil && e != l.Era() {
					ended = append(ended, e)
				}
				return err
			},
		})
		h := &lease.Holder{Store: store, Place: "p", Era: eras.Current}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { _ = h.Run(ctx) })
		time.Sleep(time.Second)
		mu.Lock()
		down = true
		mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		mu.Lock()
		down, era = false, 2
		mu.Unlock()
		cancel()
		group.Wait()
		require.Empty(t, ended, "lease 57 of the new era is another holder's")
	})
}
