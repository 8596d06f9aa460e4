package test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/engine"
	"radishhollow/test/harness"
)

// orderEngine sends an order straight to engine i. Its fencing token is above those of the daemons, so that the planner
// can't undo it.
func orderEngine(t *testing.T, d *harness.Deployment, i int, body map[string]any) {
	t.Helper()
	body["fence"] = uint64(1) << 40
	harness.Post(t, d.Engine(i), "/v1/orders", body)
}

// replaced is a model whose weights change from one spec to another by an order.
type replaced struct {
	name, model, before, after string
	order                      map[string]any
}

// Guards against an answer that goes on with other weights, or ends normally, when its model or adapter is replaced in
// the middle of the output.
func TestGenerationVersionReplaced(t *testing.T) {
	t.Parallel()
	model := map[string]any{"kind": "load-model", "model": "briefing", "version": "2"}
	adapter := map[string]any{"kind": "load-adapter", "model": "briefing", "adapter": "crew", "adapter-version": "4"}
	for _, tt := range []replaced{
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
			replaceTwice(t, d, tt)
		})
	}
}

// replaceTwice replaces the weights on the engine of a stream, and then on the only other one.
func replaceTwice(t *testing.T, d *harness.Deployment, w replaced) {
	t.Helper()
	ask := harness.Ask{Model: w.model, Prompt: "crew plan", MaxTokens: 100}
	stream := d.Ask(t, 0, ask)
	ask.Whole = true
	whole := d.Ask(t, 0, ask)
	stream.Await(t, 5)
	first := engineAt(t, d, stream.Position(t).Address)
	orderEngine(t, d, first, w.order)
	require.Eventually(t, func() bool {
		return stream.Position(t).Address == d.Engine(1-first).Address()
	}, harness.WaitBound, tick)
	orderEngine(t, d, 1-first, w.order)
	r := stream.Wait(t)
	require.Equal(t, "spec-lost", r.Code)
	require.False(t, r.Ended)
	require.Empty(t, r.Finish)
	require.Equal(t, w.before, r.Spec)
	require.Less(t, r.Longest, harness.WaitBound)
	require.NoError(t, engine.Verify(w.before, ask.PromptIDs(), r.Tokens))
	// A whole answer starts over, because its caller has received nothing.
	whole.RequireWhole(t, w.after)
}
