package share_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/core/share"
)

// Guards against parts that exceed the slots in sum, and against a workspace that loses its part because its requests
// arrive at one daemon.
func TestDivide(t *testing.T) {
	// The first workspace asks for too much at one of two daemons, the second evenly, and the third for little.
	at := func(daemon int) map[string]share.Demand {
		return map[string]share.Demand{
			"large": {Share: 2, Local: []float64{200, 0}[daemon], Total: 200},
			"even":  {Share: 2, Local: 100, Total: 200},
			"small": {Share: 1, Local: 5, Total: 10},
		}
	}
	first, second := share.Divide(100, 2, at(0)), share.Divide(100, 2, at(1))
	require.InDelta(t, 100, first.Capacity+second.Capacity, 1e-6)
	require.InDelta(t, 45+22.5+5, first.Capacity, 1e-6)
	require.InDelta(t, 22.5+5, second.Capacity, 1e-6)
	require.InDelta(t, 1, second.Shares["large"], 1e-6)
	require.InDelta(t, 2, first.Shares["large"]/first.Shares["even"], 1e-6)
}

// Guards against slots that no daemon may use while nobody asks for much.
func TestDivideIdle(t *testing.T) {
	idle := share.Divide(100, 4, map[string]share.Demand{"a": {Share: 1}})
	require.InDelta(t, 25, idle.Capacity, 1e-6)
	light := share.Divide(100, 2, map[string]share.Demand{"a": {Share: 1, Local: 10, Total: 10}})
	require.InDelta(t, 55, light.Capacity, 1e-6)
}

// BenchmarkDivide measures a division between the workspaces of the planned size under overload.
func BenchmarkDivide(b *testing.B) {
	demands := make(map[string]share.Demand, 760)
	for i := range 760 {
		demands[fmt.Sprint("workspace-", i)] = share.Demand{Share: float64(1 + i%5), Local: float64(i % 7), Total: float64(i % 97)}
	}
	for b.Loop() {
		share.Divide(20_000, 440, demands)
	}
}
