package peer

import (
	"context"
	"maps"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/clock"
	"radishhollow/core/config"
	"radishhollow/core/kv"
	"radishhollow/core/member"
	"radishhollow/io/telemetry"
)

// fakeKV is an in-memory key-value service with leases.
type fakeKV struct {
	mu       sync.Mutex
	down     bool
	revision kv.Revision
	items    map[string]kv.Entry
	events   []kv.Entry
	// Leases are known by their IDs, which are given out again in a later era.
	leaseByKey map[string]string
	leases     map[string]time.Time
	ttl        time.Duration
	calls      map[string]int
}

func newFakeKV() *fakeKV {
	return &fakeKV{revision: kv.NewRevision(1, 0), items: map[string]kv.Entry{}, leaseByKey: map[string]string{}, leases: map[string]time.Time{}, calls: map[string]int{}}
}

// lock locks the service, ends expired leases and returns the function that unlocks the service. It fails if the
// service is down.
func (f *fakeKV) lock() (func(), error) {
	f.mu.Lock()
	for lease, end := range f.leases {
		if time.Now().After(end) {
			f.endLease(lease)
		}
	}
	if f.down {
		f.mu.Unlock()
		return nil, kv.UnavailableError{Call: "any", Cause: context.DeadlineExceeded}
	}
	return f.mu.Unlock, nil
}

func (f *fakeKV) endLease(lease string) {
	delete(f.leases, lease)
	for key, holderLease := range f.leaseByKey {
		if holderLease == lease {
			delete(f.items, key)
			delete(f.leaseByKey, key)
			f.revision = f.revision.Next()
			f.events = append(f.events, kv.NewEntry(key, nil, f.revision, true))
		}
	}
}

// store returns the calls of one daemon, which learns of a new era only from the responses to its own calls.
func (f *fakeKV) store() kv.Store {
	eras := &kv.Eras{}
	return eras.Guard(kv.Store{
		Get: func(ctx context.Context, key string) (kv.Entry, error) {
			defer f.observe(eras, "get")
			return f.get(ctx, key)
		},
		Put: func(ctx context.Context, key string, value []byte, ifRevision kv.Revision, lease kv.Lease) (kv.Revision, error) {
			defer f.observe(eras, "put")
			return f.put(ctx, key, value, ifRevision, lease)
		},
		List: func(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, error) {
			defer f.observe(eras, "list")
			return f.list(ctx, prefix)
		},
		Watch: func(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Entry, kv.Revision, error) {
			defer f.observe(eras, "watch")
			return f.watch(ctx, prefix, after, wait)
		},
		Grant: func(ctx context.Context, ttl time.Duration) (kv.Lease, error) {
			defer f.observe(eras, "grant")
			return f.grant(ctx, ttl)
		},
		Renew: func(ctx context.Context, lease kv.Lease) error {
			defer f.observe(eras, "renew")
			return f.renew(ctx, lease)
		},
		Revoke: func(ctx context.Context, lease kv.Lease) error {
			defer f.observe(eras, "revoke")
			return f.revoke(ctx, lease)
		},
	})
}

func (f *fakeKV) observe(eras *kv.Eras, kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[kind]++
	if !f.down {
		eras.Observe(f.revision.Era())
	}
}

// copyKV is a copy of the state of a fakeKV.
type copyKV struct {
	number     uint64
	items      map[string]kv.Entry
	leaseByKey map[string]string
	leases     map[string]time.Time
}

func (f *fakeKV) copy() copyKV {
	f.mu.Lock()
	defer f.mu.Unlock()
	return copyKV{f.revision.Number(), maps.Clone(f.items), maps.Clone(f.leaseByKey), maps.Clone(f.leases)}
}

// restore begins a new era with a copy, whose leases have their whole time left. Its number may be raised, to that of
// the earlier era and above.
func (f *fakeKV) restore(c copyKV, raise uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	era := f.revision.Era() + 1
	f.revision = kv.NewRevision(era, c.number+raise)
	f.items, f.leaseByKey, f.leases, f.events = map[string]kv.Entry{}, maps.Clone(c.leaseByKey), map[string]time.Time{}, nil
	for key, entry := range c.items {
		f.items[key] = kv.NewEntry(key, entry.Value(), kv.NewRevision(era, entry.Revision().Number()), false)
	}
	for lease := range c.leases {
		f.leases[lease] = time.Now().Add(f.ttl)
	}
}

func (f *fakeKV) get(_ context.Context, key string) (kv.Entry, error) {
	unlock, err := f.lock()
	if err != nil {
		return kv.Entry{}, err
	}
	defer unlock()
	if entry, found := f.items[key]; found {
		return entry, nil
	}
	return kv.Entry{}, kv.NotFoundError{Key: key}
}

func (f *fakeKV) put(_ context.Context, key string, value []byte, ifRevision kv.Revision, lease kv.Lease) (kv.Revision, error) {
	unlock, err := f.lock()
	if err != nil {
		return kv.Revision{}, err
	}
	defer unlock()
	if f.items[key].Revision().Number() != ifRevision.Number() {
		return kv.Revision{}, kv.ConflictError{Key: key, Want: ifRevision, Current: f.items[key].Revision()}
	}
	f.revision = f.revision.Next()
	f.items[key] = kv.NewEntry(key, value, f.revision, false)
	f.events = append(f.events, f.items[key])
	f.leaseByKey[key] = lease.ID()
	return f.revision, nil
}

func (f *fakeKV) list(_ context.Context, prefix string) ([]kv.Entry, kv.Revision, error) {
	unlock, err := f.lock()
	if err != nil {
		return nil, kv.Revision{}, err
	}
	defer unlock()
	var list []kv.Entry
	for key, entry := range f.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, entry)
		}
	}
	return list, f.revision, nil
}

