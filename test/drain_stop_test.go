package test

import (
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/test/harness"
)

// Guards against a planned stop that cuts off or refuses requests: five daemons restart one after another under load.
func TestRollingRestart(t *testing.T) {
	parallel(t)
	d := harness.New()
	d.Daemons, d.EngineArgs = 5, []string{"--stop-longest", "0"}
	start(t, d)
	l := newLoad(t, d, 60)
	l.run(12, 3, 3)
	for i := range 5 {
		time.Sleep(200 * time.Millisecond)
		d.Daemon(i).Terminate()
		require.Zero(t, d.Daemon(i).Wait(t, 20*time.Second))
		d.RestartDaemon(t, i)
		require.Eventually(t, func() bool { return l.balance.IsReady(i) }, 20*time.Second, 10*time.Millisecond)
	}
	l.end()
	require.Empty(t, l.broken)
	require.Empty(t, l.refused)
	require.Greater(t, l.whole, 12)
	requireOnce(t, l, true)
}

// Guards against wrong answers, untyped errors and doubled bookings when a daemon and a whole place end at peak load.
func TestLossOfDaemonAndPlace(t *testing.T) {
	parallel(t)
	d := harness.New()
	d.Daemons, d.Engines, d.Services = 5, 8, 4
	d.EngineArgs = []string{"--slots", "4", "--stop-longest", "0"}
	// Calls take long enough that the killed daemon has bookings in progress, which their callers repeat elsewhere.
	d.ServiceArgs = []string{"--run-time", "200ms"}
	d.Adjust = func(_ int, s *harness.Settings) {
		s.Timeouts["queue-wait"] = "500ms"
		// A booking that the killed daemon had claimed is waited for.
		s.Timeouts["claim-wait"] = "1s"
	}
	start(t, d)
	// The link loses the runner and keeps its counts.
	link := harness.Proxy(t, d.ServiceRunner(0).Address())
	row := rowOf(t, d, d.ServiceRunner(0).Address())
	row.Address = link.Address()
	d.PutInstance(t, row)
	d.RemoveInstance(t, d.ServiceRunner(0))
	time.Sleep(1200 * time.Millisecond) // The daemons read the list once a second.

	l := newLoad(t, d, 40)
	l.run(40, 16, 4)
	time.Sleep(1500 * time.Millisecond)
	d.Daemon(1).Kill()
	d.Engine(0).Kill()
	d.Engine(4).Kill()
	link.Cut()
	time.Sleep(3 * time.Second)
	l.end()

	require.Greater(t, l.whole, 40)
	killed := 0
	for _, text := range l.broken {
		require.Regexp(t, "EOF|reset|refused", text, "only the killed daemon may cut a caller off")
		killed++
	}
	require.Less(t, killed, 40)
	for code := range maps.Keys(l.refused) {
		require.False(t, strings.HasPrefix(code, "untyped"), code)
	}
	// A dead runner is tried a few times per daemon, not until the pollers give it up.
	require.LessOrEqual(t, l.refused["endpoint-unreachable"], 10)
	requireCounted(t, l)
	requireOnce(t, l, false)
}

// requireCounted compares the refusals that callers saw with the counters of the daemons that still run.
func requireCounted(t *testing.T, l *load) {
	t.Helper()
	for code, seen := range l.refused {
		counted := 0.0
		for i := range 5 {
			if i != 1 {
				counted += l.d.Metric(t, i, `radishhollow_requests_total{class="`+code+`"}`)
			}
		}
		// The killed daemon took its counters with it.
		require.GreaterOrEqual(t, counted, 0.7*float64(seen), code)
	}
}

// requireOnce checks the runs of every booking: none twice, and one for each that succeeded.
func requireOnce(t *testing.T, l *load, complete bool) {
	t.Helper()
	require.NotEmpty(t, l.booked)
	runs := map[string]int{}
	for i := range l.d.Services {
		var answer struct{ Runs map[string]int }
		harness.Get(t, l.d.ServiceRunner(i), "/runs", &answer)
		for key, n := range answer.Runs {
			runs[key] += n
		}
	}
	for key, status := range l.booked {
		require.LessOrEqual(t, runs[key], 1, key)
		if complete || status == 200 {
			require.Equal(t, 1, runs[key], "%s has status %d", key, status)
		}
	}
}
