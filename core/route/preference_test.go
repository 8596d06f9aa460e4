package route_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/core/route"
)

// Guards against a resume-preference without effect on picks: with less headroom, new work may use more slots of an
// endpoint.
func TestPreferenceChangesHeadroom(t *testing.T) {
	criteria := route.Criteria{Kind: route.KindModel, Name: "m"}
	tab := table(1, nil)
	cost, latency := route.ResumePreferenceFor("cost"), route.ResumePreferenceFor("latency")
	require.Less(t, cost.Headroom, latency.Headroom)
	tab.SetResumePreference(latency)
	tab.Update(report(0, 2, 9))
	require.Equal(t, route.ReasonHeadroom, pickFailure(t, tab, criteria))
	tab.SetResumePreference(cost)
	_, err := tab.Pick(t.Context(), criteria)
	require.NoError(t, err)
}
