package relay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// requireStoreState requires that a daemon's copy equals the store.
func requireStoreState(t *testing.T, fl *fleet, d *fakeDaemon) {
	t.Helper()
	entries, _ := fl.store.list(testPrefix)
	require.Equal(t, len(entries), d.entryCount(), d.address)
	for _, entry := range entries {
		value, _ := d.value(entry.Key())
		require.Equal(t, string(entry.Value()), value, "%s at %s", entry.Key(), d.address)
	}
	require.True(t, d.neverWentBack(), d.address)
}

// changeLostEntries writes what a restore of an earlier copy takes back: new, changed and removed entries.
func changeLostEntries(fl *fleet) {
	for i := range 20 {
		fl.store.put(fmt.Sprintf("%slost-%d", testPrefix, i), "ready")
		fl.store.put(fmt.Sprintf("%sengine-%d", testPrefix, i), "draining")
		fl.store.remove(fmt.Sprintf("%sengine-%d", testPrefix, i+100))
	}
}

// Guards against a fleet that keeps what a restored store has lost, or misses what it wrote in the meantime: after a
// return at a lower, the same or a higher revision, with or without an outage, and without a write after the return. It
// also guards against calls to the store that grow with its returns.
func TestFleetFollowsARestoredStore(t *testing.T) {
	const size, bound = 118, 2 * time.Second
	for _, rewritten := range []int{0, 60, 90} {
		for _, away := range []time.Duration{0, 2500 * time.Millisecond} {
			for _, hung := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d writes, away %s, hung %t", rewritten, away, hung), func(t *testing.T) {
					runFleet(t, size, bound, func(fl *fleet) {
						restored := fl.store.copy()
						changeLostEntries(fl)
						time.Sleep(3 * time.Second)
						fl.store.setDown(away > 0)
						time.Sleep(away)
						before := fl.store.totalCalls()
						fl.store.restore(restored, hung)
						for i := range rewritten {
							fl.store.put(fmt.Sprintf("%sengine-%d", testPrefix, i), "written again")
						}
						fl.store.setDown(false)
						time.Sleep(bound)
						calls := fl.store.totalCalls() - before
						t.Logf("%.2f calls to the store per daemon", float64(calls)/size)
						for _, d := range fl.daemons {
							requireStoreState(t, fl, d)
						}
						require.LessOrEqual(t, calls, 5*size)
					})
				})
			}
		}
	}
}

// Guards against a fleet that stays without a change after a return that lost most entries, because the answers of the
// readers are implausible.
func TestFleetFollowsAStoreThatLostMostEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(40, 2*time.Second)
		fl.store.put(testPrefix+"engine-0", "ready")
		restored := fl.store.copy()
		for i := range 300 {
			fl.store.put(fmt.Sprintf("%sengine-%d", testPrefix, i), "ready")
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			fl.group.Wait()
		}()
		fl.start(ctx)
		time.Sleep(3 * time.Second)
		before := fl.store.totalCalls()
		fl.store.restore(restored, false)
		time.Sleep(2 * time.Second)
		for _, d := range fl.daemons {
			requireStoreState(t, fl, d)
		}
		require.LessOrEqual(t, fl.store.totalCalls()-before, 5*len(fl.daemons))
	})
}
