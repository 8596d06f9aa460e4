package route_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/core/route"
)

// Guards against new work that keeps engines with an older version from finishing their streams, and against refused
// work where the engines with the wanted version are full.
func TestPickPrefersWantedVersion(t *testing.T) {
	table := route.New("daemon", route.DefaultPolicy())
	var list []route.Listing
	for _, address := range []string{"127.0.0.1:1", "127.0.0.1:2"} {
		list = append(list, route.Listing{Address: address, Incarnation: "i", Place: "p", Kind: route.KindModel, Name: "m"})
	}
	table.Sync(list)
	for i, spec := range []string{"m@1", "m@2"} {
		table.Update(route.Report{
			Address: list[i].Address, Incarnation: "i", State: route.StateReady, Sequence: 1, Slots: 10, Specs: []string{spec},
		})
	}
	need := route.Criteria{Kind: route.KindModel, Name: "m", PreferredSpec: "m@2"}
	picked := map[string]int{}
	for range 12 {
		choice, err := table.Pick(t.Context(), need)
		require.NoError(t, err)
		picked[choice.Address()]++
	}
	require.Equal(t, map[string]int{"127.0.0.1:1": 3, "127.0.0.1:2": 9}, picked)
	need.Spec = "m@1"
	choice, err := table.Pick(t.Context(), need)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:1", choice.Address(), "a resume needs its own version")
}
