package route_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/core/route"
)

// Guards against new work on engines with an older version, which would delay the end of their streams, and against
// refusing work when the engines with the wanted version are full.
func TestPickPrefersWantedSpec(t *testing.T) {
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
	criteria := route.Criteria{Kind: route.KindModel, Name: "m", PreferredSpec: "m@2"}
	picked := map[string]int{}
	for range 12 {
		choice, err := table.Pick(t.Context(), criteria)
		require.NoError(t, err)
		picked[choice.Address()]++
	}
	require.Equal(t, map[string]int{"127.0.0.1:1": 3, "127.0.0.1:2": 9}, picked)
	criteria.Spec = "m@1"
	choice, err := table.Pick(t.Context(), criteria)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:1", choice.Address(), "a resume requires the version that it started with")
}
