package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/engine"
	"radishhollow/test/harness"
)

const modelSpec = "briefing@1"

// deploymentSlots bounds the deployments of parallel tests, so that the processes don't slow each other down.
var deploymentSlots = make(chan struct{}, 4)

// parallel runs the test beside others once a place for its deployment is free.
func parallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
}

// engineDeployment returns a deployment of engines without natural stops, before its start.
func engineDeployment(n int, args ...string) *harness.Deployment {
	d := harness.NewDeployment()
	d.Engines, d.Services, d.Daemons = n, 0, 1
	d.EngineArgs = append([]string{"--stop-longest", "0"}, args...)
	d.AdjustSettings = func(_ int, s *harness.Settings) { s.Timeouts["instance-poll"] = "100ms" }
	return d
}

// startMixedStreams asks for streamed and whole answers of both formats and waits until all of them run.
func startMixedStreams(t *testing.T, d *harness.Deployment, tokens int) []*harness.Stream {
	t.Helper()
	var streams []*harness.Stream
	for i := range 4 {
		streams = append(streams, d.Generate(t, 0, harness.Request{
			Prompt: fmt.Sprintf("inspect gate %d", i), MaxTokens: tokens, Chat: i%2 == 1, NonStreaming: i >= 2,
		}))
	}
	awaitRunning(t, d, len(streams))
	streams[0].AwaitTokens(t, 5)
	return streams
}

// startStreams asks for n streams and waits until each has some output.
func startStreams(t *testing.T, d *harness.Deployment, n, tokens int) []*harness.Stream {
	t.Helper()
	var streams []*harness.Stream
	for i := range n {
		streams = append(streams, d.Generate(t, 0, harness.Request{Prompt: fmt.Sprintf("long report %d", i), MaxTokens: tokens}))
	}
	for _, s := range streams {
		s.AwaitTokens(t, 5)
	}
	return streams
}

// awaitRunning waits until the engines report n running streams.
func awaitRunning(t *testing.T, d *harness.Deployment, n int) {
	t.Helper()
	require.Eventually(t, func() bool {
		running := 0
		for i := range d.EngineCount() {
			var report struct{ Running int }
			harness.GetJSON(t, d.Engine(i), "/v1/load", &report)
			running += report.Running
		}
		return running >= n
	}, 10*time.Second, 20*time.Millisecond)
}

// addEngines adds engines and waits until the daemon has their reports.
func addEngines(t *testing.T, d *harness.Deployment, n int) {
	t.Helper()
	for range n {
		d.AddEngine(t)
	}
	time.Sleep(600 * time.Millisecond)
}

// startServing starts a deployment and waits until its first daemon serves the model.
func startServing(t *testing.T, d *harness.Deployment) *harness.Deployment {
	t.Helper()
	startDeployment(t, d)
	awaitModel(t, d, "briefing")
	return d
}

// engineStats returns the counters of engine i.
func engineStats(t *testing.T, d *harness.Deployment, i int) (s engine.Stats) {
	t.Helper()
	harness.GetJSON(t, d.Engine(i), "/stats", &s)
	return s
}

func startedCount(t *testing.T, d *harness.Deployment, i int) int {
	return engineStats(t, d, i).Started
}

// pollInterval is the interval at which conditions are checked.
const pollInterval = 5 * time.Millisecond

// engineIndex returns the index of the engine with an address.
func engineIndex(t *testing.T, d *harness.Deployment, address string) int {
	t.Helper()
	for i := range d.EngineCount() {
		if d.Engine(i).Address() == address {
			return i
		}
	}
	require.Fail(t, "unknown engine", address)
	return -1
}

// awaitModel waits until daemon 0 knows from reports who serves a model or adapter.
func awaitModel(t *testing.T, d *harness.Deployment, model string) {
	t.Helper()
	require.Eventually(t, func() bool {
		return d.Generate(t, 0, harness.Request{Model: model, Prompt: "probe", MaxTokens: 1}).Wait(t).Complete
	}, 10*time.Second, 50*time.Millisecond)
	// The daemon takes its capacity from the reports every 200 ms; before, it runs one request at a time.
	time.Sleep(400 * time.Millisecond)
}
