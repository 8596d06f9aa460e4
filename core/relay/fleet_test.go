package relay

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/kv"
)

const testPrefix = "servers/"

// fakeStore is a linearizable key-value service with one revision counter.
type fakeStore struct {
	mu        sync.Mutex
	revision  kv.Revision
	entries   map[string]kv.Entry
	log       []kv.Entry
	compacted kv.Revision
	changed   chan struct{}
	calls     map[string]int // by daemon
	down      bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{revision: kv.NewRevision(0, 1), entries: map[string]kv.Entry{}, changed: make(chan struct{}), calls: map[string]int{}}
}

func (s *fakeStore) put(key, value string) kv.Revision {
	return s.write(func(revision kv.Revision) kv.Entry { return kv.NewEntry(key, []byte(value), revision, false) })
}

func (s *fakeStore) remove(key string) kv.Revision {
	return s.write(func(revision kv.Revision) kv.Entry { return kv.NewEntry(key, nil, revision, true) })
}

func (s *fakeStore) write(entry func(revision kv.Revision) kv.Entry) kv.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = s.revision.Next()
	change := entry(s.revision)
	if change.Deleted() {
		delete(s.entries, change.Key())
	} else {
		s.entries[change.Key()] = change
	}
	s.log = append(s.log, change)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.log = s.revision, nil
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) totalCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, n := range s.calls {
		total += n
	}
	return total
}

func (s *fakeStore) list(prefix string) ([]kv.Entry, kv.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []kv.Entry
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, entry)
		}
	}
	return list, s.revision
}

func (s *fakeStore) changes(prefix string, after kv.Revision) ([]kv.Entry, kv.Revision, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after.Before(s.compacted) {
		return nil, kv.Revision{}, nil, kv.CompactedError{After: after}
	}
	var list []kv.Entry
	for _, change := range s.log {
		if change.Revision().After(after) && strings.HasPrefix(change.Key(), prefix) {
			list = append(list, change)
		}
	}
	return list, s.revision, s.changed, nil
}

// callTimeout is the time after which a call to the key-value service without a response fails.
const callTimeout = 300 * time.Millisecond

// fakeDaemon follows testPrefix with a Store.
type fakeDaemon struct {
	fleet   *fleet
	address string
	relay   *Store
	stop    context.CancelFunc

	mu sync.Mutex
	// copy is what the daemon believes, and revisions all revisions that it was told in this incarnation.
	copy      map[string]string
	revisions []kv.Revision
	// cut daemons do not reach the key-value service, silent ones answer no one and get no answer.
	cut, silent bool
	// disturbedAt is the end of the daemon's last fault.
	disturbedAt time.Time
	alive       bool
}

// fleet runs daemons against a fakeStore on a network without sockets.
type fleet struct {
	store   *fakeStore
	bound   time.Duration
	daemons []*fakeDaemon
	group   sync.WaitGroup
	mu      sync.Mutex
	asked   map[string]int
	// corrupt, if set, changes the answers of readers.
	corrupt func(response Response) Response
}

func newFleet(size int, bound time.Duration) *fleet {
	f := &fleet{store: newFakeStore(), bound: bound, asked: map[string]int{}}
	for i := range size {
		f.daemons = append(f.daemons, &fakeDaemon{fleet: f, address: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200+1)})
	}
	return f
}

func (f *fleet) start(ctx context.Context) {
	for _, d := range f.daemons {
		d.start(ctx)
	}
}

func (f *fleet) addresses(except string) []string {
	var list []string
	for _, d := range f.daemons {
		if d.address != except {
			list = append(list, d.address)
		}
	}
	return list
}

func (f *fleet) find(address string) *fakeDaemon {
	for _, d := range f.daemons {
		if d.address == address {
			return d
		}
	}
	return nil
}

// start starts a new incarnation, which knows nothing.
func (d *fakeDaemon) start(ctx context.Context) {
	ctx, d.stop = context.WithCancel(ctx)
	d.mu.Lock()
	d.copy, d.revisions, d.alive = map[string]string{}, nil, true
	d.relay = &Store{
		Direct: kv.Store{List: d.list, Watch: d.watch}, Self: d.address,
		Peers: func() []string { return d.fleet.addresses(d.address) }, Ask: d.ask,
		Timings: map[string]Timing{testPrefix: NewTiming(d.fleet.bound)},
	}
	store := d.relay.KV()
	d.mu.Unlock()
	follower := &kv.Follower{
		Store: store, Prefix: testPrefix, WatchWait: 10 * time.Second, RelistInterval: 30 * time.Second, Apply: d.apply,
	}
	d.fleet.group.Go(func() { _ = follower.Run(ctx) })
}

