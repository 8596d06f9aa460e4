package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/engine"
	"radishhollow/test/harness"
)

// engineLoss is one way in which engine 0 is lost.
type engineLoss struct {
	name string
	// class is the class label of the daemon's metric for the loss.
	class string
	// stillResponds is set if the engine still responds when its streams are moved to other engines.
	stillResponds bool
	// linked is set if the daemon reaches engine 0 through a link, which lose receives.
	linked bool
	lose   func(t *testing.T, e *harness.Process, l *harness.Link)
}

var engineLosses = []engineLoss{
	{name: "killed", class: "connection", lose: func(_ *testing.T, e *harness.Process, _ *harness.Link) { e.Kill() }},
	{name: "paused and continued", class: "silence", lose: func(t *testing.T, e *harness.Process, _ *harness.Link) {
		// After it continues, the engine sends delayed output of attempts that it does not know to be superseded.
		harness.SetFaults(t, e, map[string]any{"ignore-attempt": true})
		e.Pause(t)
		time.AfterFunc(1800*time.Millisecond, e.Continue)
	}},
	{name: "cut off", class: "connection", linked: true,
		lose: func(_ *testing.T, _ *harness.Process, l *harness.Link) { l.Cut() }},
	{name: "partitioned", class: "silence", linked: true,
		lose: func(t *testing.T, _ *harness.Process, l *harness.Link) { l.Partition(t) }},
	{name: "stalled", class: "silence", stillResponds: true, lose: func(t *testing.T, e *harness.Process, _ *harness.Link) {
		harness.SetFaults(t, e, engine.Faults{StallMS: new(6000)})
	}},
}

// Guards against responses with missing, repeated or mixed tokens, or that end early, if their engine is lost. All
// generations run on engine 0 when it is lost, because the other engines start later.
func TestGenerationEngineLost(t *testing.T) {
	t.Parallel()
	for _, tt := range engineLosses {
		t.Run(tt.name, func(t *testing.T) {
			parallel(t)
			d := engineDeployment(1)
			var link *harness.Link
			if tt.linked {
				d.OnEngineLink = func(_ int, l *harness.Link) { link = l }
			}
			startServing(t, d)
			d.OnEngineLink = nil
			streams := startMixedStreams(t, d, 130)
			addEngines(t, d, 2)
			tt.lose(t, d.Engine(0), link)
			for _, s := range streams {
				s.RequireComplete(t, modelSpec)
			}
			require.GreaterOrEqual(t, startedCount(t, d, 1)+startedCount(t, d, 2), 4)
			requireLossMetrics(t, d, tt)
		})
	}
}

// requireLossMetrics checks the daemon's metrics for the loss of engine 0 with four streams.
func requireLossMetrics(t *testing.T, d *harness.Deployment, l engineLoss) {
	t.Helper()
	count := func(class string) float64 {
		return d.Metric(t, 0, fmt.Sprintf("radishhollow_engine_losses_total{class=%q}", class))
	}
	require.GreaterOrEqual(t, count(l.class), 4.0)
	spurious := d.Metric(t, 0, "radishhollow_spurious_failovers_total")
	switch {
	case l.stillResponds:
		require.GreaterOrEqual(t, spurious, 4.0)
	case l.class == "silence":
		// Other silences may count as spurious, but none of the four losses.
		require.LessOrEqual(t, spurious, count("silence")-4)
	}
}
