package test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/platform"
	"radishhollow/test/harness"
)

// Guards against revisions that do not reach all daemons while the platform is unavailable, against a daemon that keeps
// an old revision after a pause, and against a daemon that cannot start without the platform.
func TestRevisionsSpreadWithoutPlatform(t *testing.T) {
	parallel(t)
	d := controlDeployment(5)
	d.Services = 1
	startDeployment(t, d)
	requireMonotonicRevisions(t, d, 5)

	d.Daemon(4).Pause(t)
	began := time.Now()
	revision := d.PostSheet(t, 0, d.Sheet(2))
	harness.SetFaults(t, d.Platform(), platform.Faults{Down: true})
	awaitRevision(t, d, began, revision, 0, 1, 2, 3)

	status, response := postSheet(t, d, 1, "", d.Sheet(3))
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "not-run", response.Error.Outcome)

	d.AdjustSettings = func(_ int, s *harness.Settings) { s.Peers = []string{d.Settings(0).Peer} }
	began = time.Now()
	d.AddDaemon(t)
	awaitRevision(t, d, began, revision, 5)
	d.AwaitReady(t, 5)
	resp, _, err := d.CallService(t, 5, http.MethodGet, "/registry/drums", "", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, "a ready daemon does not know the endpoints")

	harness.SetFaults(t, d.Platform(), platform.Faults{})
	for number := 3; number <= 4; number++ {
		began = time.Now()
		revision = d.PostSheet(t, number-3, d.Sheet(number))
		awaitRevision(t, d, began, revision, 0, 1, 2, 3, 5)
	}
	require.EqualValues(t, 4, revision)
	began = time.Now()
	d.Daemon(4).Continue()
	awaitRevision(t, d, began, revision, 4)
}

// Guards against a daemon that cannot reach the platform and does not receive revisions from its peers, and against an
// isolated daemon that stays ready with an old configuration.
func TestDaemonWithoutPlatform(t *testing.T) {
	parallel(t)
	d := controlDeployment(3)
	links := make([]*harness.Link, 3)
	d.AdjustSettings = func(i int, s *harness.Settings) {
		links[i] = harness.NewLink(t, s.Platform)
		s.Platform = links[i].Address()
		s.Timeouts["isolation"] = "1500ms"
	}
	startDeployment(t, d)
	requireMonotonicRevisions(t, d, 3)
	links[2].Cut()
	began := time.Now()
	awaitRevision(t, d, began, d.PostSheet(t, 0, d.Sheet(2)), indexes(3)...)
	require.Never(t, func() bool { return !d.IsReady(t, 2) }, 2*time.Second, 100*time.Millisecond,
		"not ready although peers are reachable")

	d.Daemon(0).Pause(t)
	d.Daemon(1).Pause(t)
	require.Eventually(t, func() bool { return !d.IsReady(t, 2) }, convergenceBound, 50*time.Millisecond, "ready although isolated")
	d.Daemon(0).Continue()
	d.Daemon(1).Continue()
	d.AwaitReady(t, 2)
}
