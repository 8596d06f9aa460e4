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
	d := harness.NewDeployment()
	d.Daemons, d.EngineArgs = 5, []string{"--stop-longest", "0"}
	startDeployment(t, d)
	l := newLoadGenerator(t, d, 60)
	l.startCallers(12, 3, 3)
	for i := range 5 {
		time.Sleep(200 * time.Millisecond)
		d.Daemon(i).Terminate()
		require.Zero(t, d.Daemon(i).Wait(t, 20*time.Second))
		d.RestartDaemon(t, i)
		require.Eventually(t, func() bool { return l.balancer.IsReady(i) }, 20*time.Second, 10*time.Millisecond)
	}
	l.finish()
	require.Empty(t, l.failures)
	require.Empty(t, l.refusals)
	require.Greater(t, l.completed, 12)
	requireSingleRuns(t, l, true)
}

// Guards against wrong answers, untyped errors and doubled bookings when a daemon and a whole place end at peak load.
func TestLossOfDaemonAndPlace(t *testing.T) {
	parallel(t)
	d := harness.NewDeployment()
	d.Daemons, d.Engines, d.Services = 5, 8, 4
	d.EngineArgs = []string{"--slots", "4", "--stop-longest", "0"}
	// Calls take long enough that the killed daemon has bookings in progress, which their callers repeat elsewhere.
	d.ServiceArgs = []string{"--run-time", "200ms"}
	d.AdjustSettings = func(_ int, s *harness.Settings) {
		s.Timeouts["queue-wait"] = "500ms"
		// A booking that the killed daemon had claimed is waited for.
		s.Timeouts["claim-wait"] = "1s"
	}
	startDeployment(t, d)
	// The link loses the runner and keeps its counts.
	link := harness.NewLink(t, d.ServiceRunner(0).Address())
	row := instanceRow(t, d, d.ServiceRunner(0).Address())
	row.Address = link.Address()
	d.PutInstance(t, row)
	d.RemoveInstance(t, d.ServiceRunner(0))
	time.Sleep(1200 * time.Millisecond) // The daemons read the list once a second.

	l := newLoadGenerator(t, d, 40)
	l.startCallers(40, 16, 4)
	time.Sleep(1500 * time.Millisecond)
	d.Daemon(1).Kill()
	d.Engine(0).Kill()
	d.Engine(4).Kill()
	link.Cut()
	time.Sleep(3 * time.Second)
	l.finish()

	require.Greater(t, l.completed, 40)
	aborted := 0
	for _, failure := range l.failures {
		require.Regexp(t, "EOF|reset|refused", failure, "only the killed daemon may cut a caller off")
		aborted++
	}
	require.Less(t, aborted, 40)
	for code := range maps.Keys(l.refusals) {
		require.False(t, strings.HasPrefix(code, "untyped"), code)
	}
	// A dead runner is tried a few times per daemon, not until the pollers give it up.
	require.LessOrEqual(t, l.refusals["endpoint-unreachable"], 10)
	requireRefusalsCounted(t, l)
	requireSingleRuns(t, l, false)
}

// requireRefusalsCounted compares the refusals that callers saw with the counters of the daemons that still run.
func requireRefusalsCounted(t *testing.T, l *loadGenerator) {
	t.Helper()
	for code, observed := range l.refusals {
		counted := 0.0
		for i := range 5 {
			if i != 1 {
				counted += l.d.Metric(t, i, `radishhollow_requests_total{class="`+code+`"}`)
			}
		}
		// The killed daemon took its counters with it.
		require.GreaterOrEqual(t, counted, 0.7*float64(observed), code)
	}
}

// requireSingleRuns checks the runs of every booking: none twice, and one for each that succeeded.
func requireSingleRuns(t *testing.T, l *loadGenerator, allRan bool) {
	t.Helper()
	require.NotEmpty(t, l.bookingStatus)
	runs := map[string]int{}
	for i := range l.d.Services {
		var response struct{ Runs map[string]int }
		harness.GetJSON(t, l.d.ServiceRunner(i), "/runs", &response)
		for key, n := range response.Runs {
			runs[key] += n
		}
	}
	for key, status := range l.bookingStatus {
		require.LessOrEqual(t, runs[key], 1, key)
		if allRan || status == 200 {
			require.Equal(t, 1, runs[key], "%s has status %d", key, status)
		}
	}
}
