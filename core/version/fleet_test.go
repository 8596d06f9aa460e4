package version

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	fleetSeeds = flag.Int("version.seeds", 3, "number of seeds of the model of versions")
	fleetFirst = flag.Uint64("version.seed", 1, "first seed of the model of versions")
	fleetFull  = flag.Bool("version.full", false, "play the model of versions with 440 daemons, too")
)

func fleetSizes() []int {
	if *fleetFull {
		return []int{5, 118, 440}
	}
	return []int{5, 118}
}

// fleet is a model of daemons, endpoints and callers without a network. Endpoints of several versions come and go, daemons are
// killed and start again, the key-value service is away or comes back from an older copy, and callers whose streams break off
// take them up again at any daemon.
type fleet struct {
	t      *testing.T
	random *rand.Rand
	store  *fakeStore
	faults string

	mu      sync.Mutex
	daemons []*fleetDaemon
	// listed holds the number of endpoints by version.
	listed map[string]int
	count  int

	joined, wentOn, rejected, left, begun, calm int
}

type fleetDaemon struct {
	fleet    *fleet
	register *Register
	stop     func()
	// ctx ends with the daemon.
	ctx  context.Context
	kill context.CancelFunc
	// list is what the daemon knows of the endpoints.
	list *fakeList
}

func (f *fleet) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *fleet) duration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(f.intN(int(longest-shortest)))
}

func (f *fleet) start() *fleetDaemon {
	d := &fleetDaemon{fleet: f, list: &fakeList{versions: f.currentList()}}
	d.ctx, d.kill = context.WithCancel(f.t.Context())
	d.register, d.stop = startRegister(f.t, f.store, d.list.get)
	return d
}

func (f *fleet) currentList() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := map[string]int{}
	for version, count := range f.listed {
		if count > 0 {
			list[version] = count
		}
	}
	return list
}

// setListed changes the list, which each daemon sees after up to half a second.
func (f *fleet) setListed(change func(listed map[string]int)) {
	f.mu.Lock()
	change(f.listed)
	daemons := slices.Clone(f.daemons)
	f.mu.Unlock()
	for _, d := range daemons {
		if d == nil {
			continue
		}
		delay := f.duration(time.Millisecond, 500*time.Millisecond)
		go func() {
			time.Sleep(delay)
			if d.ctx.Err() == nil {
				d.list.set(f.currentList())
				d.register.Observe()
			}
		}()
	}
}

// any returns a daemon that runs, or nil.
func (f *fleet) any() *fleetDaemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range 20 {
		if d := f.daemons[f.random.IntN(len(f.daemons))]; d != nil {
			return d
		}
	}
	return nil
}

// killShare kills a share of the daemons, which start again after a while.
func (f *fleet) killShare(share float64, downtime time.Duration) {
	for i := range f.daemons {
		f.mu.Lock()
		d := f.daemons[i]
		chosen := d != nil && f.random.Float64() < share
		if chosen {
			f.daemons[i] = nil
		}
		f.mu.Unlock()
		if !chosen {
			continue
		}
		d.kill()
		d.stop()
		go func() {
			time.Sleep(downtime)
			started := f.start()
			f.mu.Lock()
			defer f.mu.Unlock()
			f.daemons[i] = started
		}()
	}
}

// pickVersion returns the version of an endpoint that the daemon knows.
func (d *fleetDaemon) pickVersion() string {
	list := d.list.get("")
	total := 0
	for _, count := range list {
		total += count
	}
	if total == 0 {
		return ""
	}
	n := d.fleet.intN(total)
	for _, version := range slices.Sorted(func(yield func(string) bool) {
		for version := range list {
			if !yield(version) {
				return
			}
		}
	}) {
		if n -= list[version]; n < 0 {
			return version
		}
	}
	return ""
}

// run is one stream of a caller, which takes it up again up to three times.
func (f *fleet) run(id string) {
	d := f.any()
	if d == nil {
		return
	}
	version := d.pickVersion()
	ctx, cancel := context.WithTimeout(d.ctx, 10*time.Second)
	defer cancel()
	// The prefill.
	time.Sleep(f.duration(time.Second, 2*time.Second))
	if version == "" || d.register.Begin(ctx, stream(id), version) != nil {
		return
	}
	f.add(&f.begun)
	select {
	case <-d.ctx.Done():
	case <-time.After(f.duration(time.Second, 7*time.Second)):
		// A third of the streams break off for another reason.
		if f.intN(3) > 0 {
			return
		}
	}
	for range 4 {
		time.Sleep(f.duration(200*time.Millisecond, time.Second))
		if f.takeUp(id, version) {
			return
		}
	}
	if f.currentList()[version] >= 2 {
		f.add(&f.rejected)
	}
}

