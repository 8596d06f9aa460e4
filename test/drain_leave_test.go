package test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/engine"
	"radishhollow/test/harness"
)

// leavingBound is the time within which daemons must stop sending new requests to an endpoint, counted from its first
// signal that it is leaving.
const leavingBound = 2 * time.Second

// Guards against new requests to a leaving endpoint, against streams that break because their endpoint is leaving, and
// against an endpoint that gets no requests after a restart at the same address.
//
// Engine 0 is marked as leaving in the instance list, which only daemon 0 can read, so that daemon 1 must learn it from
// its peer. Engine 1 announces that it is leaving in its load report, and engine 2 only in a response header, because
// its report does not change during the test.
func TestLeavingEndpoint(t *testing.T) {
	parallel(t)
	d := harness.NewDeployment()
	d.Engines, d.EngineArgs = 6, []string{"--stop-longest", "0"}
	var link *harness.Link
	d.AdjustSettings = func(i int, s *harness.Settings) {
		if i == 1 {
			link = harness.NewLink(t, s.Platform)
			s.Platform = link.Address()
		}
	}
	startDeployment(t, d)
	d.ReplaceEngine(t, 2, "--model", d.Model, "--report-lag", "1h")
	l := newLoadGenerator(t, d, 150)
	l.startCallers(24, 0, 0)
	for i := range 3 {
		require.Eventuallyf(t, func() bool { return startsReceived(t, d, i) > 0 }, 10*time.Second, 20*time.Millisecond,
			"engine %d got no request", i)
	}
	link.Cut()
	leftAt := time.Now()
	leaving := map[string]any{"leaving": true}
	row := instanceRow(t, d, d.Engine(0).Address())
	row.State = "leaving"
	d.PutInstance(t, row)
	harness.SetFaults(t, d.Engine(1), leaving)
	harness.SetFaults(t, d.Engine(2), leaving)
	time.Sleep(time.Until(leftAt.Add(leavingBound)))
	before, sentBefore := countStarts(t, d)
	time.Sleep(2 * time.Second)
	after, sentAfter := countStarts(t, d)
	for i := 3; i < len(before); i++ {
		require.Eventuallyf(t, func() bool { return startsReceived(t, d, i) > before[i] }, 10*time.Second, 20*time.Millisecond,
			"engine %d must go on receiving requests", i)
	}
	l.finish()
	require.Equal(t, before[:3], after[:3], "new requests after %s", leavingBound)
	// Which of the other engines gets them first depends on their loads.
	require.Greater(t, after[3]+after[4]+after[5], before[3]+before[4]+before[5])
	for i := range sentAfter {
		require.Greater(t, sentAfter[i], sentBefore[i], "daemon %d must go on sending requests", i)
	}
	require.Empty(t, l.failures)
	require.Empty(t, l.refusals)
	for i := range 2 {
		require.Zero(t, d.Metric(t, i, `radishhollow_attempts_total{class="resume"}`),
			"a stream of a leaving endpoint was resumed elsewhere")
	}

	link.Restore(t)
	d.ReplaceEngine(t, 0, "--model", d.Model)
	l = newLoadGenerator(t, d, 30)
	l.startCallers(24, 0, 0)
	require.Eventually(t, func() bool { return startsReceived(t, d, 0) > 0 }, convergenceBound, 20*time.Millisecond,
		"no requests after the restart")
	l.finish()
	require.Empty(t, l.failures)
}

// countStarts returns the numbers of generations that each of six engines has received and that each of two daemons has sent.
func countStarts(t *testing.T, d *harness.Deployment) (received [6]int, sent [2]float64) {
	t.Helper()
	for i := range received {
		received[i] = startsReceived(t, d, i)
	}
	for i := range sent {
		sent[i] = d.Metric(t, i, `radishhollow_attempts_total{class="first"}`)
	}
	return received, sent
}

// Guards against new calls to a service runner after it has announced in a response or a load report that it is
// leaving.
func TestLeavingServiceRunner(t *testing.T) {
	parallel(t)
	d := harness.NewDeployment()
	d.Engines, d.Services = 0, 3
	startDeployment(t, d)
	l := newLoadGenerator(t, d, 0)
	l.startCallers(0, 2, 0)
	harness.SetFaults(t, d.ServiceRunner(0), map[string]any{"leaving": true})
	time.Sleep(leavingBound)
	before := callsReceived(t, d, 0)
	time.Sleep(time.Second)
	require.Equal(t, before, callsReceived(t, d, 0))
	l.finish()
	require.Empty(t, l.failures)
	requireSingleRuns(t, l, true)
}

// callsReceived returns the number of calls that a service runner has received, including those that it refused.
func callsReceived(t *testing.T, d *harness.Deployment, i int) int {
	t.Helper()
	var response struct {
		Runs    map[string]int `json:"runs"`
		Refused int            `json:"refused-leaving"`
	}
	harness.GetJSON(t, d.ServiceRunner(i), "/runs", &response)
	return len(response.Runs) + response.Refused
}

// startsReceived returns the number of generations that an engine was asked to start, including those that it refused.
func startsReceived(t *testing.T, d *harness.Deployment, i int) int {
	t.Helper()
	var stats engine.Stats
	harness.GetJSON(t, d.Engine(i), "/stats", &stats)
	return stats.Started + stats.RefusedLeaving
}
