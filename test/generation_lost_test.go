package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/engine"
	"radishhollow/test/harness"
)

// loss is one way to lose engine 0.
type loss struct {
	name string
	// class is the class under which the daemon counts the loss.
	class string
	// alive tells that the engine answers when its streams are taken from it.
	alive  bool
	linked bool
	lose   func(t *testing.T, e *harness.Process, l *harness.Link)
}

var losses = []loss{
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
	{name: "stalled", class: "silence", alive: true, lose: func(t *testing.T, e *harness.Process, _ *harness.Link) {
		harness.SetFaults(t, e, engine.Faults{StallMS: new(6000)})
	}},
}

// Guards against answers that lose, repeat or mix tokens, or end early, when their engine is lost in any way. All
// answers run on engine 0 when it is lost, because the others start later.
func TestGenerationEngineLost(t *testing.T) {
	t.Parallel()
	for _, tt := range losses {
		t.Run(tt.name, func(t *testing.T) {
			parallel(t)
			d := engines(1)
			var link *harness.Link
			if tt.linked {
				d.Linked = func(_ int, l *harness.Link) { link = l }
			}
			launch(t, d)
			d.Linked = nil
			streams := askAll(t, d, 130)
			addEngines(t, d, 2)
			tt.lose(t, d.Engine(0), link)
			for _, s := range streams {
				s.RequireWhole(t, spec)
			}
			require.GreaterOrEqual(t, started(t, d, 1)+started(t, d, 2), 4)
			requireLosses(t, d, tt)
		})
	}
}

// requireLosses checks how the daemon counted the loss of engine 0 with four streams.
func requireLosses(t *testing.T, d *harness.Deployment, l loss) {
	t.Helper()
	count := func(class string) float64 {
		return d.Metric(t, 0, fmt.Sprintf("radishhollow_engine_losses_total{class=%q}", class))
	}
	require.GreaterOrEqual(t, count(l.class), 4.0)
	spurious := d.Metric(t, 0, "radishhollow_spurious_failovers_total")
	switch {
	case l.alive:
		require.GreaterOrEqual(t, spurious, 4.0)
	case l.class == "silence":
		require.LessOrEqual(t, spurious, count("silence")-4)
	}
}