func (d *fakeDaemon) kill() {
	d.mu.Lock()
	d.alive = false
	d.mu.Unlock()
	d.stop()
}

func (d *fakeDaemon) apply(entries []kv.Entry, revision kv.Revision, full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if full {
		d.copy = map[string]string{}
	}
	for _, entry := range entries {
		if entry.Deleted() {
			delete(d.copy, entry.Key())
		} else {
			d.copy[entry.Key()] = string(entry.Value())
		}
	}
	d.revisions = append(d.revisions, revision)
}

func (d *fakeDaemon) value(key string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	value, known := d.copy[key]
	return value, known
}

func (d *fakeDaemon) entryCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.copy)
}

// neverWentBack reports whether no revision in this incarnation was lower than the one before.
func (d *fakeDaemon) neverWentBack() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.IsSortedFunc(d.revisions, kv.Revision.Compare)
}

// setFault sets the daemon's faults. A daemon whose faults end is disturbed until then.
func (d *fakeDaemon) setFault(cut, silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cut || d.silent {
		d.disturbedAt = time.Now()
	}
	d.cut, d.silent = cut, silent
}

func (d *fakeDaemon) fault() (cut, silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cut, d.silent
}

// reach waits until the key-value service answers, and fails after callTimeout.
func (d *fakeDaemon) reach(ctx context.Context) error {
	d.fleet.store.mu.Lock()
	d.fleet.store.calls[d.address]++
	down := d.fleet.store.down
	d.fleet.store.mu.Unlock()
	cut, silent := d.fault()
	delay, failed := 4*time.Millisecond, down || cut || silent
	if failed {
		delay = callTimeout
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
	if failed {
		return kv.UnavailableError{Call: "test", Cause: context.DeadlineExceeded}
	}
	return nil
}

func (d *fakeDaemon) list(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, error) {
	if err := d.reach(ctx); err != nil {
		return nil, kv.Revision{}, err
	}
	entries, revision := d.fleet.store.list(prefix)
	return entries, revision, nil
}

func (d *fakeDaemon) watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Entry, kv.Revision, error) {
	if err := d.reach(ctx); err != nil {
		return nil, kv.Revision{}, err
	}
	deadline, expired := time.After(wait), false
	for {
		list, revision, changed, err := d.fleet.store.changes(prefix, after)
		if err != nil {
			return nil, kv.Revision{}, err
		}
		if len(list) > 0 || expired {
			// A response is lost if the daemon was cut off while the call waited.
			if cut, silent := d.fault(); cut || silent {
				return nil, kv.Revision{}, kv.UnavailableError{Call: "test", Cause: context.DeadlineExceeded}
			}
			return list, revision, nil
		}
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-ctx.Done():
			return nil, kv.Revision{}, errors.Trace(ctx.Err())
		}
	}
}

// ask calls the reader at address. Calls to a silent daemon, or from one, get no answer.
func (d *fakeDaemon) ask(ctx context.Context, address string, request Request) (Response, error) {
	reader := d.fleet.find(address)
	d.fleet.mu.Lock()
	d.fleet.asked[address]++
	d.fleet.mu.Unlock()
	reader.mu.Lock()
	alive, relay := reader.alive, reader.relay
	reader.mu.Unlock()
	if d.anySilent(reader) {
		<-ctx.Done()
		return Response{}, errors.Trace(ctx.Err())
	}
	if !alive {
		return Response{}, errors.Trace(StaleError{Prefix: request.Prefix})
	}
	response, err := relay.Serve(ctx, request)
	if err != nil {
		return Response{}, err
	}
	if d.anySilent(reader) {
		<-ctx.Done()
		return Response{}, errors.Trace(ctx.Err())
	}
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	if d.fleet.corrupt != nil {
		response = d.fleet.corrupt(response)
	}
	return response, nil
}

func (f *fleet) setCorrupt(corrupt func(Response) Response) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.corrupt = corrupt
}

func (d *fakeDaemon) anySilent(other *fakeDaemon) bool {
	_, silent := d.fault()
	_, otherSilent := other.fault()
	return silent || otherSilent
}
