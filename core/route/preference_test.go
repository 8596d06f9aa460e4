package route_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/core/route"
)

// Guards against a preference that does not reach the choice: with less headroom, new work may fill more of an endpoint.
func TestPreferenceChangesHeadroom(t *testing.T) {
	need := route.Criteria{Kind: route.KindModel, Name: "m"}
	tab := table(1, nil)
	cost, latency := route.ResumePreferenceFor("cost"), route.ResumePreferenceFor("latency")
	require.Less(t, cost.Headroom, latency.Headroom)
	tab.SetResumePreference(latency)
	tab.Update(report(0, 2, 9))
	require.Equal(t, route.ReasonHeadroom, reasonOf(t, tab, need))
	tab.SetResumePreference(cost)
	_, err := tab.Pick(t.Context(), need)
	require.NoError(t, err)
}