func (f *fakeKV) watch(ctx context.Context, _ string, after kv.Revision, wait time.Duration) ([]kv.Entry, kv.Revision, error) {
	for end := time.Now().Add(wait); time.Now().Before(end) && !f.beganEraAfter(after); {
		if err := clock.Sleep(ctx, 100*time.Millisecond); err != nil {
			return nil, kv.Revision{}, err
		}
		unlock, err := f.lock()
		if err != nil {
			return nil, kv.Revision{}, err
		}
		var changes []kv.Entry
		for _, event := range f.events {
			if event.Revision().Number() > after.Number() {
				changes = append(changes, event)
			}
		}
		revision := f.revision
		unlock()
		if len(changes) > 0 {
			return changes, revision, nil
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if after.Number() > f.revision.Number() {
		return nil, kv.Revision{}, kv.CompactedError{After: after}
	}
	return nil, kv.NewRevision(f.revision.Era(), after.Number()), nil
}

func (f *fakeKV) beganEraAfter(revision kv.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision.Era() > revision.Era()
}

func (f *fakeKV) grant(_ context.Context, ttl time.Duration) (kv.Lease, error) {
	unlock, err := f.lock()
	if err != nil {
		return kv.Lease{}, err
	}
	defer unlock()
	f.revision = f.revision.Next()
	f.ttl = ttl
	lease := kv.NewLease(f.revision.Era(), strconv.FormatUint(f.revision.Number(), 10))
	f.leases[lease.ID()] = time.Now().Add(ttl)
	return lease, nil
}

func (f *fakeKV) renew(_ context.Context, lease kv.Lease) error {
	unlock, err := f.lock()
	if err != nil {
		return err
	}
	defer unlock()
	if _, found := f.leases[lease.ID()]; !found {
		return kv.LeaseLostError{Lease: lease}
	}
	f.leases[lease.ID()] = time.Now().Add(f.ttl)
	return nil
}

func (f *fakeKV) revoke(_ context.Context, lease kv.Lease) error {
	unlock, err := f.lock()
	if err != nil {
		return err
	}
	defer unlock()
	f.endLease(lease.ID())
	return nil
}

func (f *fakeKV) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func startRegistrar(f *fakeKV, address string, options ...func(*Registrar)) (*Node, func()) {
	node := &Node{
		Address: address, Incarnation: "1", Place: "liberia", Store: &config.Store{}, Metrics: telemetry.New(),
		Table:     &member.Table{Self: address, PeerExpiry: time.Minute, MarkExpiry: time.Minute},
		Isolation: &member.IsolationDetector{Timeout: 15 * time.Second},
	}
	r := &Registrar{
		KV: f.store(), Node: node, TTL: 9 * time.Second, WatchWait: 5 * time.Second, RelistInterval: time.Minute,
	}
	for _, option := range options {
		option(r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = r.Run(ctx) })
	group.Go(func() { _ = r.RunList(ctx) })
	return node, func() {
		cancel()
		group.Wait()
	}
}

func registered(f *fakeKV) []kv.Entry {
	list, _, _ := f.list(context.Background(), MembersPrefix)
	return list
}

func TestRegistrationSurvivesAnOutageAndEndsWithTheDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeKV()
		a, stopA := startRegistrar(f, "127.0.0.1:1")
		b, stopB := startRegistrar(f, "127.0.0.2:1")
		time.Sleep(time.Minute)
		require.Equal(t, []string{b.Address}, a.Table.Addresses())
		require.Equal(t, []string{a.Address}, b.Table.Addresses())

		f.setDown(true)
		time.Sleep(time.Minute)
		require.Equal(t, []string{b.Address}, a.Table.Addresses(), "an outage must not change the list")
		require.True(t, a.Isolation.Isolated())

		f.setDown(false)
		time.Sleep(10 * time.Second)
		require.Len(t, registered(f), 2, "registrations that expired during the outage must be written again")
		require.Equal(t, []string{b.Address}, a.Table.Addresses())
		require.False(t, a.Isolation.Isolated())

		stopB()
		time.Sleep(5 * time.Second)
		require.Empty(t, a.Table.Addresses(), "a planned stop must remove the registration immediately")
		stopA()
	})
}

// Guards against a daemon that restarts quickly and does not replace the registration of its previous run.
func TestRegistrationReplacesTheEarlierOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeKV()
		_, err := f.put(t.Context(), MembersPrefix+"127.0.0.1:1", []byte("{}"), kv.Revision{}, kv.NewLease(0, "gone"))
		require.NoError(t, err)
		_, stop := startRegistrar(f, "127.0.0.1:1")
		time.Sleep(time.Second)
		require.Len(t, registered(f), 1)
		require.Contains(t, string(registered(f)[0].Value()), `"incarnation":"1"`)
		stop()
		require.Empty(t, registered(f))
	})
}

// Guards against a daemon that starts and serves requests until its next regular exchange without what its peers know.
func TestListTriggersAnExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeKV()
		_, stopPeer := startRegistrar(f, "127.0.0.1:1")
		defer stopPeer()
		synctest.Wait()
		known := -1
		node, stop := startRegistrar(f, "127.0.0.1:2", func(r *Registrar) {
			r.OnListed = func(kv.Revision) { known = len(r.Node.Table.Addresses()) }
		})
		synctest.Wait()
		stop()
		require.Equal(t, 1, known, "the peers must be known by then")
		require.Len(t, node.Table.Addresses(), 1)
	})
}
