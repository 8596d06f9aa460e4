package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/test/harness"
)

// engineState is the part of an engine's load report that orders change.
type engineState struct {
	Fence  uint64 `json:"fence"`
	Models []struct {
		Name    string `json:"name"`
		Version string `json:"version"`
	} `json:"models"`
}

func engineStateOf(t *testing.T, p *harness.Process) engineState {
	t.Helper()
	var state engineState
	harness.GetJSON(t, p, "/v1/load", &state)
	return state
}

// serves reports whether the engine has loaded this version of the model and nothing else.
func (s engineState) serves(version string) bool {
	return len(s.Models) == 1 && s.Models[0].Name == "briefing" && s.Models[0].Version == version
}

// Guards against a version that does not reach every engine of every place, loads above the rate limit of the weight
// store, a restarted engine that loads no model, and a response that mixes versions.
func TestVersionReachesAllPlaces(t *testing.T) {
	parallel(t)
	d := harness.NewDeployment()
	d.Daemons, d.Engines, d.Services = 4, 12, 0
	// The store's rate limit is slightly above the sheet's, because loads may start late and then follow each other more
	// closely.
	d.PlatformArgs = append(d.PlatformArgs, "--weight-loads-per-minute", "140")
	d.EngineArgs = []string{"--load-time", "100ms", "--report-lag", "100ms", "--stop-longest", "0"}
	d.AdjustSettings = func(_ int, s *harness.Settings) { s.Timeouts["order-settle"] = "1s" }
	rateRow := "setting,weight-loads-per-minute,,,,,,,,,,,,,120"
	startDeployment(t, d, rateRow)
	l := newLoadGenerator(t, d, 50)
	l.startCallers(8, 0, 0)
	d.Model = "briefing@2"
	d.ApplySheet(t, 1, d.Sheet(2, rateRow))
	awaitVersion(t, d, "2", 20*time.Second)
	l.finish()
	requireOnlySpecLosses(t, l)

	// Engines without a model may all load at the same time, so that only the sheet's rate limit keeps them below the
	// store's rate and burst of 4.
	for i := range d.Engines {
		if i%len(d.Places) > 0 {
			d.ReplaceEngine(t, i)
			require.Empty(t, engineStateOf(t, d.Engine(i)).Models)
		}
	}
	awaitVersion(t, d, "2", 15*time.Second)

	var calls map[string]int
	harness.GetJSON(t, d.Platform(), "/calls", &calls)
	// 12 engines load version 2, and the 9 replaced engines load it again.
	require.Equal(t, 12+9, calls["weights"], "each engine must load once")
	require.Zero(t, calls["weights-refused"])
}

func awaitVersion(t *testing.T, d *harness.Deployment, version string, timeout time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool {
		for i := range d.Engines {
			if !engineStateOf(t, d.Engine(i)).serves(version) {
				return false
			}
		}
		return true
	}, timeout, 50*time.Millisecond, "not every engine serves version %s", version)
}

// requireOnlySpecLosses allows no failures except streams that ended with an error event because no engine has their
// version any more, or because every engine on which they resumed changed its version too.
func requireOnlySpecLosses(t *testing.T, l *loadGenerator) {
	t.Helper()
	require.Positive(t, l.completed)
	require.Empty(t, l.refusals)
	for _, failure := range l.failures {
		require.Regexp(t, `"code":"(spec-lost|engine-lost)"`, failure)
	}
}

// Guards against a change of version that breaks off long generations. Their engines must wait until they have ended.
func TestVersionChangeKeepsStreams(t *testing.T) {
	parallel(t)
	d := harness.NewDeployment()
	d.Daemons, d.Engines, d.Services = 4, 8, 0
	d.EngineArgs = []string{"--load-time", "100ms", "--report-lag", "100ms", "--stop-longest", "0"}
	d.AdjustSettings = func(_ int, s *harness.Settings) { s.Timeouts["order-settle"] = "1s" }
	rateRow := "setting,weight-loads-per-minute,,,,,,,,,,,,,6000"
	startDeployment(t, d, rateRow)
	awaitModel(t, d, "briefing")
	var streams []*harness.Stream
	for i := range 24 {
		streams = append(streams, d.Generate(t, i%d.Daemons, harness.Request{Prompt: fmt.Sprint("long plan ", i), MaxTokens: 300}))
	}
	for _, s := range streams {
		s.AwaitTokens(t, 5)
	}
	d.Model = "briefing@2"
	d.ApplySheet(t, 1, d.Sheet(2, rateRow))
	for _, s := range streams {
		s.RequireComplete(t, "briefing@1")
	}
	awaitVersion(t, d, "2", 20*time.Second)
}
