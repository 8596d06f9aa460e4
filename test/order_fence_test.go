package test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/engine"
	"radishhollow/test/harness"
)

// Guards against an order of a former lease holder that takes effect after an order of its successor. The order is
// delayed by a slow link while the holder is paused until its lease expires. It arrives after the successor's order has
// loaded the version of a new sheet.
func TestStaleOrderIsRefused(t *testing.T) {
	parallel(t)
	s := newLeaseSuccession(t, true)
	s.takeOver()
	require.Eventually(t, func() bool { return s.staleOrderCount() == 1 }, 5*time.Second, 10*time.Millisecond)
	s.requireVersionStays("3")
	s.d.Daemon(s.holder).Continue()
	s.requireVersionStays("3")
	require.Equal(t, 1, s.staleOrderCount(), "the former holder sent an order after its pause")
	s.load.finish()
	requireOnlySpecLosses(t, s.load)
}

// Guards against a stale order whose effect persists if engines ignore the fencing token.
func TestStaleOrderIsUndone(t *testing.T) {
	parallel(t)
	s := newLeaseSuccession(t, false)
	s.takeOver()
	require.Eventually(t, func() bool { return engineStateOf(t, s.d.Engine(0)).serves("2") }, 5*time.Second, 10*time.Millisecond,
		"the stale order has not taken effect")
	s.d.Daemon(s.holder).Continue()
	require.Eventually(t, func() bool { return engineStateOf(t, s.d.Engine(0)).serves("3") }, 10*time.Second, 10*time.Millisecond)
	s.requireVersionStays("3")
	s.load.finish()
	requireOnlySpecLosses(t, s.load)
}

// leaseSuccession is a deployment in which the lease of a place passes from one daemon to another. The place has two
// daemons and one engine, which they reach through a link. An engine in another place, which has no lease holder,
// serves the last version throughout.
type leaseSuccession struct {
	t       *testing.T
	d       *harness.Deployment
	fencing bool
	link    *harness.Link
	load    *loadGenerator
	// holder is the index of the daemon that holds the lease first. takeOver sets it.
	holder int
}

func newLeaseSuccession(t *testing.T, fencing bool) *leaseSuccession {
	t.Helper()
	s := &leaseSuccession{t: t, d: harness.NewDeployment(), fencing: fencing}
	d := s.d
	d.Engines, d.Services, d.Model = 2, 0, "briefing@0"
	d.EngineArgs = []string{"--load-time", "100ms", "--report-lag", "100ms", "--stop-longest", "0"}
	if fencing {
		d.EngineArgs = append(d.EngineArgs, "--check-fence")
	}
	d.AdjustSettings = func(_ int, settings *harness.Settings) {
		settings.Place = "canas"
		settings.Timeouts["lease-ttl"] = "1s"
		settings.Timeouts["order"] = "2s"
		settings.Timeouts["order-settle"] = "1s"
	}
	d.Start(t)
	d.ReplaceEngine(t, 1, "--model", "briefing@3")
	s.link = harness.NewLink(t, d.Engine(0).Address())
	s.moveEngineRow(d.Engine(0).Address(), s.link.Address())
	s.postVersion(0, 1)
	for i := range 2 {
		d.AwaitReady(t, i)
	}
	s.awaitEngineVersion("1", 1)
	return s
}

// moveEngineRow changes the address of the engine in the instance list.
func (s *leaseSuccession) moveEngineRow(from, to string) {
	s.t.Helper()
	row := instanceRow(s.t, s.d, from)
	row.Address = to
	s.d.PutInstance(s.t, row)
	s.d.RemoveAddress(s.t, from)
}

// postVersion applies a sheet at a daemon. The number is both the sheet number and the version of the model.
func (s *leaseSuccession) postVersion(daemon, number int) {
	s.t.Helper()
	s.d.Model = "briefing@" + string(rune('0'+number))
	// The rate limit of weight loads must not delay the order.
	sheet := s.d.Sheet(number, "setting,weight-loads-per-minute,,,,,,,,,,,,,6000")
	if !s.fencing {
		sheet = strings.Replace(sheet, ",yes,\nservice", ",no,\nservice", 1)
	}
	s.d.PostSheet(s.t, daemon, sheet)
}

// awaitEngineVersion waits until engine 0 serves a version and has accepted a fencing token of at least fence. It
// returns the engine's token.
func (s *leaseSuccession) awaitEngineVersion(version string, fence uint64) uint64 {
	s.t.Helper()
	var state engineState
	require.Eventually(s.t, func() bool {
		state = engineStateOf(s.t, s.d.Engine(0))
		return state.serves(version) && state.Fence >= fence
	}, 20*time.Second, 20*time.Millisecond, "the engine does not serve version %s", version)
	return state.Fence
}

// takeOver pauses the lease holder while its order is delayed by the link. It returns when the engine serves the
// successor's version and the stale order is on its way to the engine.
func (s *leaseSuccession) takeOver() {
	s.t.Helper()
	fence := s.awaitEngineVersion("1", 1)
	s.holder = 0
	if strings.Contains(s.d.Daemon(1).Output(), `"lease":"acquired"`) {
		s.holder = 1
	}
	// An engine that was loading at its last report gets no order. Reports are read about once a second.
	time.Sleep(1500 * time.Millisecond)
	s.link.Delay(s.t, time.Minute)
	s.postVersion(s.holder, 2)
	time.Sleep(1500 * time.Millisecond) // The holder sends its orders once a second.
	s.d.Daemon(s.holder).Pause(s.t)
	s.moveEngineRow(s.link.Address(), s.d.Engine(0).Address())
	// The load starts only now, because streams over the slow link would have made the engine unreachable for the holder
	// before it sent its order.
	s.load = newLoadGenerator(s.t, s.d, 40)
	s.load.startCallers(6, 0, 0)
	s.postVersion(1-s.holder, 3)
	require.Eventually(s.t, func() bool {
		return strings.Contains(s.d.Daemon(1-s.holder).Output(), `"lease":"acquired"`)
	}, 10*time.Second, 10*time.Millisecond, "the other daemon has not acquired the lease")
	acquired := time.Now()
	s.awaitEngineVersion("3", fence+1)
	if !s.fencing {
		// Before its first order the successor waits for the end of the lease (1 s) and of the longest order (2 s).
		require.Greater(s.t, time.Since(acquired), 2900*time.Millisecond)
	}
	s.link.Restore(s.t)
}

func (s *leaseSuccession) staleOrderCount() int {
	var stats engine.Stats
	harness.GetJSON(s.t, s.d.Engine(0), "/stats", &stats)
	return stats.StaleOrders
}

func (s *leaseSuccession) requireVersionStays(version string) {
	s.t.Helper()
	require.Never(s.t, func() bool { return !engineStateOf(s.t, s.d.Engine(0)).serves(version) },
		1500*time.Millisecond, 20*time.Millisecond)
}
