package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/engine"
	"radishhollow/test/harness"
)

// Guards against responses that contain output of another generation, repeated output or gaps. The engines repeat and
// drop chunks, and send chunks of other generations.
func TestGenerationDisturbedChunks(t *testing.T) {
	parallel(t)
	d := startServing(t, engineDeployment(2))
	streams := startMixedStreams(t, d, 110)
	for n, faults := range []engine.Faults{{Duplicate: new(4)}, {Drop: new(2)}, {Crossed: new(2)}} {
		for i := range 2 {
			harness.SetFaults(t, d.Engine(i), faults)
		}
		streams[0].AwaitTokens(t, 25*(n+1))
	}
	for _, s := range streams {
		s.RequireComplete(t, modelSpec)
	}
	require.Positive(t, d.Metric(t, 0, `radishhollow_dropped_tokens_total{class="crossed"}`))
	require.Positive(t, d.Metric(t, 0, `radishhollow_dropped_tokens_total{class="duplicate"}`))
	require.Positive(t, d.Metric(t, 0, `radishhollow_attempts_total{class="attach"}`))
}

// Guards against a generation that survives the loss of its engine, but not the loss of the engine that resumed it.
func TestGenerationTwoLosses(t *testing.T) {
	t.Parallel()
	for name, outputBetween := range map[string]int{"at once": 0, "after some output": 10} {
		t.Run(name, func(t *testing.T) {
			parallel(t)
			d := startServing(t, engineDeployment(3))
			streams := startMixedStreams(t, d, 110)
			n := len(streams[0].AwaitTokens(t, 5).Tokens)
			first := engineIndex(t, d, streams[0].LastCursor(t).Address)
			d.Engine(first).Kill()
			second := (first + 1) % 3
			if outputBetween > 0 {
				streams[0].AwaitTokens(t, n+outputBetween)
				second = engineIndex(t, d, streams[0].LastCursor(t).Address)
			}
			d.Engine(second).Kill()
			for _, s := range streams {
				s.RequireComplete(t, modelSpec)
			}
		})
	}
}

// Guards against streams of a lost engine that all resume on the same remaining engine, and against streams that fail
// because the retry budget is exhausted.
func TestGenerationManyStreams(t *testing.T) {
	t.Parallel()
	for name, lose := range map[string]func(t *testing.T, e *harness.Process){
		"killed": func(_ *testing.T, e *harness.Process) { e.Kill() },
		"stalled under load": func(t *testing.T, e *harness.Process) {
			harness.SetFaults(t, e, engine.Faults{StallMS: new(8000)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			parallel(t)
			d := startServing(t, engineDeployment(1, "--slots", "32"))
			streams := startStreams(t, d, 24, 80)
			addEngines(t, d, 3)
			lose(t, d.Engine(0))
			for _, s := range streams {
				s.RequireComplete(t, modelSpec)
			}
			for i := 1; i <= 3; i++ {
				// An even distribution is 8 streams per engine.
				n := startedCount(t, d, i)
				require.GreaterOrEqual(t, n, 4, "engine %d", i)
				require.LessOrEqual(t, n, 12, "engine %d", i)
			}
		})
	}
}

// Guards against requests that fail because the retry budget is exhausted, if their engine fails while it is prefilling
// many of them.
func TestGenerationLostBeforeOutput(t *testing.T) {
	parallel(t)
	d := startServing(t, engineDeployment(1, "--slots", "32", "--prefill-rate", "10"))
	var streams []*harness.Stream
	for i := range 24 {
		streams = append(streams, d.Generate(t, 0, harness.Request{Prompt: fmt.Sprintf("long report %d", i), MaxTokens: 20}))
	}
	awaitRunning(t, d, len(streams))
	d.Engine(0).Kill()
	// The new engines prefill at the default rate.
	d.EngineArgs = engineDeployment(0, "--slots", "32").EngineArgs
	addEngines(t, d, 2)
	for _, s := range streams {
		s.RequireComplete(t, modelSpec)
	}
}

// Guards against a caller that waits indefinitely, or that takes partial output for the complete response, if the only
// place with the model is lost. An engine with another model remains.
func TestGenerationPlaceLost(t *testing.T) {
	parallel(t)
	d := engineDeployment(2)
	d.Places, d.Daemons = []string{"canas"}, 0
	d.Start(t)
	sheet := d.Sheet(1, "model,drafting,,1,,,,,,,,,,yes,")
	d.Model = "drafting@1"
	d.AddEngine(t)
	d.Model = "briefing@1"
	d.AddDaemon(t)
	d.ApplySheet(t, 0, sheet)
	d.AwaitReady(t, 0)
	awaitModel(t, d, "briefing")
	streams := startMixedStreams(t, d, 400)
	d.Engine(0).Kill()
	d.Engine(1).Kill()
	lost := time.Now()
	for i, s := range streams {
		r := s.Wait(t)
		require.Less(t, time.Since(lost), harness.WaitBound)
		require.Contains(t, []string{"engine-lost", "wait-exceeded"}, r.ErrorCode)
		require.False(t, r.Complete)
		require.Empty(t, r.FinishReason)
		// The last two streams are non-streaming, so that their status can still report the loss.
		require.Equal(t, i >= 2, r.Status == 502)
	}
	require.Zero(t, startedCount(t, d, 2))
}
