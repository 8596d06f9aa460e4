package test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/platform"
	"radishhollow/test/harness"
)

// restorePlatform brings the platform back from its last copy, after an outage.
func restorePlatform(t *testing.T, d *harness.Deployment) {
	t.Helper()
	harness.SetFaults(t, d.Platform(), platform.Faults{Down: true})
	time.Sleep(500 * time.Millisecond)
	harness.PostJSON(t, d.Platform(), "/restore", nil)
	harness.SetFaults(t, d.Platform(), platform.Faults{})
}

// Guards against a booking that runs a second time because the platform has come back from an older copy without the
// booking's record.
func TestBookingLostByARestoredPlatform(t *testing.T) {
	parallel(t)
	d := harness.NewDeployment()
	d.Engines, d.Daemons = 1, 2
	startDeployment(t, d)
	serviceCall{key: "kept"}.sendTo(t, d, 0).requireOutcome(t, "ran")
	harness.PostJSON(t, d.Platform(), "/copy", nil)
	first := serviceCall{key: "lost"}.sendTo(t, d, 0)
	first.requireOutcome(t, "ran")
	restorePlatform(t, d)
	require.Eventually(t, func() bool {
		again := serviceCall{key: "lost"}.sendTo(t, d, 1)
		require.Equal(t, 1, d.Runs(t, "lost"))
		return again.status == first.status
	}, 40*time.Second, 200*time.Millisecond, "the first response is not replayed")
	require.Equal(t, first, serviceCall{key: "lost"}.sendTo(t, d, 1))
	serviceCall{key: "kept"}.sendTo(t, d, 1).requireOutcome(t, "ran")
	require.Equal(t, 1, d.Runs(t, "kept"))
	serviceCall{key: "new"}.sendTo(t, d, 1).requireOutcome(t, "ran")
	require.Equal(t, 1, d.Runs(t, "new"))
}

// Guards against a configuration that goes back, or that no longer changes, after the platform has come back from an
// older copy, also if that happens again within seconds.
func TestRevisionsAfterARestoredPlatform(t *testing.T) {
	parallel(t)
	d := controlDeployment(3)
	startDeployment(t, d)
	requireMonotonicRevisions(t, d, 3)
	harness.PostJSON(t, d.Platform(), "/copy", nil)
	for number := 2; number <= 4; number++ {
		began := time.Now()
		revision := d.PostSheet(t, number%3, d.Sheet(number))
		require.EqualValues(t, number, revision)
		awaitRevision(t, d, began, revision, indexes(3)...)
		restorePlatform(t, d)
	}
}