// takeUp reports whether the stream has gone on or can't.
func (f *fleet) takeUp(id, version string) bool {
	d := f.any()
	if d == nil {
		return false
	}
	found, err := d.register.Find(d.ctx, stream(id))
	switch {
	case err != nil:
		return false
	case d.list.get("")[found] == 0:
		if f.currentList()[version] >= 2 && found == version {
			// The daemon's list is older.
			return false
		}
		f.add(&f.left)
		return true
	case found != version:
		f.add(&f.joined)
		return true
	}
	f.add(&f.wentOn)
	return true
}

func (f *fleet) add(counter *int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*counter++
}

// exchange lets each daemon exchange its histories with another one twice a second.
func (f *fleet) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(500 * time.Millisecond)
		f.mu.Lock()
		daemons := slices.Clone(f.daemons)
		f.mu.Unlock()
		for _, d := range daemons {
			if other := f.any(); d != nil && other != nil {
				d.register.Merge(other.register.Reports())
				other.register.Merge(d.register.Reports())
			}
		}
	}
}

// release replaces endpoints of one version by ones of the next.
func (f *fleet) release(from, to string, share float64) {
	f.mu.Lock()
	count := int(share * float64(f.listed[from]))
	f.mu.Unlock()
	for range count {
		f.setListed(func(listed map[string]int) { listed[to]++ })
		time.Sleep(20 * time.Millisecond)
		f.setListed(func(listed map[string]int) { listed[from]-- })
	}
}

func (f *fleet) play() {
	time.Sleep(10 * time.Second)
	f.mu.Lock()
	f.calm = f.store.callCount()
	f.mu.Unlock()
	var group sync.WaitGroup
	versions := []string{"v1", "v2", "v3", "v4"}
	for i, share := range []float64{1, 1, 0.5} {
		f.release(versions[i], versions[i+1], 0.1)
		if f.faults == "store" || f.faults == "all" {
			group.Go(func() {
				time.Sleep(f.duration(0, 2*time.Second))
				f.store.setAway(true)
				time.Sleep(f.duration(time.Second, 5*time.Second))
				f.store.setAway(false)
			})
		}
		if f.faults == "copy" || f.faults == "all" {
			group.Go(func() {
				time.Sleep(f.duration(0, 2*time.Second))
				f.store.save()
				time.Sleep(f.duration(time.Second, 3*time.Second))
				f.store.restore()
			})
		}
		group.Go(func() {
			time.Sleep(f.duration(0, 5*time.Second))
			kill := 1.0
			if f.faults == "copy" || f.faults == "all" {
				kill = 0.5
			}
			f.killShare(kill, f.duration(500*time.Millisecond, 3*time.Second))
		})
		f.release(versions[i], versions[i+1], share)
		time.Sleep(f.duration(8*time.Second, 16*time.Second))
		f.killShare(0.35, time.Second)
	}
	group.Wait()
	time.Sleep(15 * time.Second)
}

// Guards against streams that are joined from two versions while releases come in series and daemons, up to all of them, are
// killed, beside a key-value service that is away or loses its latest part, and against rejecting most of the streams whose
// version still serves.
func TestModelOfReleases(t *testing.T) {
	for _, size := range fleetSizes() {
		for _, faults := range []string{"kills", "store", "copy", "all"} {
			for n := range *fleetSeeds {
				if size > 5 && n > 0 {
					continue
				}
				seed := *fleetFirst + uint64(n)
				t.Run(fmt.Sprintf("%d daemons/%s/seed %d", size, faults, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { playFleet(t, size, faults, seed) })
				})
			}
		}
	}
}

func playFleet(t *testing.T, size int, faults string, seed uint64) {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, uint64(size))), store: newFakeStore(), faults: faults,
		daemons: make([]*fleetDaemon, size), listed: map[string]int{"v1": 4 * size},
	}
	for i := range f.daemons {
		f.daemons[i] = f.start()
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { f.exchange(ctx) })
	group.Go(func() {
		for ctx.Err() == nil {
			// Each daemon gets a stream a second.
			time.Sleep(time.Second / time.Duration(size))
			f.count++
			id := fmt.Sprint(f.count)
			group.Go(func() { f.run(id) })
		}
	})
	f.play()
	cancel()
	group.Wait()
	for _, d := range f.daemons {
		if d != nil {
			d.kill()
			d.stop()
		}
	}
	synctest.Wait()
	t.Logf("%d streams, %d went on, %d joined, %d rejected, %d whose version had left; %d calls when calm, %d in all, %d records",
		f.begun, f.wentOn, f.joined, f.rejected, f.left, f.calm, f.store.callCount(), f.store.recordCount())
	require.Zero(t, f.joined, "streams joined from two versions")
	require.Greater(t, f.wentOn, f.rejected, "streams taken up again while endpoints of their version serve")
}
