package bench_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/bench"
)

// Guards against the measurement of a daemon that is not connected to the fakes, whose figures would be too low.
func TestCostReachesAllFakes(t *testing.T) {
	cost := bench.Cost{CostSizes: bench.CostSizes{
		Daemons: 3, Endpoints: 25, Models: 1, Places: 1, Workspaces: 5, SettleSeconds: 0.2, MeasureSeconds: 1.5,
	}}
	result, err := cost.Run(t.Context())
	require.NoError(t, err)
	require.Equal(t, 25, result.Polled)
	for _, kind := range []string{"endpoints", "peers", "instances"} {
		require.Positive(t, result.Calls[kind], kind)
	}
}

// Guards against a revision that the exchange alone does not carry while the platform is down.
func TestSpreadWithoutPlatform(t *testing.T) {
	result, err := bench.Propagation{Daemons: 3, Workspaces: 5, Seed: 1, PlatformDown: true}.Run(t.Context())
	require.NoError(t, err)
	require.True(t, result.Complete)
	require.InDelta(t, 2, result.ByPeer, 0, "one daemon accepted the revision, the others have it from it")
}
