package test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/engine"
	"radishhollow/test/harness"
)

// sendOrder sends an order directly to engine i. Its fencing token is higher than those of the daemons, so that the
// planner cannot undo the order.
func sendOrder(t *testing.T, d *harness.Deployment, i int, body map[string]any) {
	t.Helper()
	body["fence"] = uint64(1) << 40
	harness.PostJSON(t, d.Engine(i), "/v1/orders", body)
}

// weightsReplacement is a model whose weights an order replaces, which changes the spec from before to after.
type weightsReplacement struct {
	name, model, before, after string
	order                      map[string]any
}

// Guards against a response that continues with other weights, or that ends normally, if its model or adapter is
// replaced during the output.
func TestGenerationVersionReplaced(t *testing.T) {
	t.Parallel()
	model := map[string]any{"kind": "load-model", "model": "briefing", "version": "2"}
	adapter := map[string]any{"kind": "load-adapter", "model": "briefing", "adapter": "crew", "adapter-version": "4"}
	for _, tt := range []weightsReplacement{
		{"model", "briefing", "briefing@1", "briefing@2", model},
		{"adapter", "briefing:crew", "briefing@1+crew@3", "briefing@1+crew@4", adapter},
	} {
		t.Run(tt.name, func(t *testing.T) {
			parallel(t)
			d := engineDeployment(2, "--check-fence", "--load-time", "50ms")
			d.Model = "briefing@1+crew@3"
			d.Start(t)
			d.Model = "briefing@1"
			d.ApplySheet(t, 0, d.Sheet(1, "adapter,crew,briefing,3,,,,,,,,,,,"))
			d.AwaitReady(t, 0)
			awaitModel(t, d, tt.model)
			replaceTwice(t, d, tt)
		})
	}
}

// replaceTwice replaces the weights on the engine of a stream, and then on the only other engine.
func replaceTwice(t *testing.T, d *harness.Deployment, w weightsReplacement) {
	t.Helper()
	request := harness.Request{Model: w.model, Prompt: "crew plan", MaxTokens: 100}
	stream := d.Generate(t, 0, request)
	request.NonStreaming = true
	nonStreaming := d.Generate(t, 0, request)
	stream.AwaitTokens(t, 5)
	first := engineIndex(t, d, stream.LastCursor(t).Address)
	sendOrder(t, d, first, w.order)
	require.Eventually(t, func() bool {
		return stream.LastCursor(t).Address == d.Engine(1-first).Address()
	}, harness.WaitBound, pollInterval)
	sendOrder(t, d, 1-first, w.order)
	r := stream.Wait(t)
	require.Equal(t, "spec-lost", r.ErrorCode)
	require.False(t, r.Complete)
	require.Empty(t, r.FinishReason)
	require.Equal(t, w.before, r.Spec)
	require.Less(t, r.LongestWait, harness.WaitBound)
	require.NoError(t, engine.Verify(w.before, request.PromptTokens(), r.Tokens))
	// A non-streaming response starts again with the new weights, because its caller has received no output yet.
	nonStreaming.RequireComplete(t, w.after)
}
