package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/engine"
	"radishhollow/test/harness"
)

// modelSpec is the spec of the model of a new deployment.
const modelSpec = "briefing@1"

// deploymentSlots limits the number of concurrent deployments, so that their processes do not slow each other down.
var deploymentSlots = make(chan struct{}, 4)

// parallel marks the test as parallel and waits for a free deployment slot.
func parallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
}

// engineDeployment returns a deployment of n engines and one daemon that is not started yet. The engines end an output
// only at its maximum length.
func engineDeployment(n int, args ...string) *harness.Deployment {
	d := harness.NewDeployment()
	d.Engines, d.Services, d.Daemons = n, 0, 1
	d.EngineArgs = append([]string{"--stop-longest", "0"}, args...)
	d.AdjustSettings = func(_ int, s *harness.Settings) { s.Timeouts["instance-poll"] = "100ms" }
	return d
}

// startMixedStreams sends four requests, a completion and a chat each with and without streaming, and waits until all
// are running.
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

// startStreams starts n streams and waits until each has received output.
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

// addEngines adds n engines and waits long enough for the daemon to receive their load reports.
func addEngines(t *testing.T, d *harness.Deployment, n int) {
	t.Helper()
	for range n {
		d.AddEngine(t)
	}
	time.Sleep(600 * time.Millisecond)
}

// startServing starts a deployment and waits until daemon 0 serves the model "briefing".
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

// pollInterval is the time between two checks of a condition.
const pollInterval = 5 * time.Millisecond

// engineIndex returns the index of the engine with the given address.
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

// awaitModel waits until daemon 0 serves a model or adapter and has updated its capacity from the load reports.
func awaitModel(t *testing.T, d *harness.Deployment, model string) {
	t.Helper()
	require.Eventually(t, func() bool {
		return d.Generate(t, 0, harness.Request{Model: model, Prompt: "probe", MaxTokens: 1}).Wait(t).Complete
	}, 10*time.Second, 50*time.Millisecond)
	// The daemon updates its capacity from the reports every 200 ms. Until then it runs one request at a time.
	time.Sleep(400 * time.Millisecond)
}
