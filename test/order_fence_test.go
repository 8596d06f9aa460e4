package test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/engine"
	"radishhollow/test/harness"
)

// Guards against an order of a paused lease holder that takes effect after its successor's. The order is on its way
// through a slow link while the holder is frozen past its lease; it arrives after the successor has loaded the version
// of a new sheet.
func TestStaleOrderIsRefused(t *testing.T) {
	parallel(t)
	s := newSuccession(t, true)
	s.run()
	require.Eventually(t, func() bool { return s.staleOrders() == 1 }, 5*time.Second, 10*time.Millisecond)
	s.requireStays("3")
	s.d.Daemon(s.holder).Continue()
	s.requireStays("3")
	require.Equal(t, 1, s.staleOrders(), "the holder sent an order after it woke")
	s.load.end()
	requireTyped(t, s.load)
}

// Guards against a stale order that lasts where engines ignore the fencing token.
func TestStaleOrderIsUndone(t *testing.T) {
	parallel(t)
	s := newSuccession(t, false)
	s.run()
	require.Eventually(t, func() bool { return stateOf(t, s.d.Engine(0)).serves("2") }, 5*time.Second, 10*time.Millisecond,
		"the stale order has no effect")
	s.d.Daemon(s.holder).Continue()
	require.Eventually(t, func() bool { return stateOf(t, s.d.Engine(0)).serves("3") }, 10*time.Second, 10*time.Millisecond)
	s.requireStays("3")
	s.load.end()
	requireTyped(t, s.load)
}

// succession is a place with two daemons and one engine behind a link. An engine of another place, which has no lease
// holder, serves the last version throughout.
type succession struct {
	t       *testing.T
	d       *harness.Deployment
	fencing bool
	link    *harness.Link
	load    *load
	holder  int
}

func newSuccession(t *testing.T, fencing bool) *succession {
	t.Helper()
	s := &succession{t: t, d: harness.New(), fencing: fencing}
	d := s.d
	d.Engines, d.Services, d.Model = 2, 0, "briefing@0"
	d.EngineArgs = []string{"--load-time", "100ms", "--report-lag", "100ms", "--stop-longest", "0"}
	if fencing {
		d.EngineArgs = append(d.EngineArgs, "--check-fence")
	}
	d.Adjust = func(_ int, settings *harness.Settings) {
		settings.Place = "canas"
		settings.Timeouts["lease-ttl"] = "1s"
		settings.Timeouts["order"] = "2s"
		settings.Timeouts["order-settle"] = "1s"
	}
	d.Start(t)
	d.ReplaceEngine(t, 1, "--model", "briefing@3")
	s.link = harness.Proxy(t, d.Engine(0).Address())
	s.move(d.Engine(0).Address(), s.link.Address())
	s.apply(0, 1)
	for i := range 2 {
		d.AwaitReady(t, i)
	}
	s.await("1", 1)
	return s
}

// move puts the engine's row under another address.
func (s *succession) move(from, to string) {
	s.t.Helper()
	row := rowOf(s.t, s.d, from)
	row.Address = to
	s.d.PutInstance(s.t, row)
	s.d.RemoveAddress(s.t, from)
}

func (s *succession) apply(daemon, number int) {
	s.t.Helper()
	s.d.Model = "briefing@" + string(rune('0'+number))
	// The pace of loads must not hold the order back.
	sheet := s.d.Sheet(number, "setting,weight-loads-per-minute,,,,,,,,,,,,,6000")
	if !s.fencing {
		sheet = strings.Replace(sheet, ",yes,\nservice", ",no,\nservice", 1)
	}
	s.d.Post(s.t, daemon, sheet)
}

// await waits until engine 0 has a version by an order with at least a fencing token, and returns the token.
func (s *succession) await(version string, fence uint64) uint64 {
	s.t.Helper()
	var state engineState
	require.Eventually(s.t, func() bool {
		state = stateOf(s.t, s.d.Engine(0))
		return state.serves(version) && state.Fence >= fence
	}, 20*time.Second, 20*time.Millisecond, "engine lacks version %s", version)
	return state.Fence
}

// run ends when the stale order is on its way to an engine that has the successor's version.
func (s *succession) run() {
	s.t.Helper()
	fence := s.await("1", 1)
	s.holder = 0
	if strings.Contains(s.d.Daemon(1).Output(), `"lease":"acquired"`) {
		s.holder = 1
	}
	// An engine whose last report says that it is loading gets no order; reports are read about once a second.
	time.Sleep(1500 * time.Millisecond)
	s.link.Delay(s.t, time.Minute)
	s.apply(s.holder, 2)
	time.Sleep(1500 * time.Millisecond) // The holder sends its orders once a second.
	s.d.Daemon(s.holder).Pause(s.t)
	s.move(s.link.Address(), s.d.Engine(0).Address())
	// Streams over the slow link would have made the engine unreachable before the order was sent.
	s.load = newLoad(s.t, s.d, 40)
	s.load.run(6, 0, 0)
	s.apply(1-s.holder, 3)
	require.Eventually(s.t, func() bool {
		return strings.Contains(s.d.Daemon(1-s.holder).Output(), `"lease":"acquired"`)
	}, 10*time.Second, 10*time.Millisecond, "nobody takes over")
	acquired := time.Now()
	s.await("3", fence+1)
	if !s.fencing {
		// The successor waits for the end of the lease (1 s) and of the longest order (2 s) before it acts.
		require.Greater(s.t, time.Since(acquired), 2900*time.Millisecond)
	}
	s.link.Restore(s.t)
}

func (s *succession) staleOrders() int {
	var stats engine.Stats
	harness.Get(s.t, s.d.Engine(0), "/stats", &stats)
	return stats.StaleOrders
}

func (s *succession) requireStays(version string) {
	s.t.Helper()
	require.Never(s.t, func() bool { return !stateOf(s.t, s.d.Engine(0)).serves(version) }, 1500*time.Millisecond, 20*time.Millisecond)
}
