package test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/test/harness"
)

// orderEngine sends an order straight to engine i. Its fencing token is above those of the daemons, so that the planner
// can't undo it.
func orderEngine(t *testing.T, d *harness.Deployment, i int, body map[string]any) {
	t.Helper()
	body["fence"] = uint64(1) << 40
	harness.Post(t, d.Engine(i), "/v1/orders", body)
}

// Guards against an answer that goes on with other weights, or ends normally, when its model or adapter is replaced in
// the middle of the output.
func TestGenerationVersionReplaced(t *testing.T) {
	model := map[string]any{"kind": "load-model", "model": "briefing", "version": "2"}
	adapter := map[string]any{"kind": "load-adapter", "model": "briefing", "adapter": "crew", "adapter-version": "4"}
	for _, tt := range []struct {
		name, model, before, after string
		order                      map[string]any
	}{
		{"model", "briefing", "briefing@1", "briefing@2", model},
		{"adapter", "briefing:crew", "briefing@1+crew@3", "briefing@1+crew@4", adapter},
	} {
		t.Run(tt.name, func(t *testing.T) {
			parallel(t)
			d := engines(2, "--check-fence", "--load-time", "50ms")
			d.Model = "briefing@1+crew@3"
			d.Start(t)
			d.Model = "briefing@1"
			d.Apply(t, 0, d.Sheet(1, "adapter,crew,briefing,3,,,,,,,,,,,"))
			d.AwaitReady(t, 0)
			awaitModel(t, d, tt.model)
			ask := harness.Ask{Model: tt.model, Prompt: "crew plan", MaxTokens: 100}
			stream := d.Ask(t, 0, ask)
			ask.Whole = true
			whole := d.Ask(t, 0, ask)
			stream.Await(t, 5)
			first := engineAt(t, d, stream.Position(t).Address)
			orderEngine(t, d, first, tt.order)
			require.Eventually(t, func() bool {
				return stream.Position(t).Address == d.Engine(1-first).Address()
			}, harness.WaitBound, tick)
			second := d.Ask(t, 0, harness.Ask{Model: tt.model, Prompt: "short plan", MaxTokens: 20})
			second.Await(t, 20)
			orderEngine(t, d, 1-first, tt.order)
			r := stream.Wait(t)
			require.Equal(t, "spec-lost", r.Code)
			require.False(t, r.Ended)
			require.Empty(t, r.Finish)
			require.Equal(t, tt.before, r.Spec)
			require.Less(t, r.Longest, harness.WaitBound)
			require.NoError(t, engineVerify(tt.before, ask, r))
			// A whole answer starts over, because its caller has received nothing.
			whole.RequireWhole(t, tt.after)
		})
	}
}
