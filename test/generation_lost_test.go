package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/engine"
	"radishhollow/test/harness"
)

// Guards against answers that lose, repeat or mix tokens, or end early, when their engine is lost in any way. All
// answers run on engine 0 when it is lost, because the others start later.
func TestGenerationEngineLost(t *testing.T) {
	cases := []struct {
		name   string
		class  string
		linked bool
		lose   func(t *testing.T, e *harness.Process, l *harness.Link)
	}{
		{"killed", "connection", false, func(_ *testing.T, e *harness.Process, _ *harness.Link) { e.Kill() }},
		{"frozen and woken", "silence", false, func(t *testing.T, e *harness.Process, _ *harness.Link) {
			// The woken engine sends late output of attempts that it doesn't know to be superseded.
			harness.SetFaults(t, e, map[string]any{"ignore-attempt": true})
			e.Pause(t)
			time.AfterFunc(1200*time.Millisecond, e.Continue)
		}},
		{"cut off", "connection", true, func(_ *testing.T, _ *harness.Process, l *harness.Link) { l.Cut() }},
		{"partitioned", "silence", true, func(t *testing.T, _ *harness.Process, l *harness.Link) { l.Partition(t) }},
		{"stalled", "silence", false, func(t *testing.T, e *harness.Process, _ *harness.Link) {
			harness.SetFaults(t, e, engine.Faults{StallMS: new(6000)})
		}},
	}
	for _, tt := range cases {
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
			streams[0].Await(t, 5)
			addEngines(t, d, 2)
			tt.lose(t, d.Engine(0), link)
			for _, s := range streams {
				s.RequireWhole(t, spec)
			}
			losses := fmt.Sprintf("radishhollow_engine_losses_total{class=%q}", tt.class)
			require.GreaterOrEqual(t, d.Metric(t, 0, losses), 4.0)
			require.GreaterOrEqual(t, started(t, d, 1)+started(t, d, 2), 4)
		})
	}
}
