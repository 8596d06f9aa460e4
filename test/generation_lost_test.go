package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/engine"
	"radishhollow/test/harness"
)

// engineLoss is one way to lose engine 0.
type engineLoss struct {
	name string
	// class is the class under which the daemon counts the loss.
	class string
	// stillAnswers tells that the engine answers when its streams are taken from it.
	stillAnswers bool
	linked       bool
	lose         func(t *testing.T, e *harness.Process, l *harness.Link)
}

var engineLosses = []engineLoss{
	{name: "killed", class: "connection", lose: func(_ *testing.T, e *harness.Process, _ *harness.Link) { e.Kill() }},
	{name: "frozen and woken", class: "silence", lose: func(t *testing.T, e *harness.Process, _ *harness.Link) {
		// The woken engine sends late output of attempts that it doesn't know to be superseded.
		harness.SetFaults(t, e, map[string]any{"ignore-attempt": true})
		e.Pause(t)
		time.AfterFunc(1800*time.Millisecond, e.Continue)
	}},
	{name: "cut off", class: "connection", linked: true,
		lose: func(_ *testing.T, _ *harness.Process, l *harness.Link) { l.Cut() }},
	{name: "partitioned", class: "silence", linked: true,
		lose: func(t *testing.T, _ *harness.Process, l *harness.Link) { l.Partition(t) }},
	{name: "stalled", class: "silence", stillAnswers: true, lose: func(t *testing.T, e *harness.Process, _ *harness.Link) {
		harness.SetFaults(t, e, engine.Faults{StallMS: new(6000)})
	}},
}

// Guards against answers that lose, repeat or mix tokens, or end early, when their engine is lost in any way. All
// answers run on engine 0 when it is lost, because the others start later.
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

// requireLossMetrics checks how the daemon counted the loss of engine 0 with four streams.
func requireLossMetrics(t *testing.T, d *harness.Deployment, l engineLoss) {
	t.Helper()
	count := func(class string) float64 {
		return d.Metric(t, 0, fmt.Sprintf("radishhollow_engine_losses_total{class=%q}", class))
	}
	require.GreaterOrEqual(t, count(l.class), 4.0)
	spurious := d.Metric(t, 0, "radishhollow_spurious_failovers_total")
	switch {
	case l.stillAnswers:
		require.GreaterOrEqual(t, spurious, 4.0)
	case l.class == "silence":
		require.LessOrEqual(t, spurious, count("silence")-4)
	}
}
