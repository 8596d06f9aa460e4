package test

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/config"
	"radishhollow/core/kv"
	"radishhollow/io/keyvalue"
	"radishhollow/standin/platform"
	"radishhollow/test/harness"
)

// Guards against two operators who concurrently apply different sheets and both succeed, and against a lost response
// after which an accepted sheet is reported as failed or is applied twice.
func TestOperatorsRace(t *testing.T) {
	parallel(t)
	d := controlDeployment(2)
	startDeployment(t, d)
	requireMonotonicRevisions(t, d, 2)
	base := uint64(1)
	for number := 2; number <= 5; number++ {
		// The delay makes both writers read the revision before either of them writes.
		harness.SetFaults(t, d.Platform(), platform.Faults{DelayMS: 30})
		var group sync.WaitGroup
		var statuses [2]int
		var responses [2]applyResponse
		for i := range 2 {
			// The sheets of the two operators differ in this row.
			sheet := d.Sheet(number, "place,site-"+strconv.Itoa(i)+strconv.Itoa(number)+",,,,,,,,,,,,,")
			group.Go(func() {
				statuses[i], responses[i] = postSheet(t, d, i, "?base="+strconv.FormatUint(base, 10), sheet)
			})
		}
		group.Wait()
		require.ElementsMatch(t, []int{http.StatusOK, http.StatusConflict}, statuses[:], "%+v", responses)
		rejected := 0
		if statuses[0] == http.StatusOK {
			rejected = 1
		}
		base = responses[1-rejected].Revision
		require.Equal(t, "config-conflict", responses[rejected].Error.Code)
		require.Equal(t, base, responses[rejected].Error.Current)
		require.Len(t, responses[rejected].Error.Difference, 2)
		awaitRevision(t, d, time.Now(), base, 0, 1)
	}
	require.EqualValues(t, 5, base)

	harness.SetFaults(t, d.Platform(), platform.Faults{LoseResponses: 1})
	for i := 0; i < 2; i++ {
		status, response := postSheet(t, d, i, "", d.Sheet(6))
		require.Equal(t, http.StatusOK, status)
		require.EqualValues(t, 6, response.Revision)
		require.Equal(t, i == 1, response.AlreadyInForce)
	}
}

// Guards against an old sheet, or an old state of the platform, that replaces the revision in force.
func TestOldStateIsRefused(t *testing.T) {
	parallel(t)
	d := controlDeployment(2)
	d.AdjustSettings = func(_ int, s *harness.Settings) { s.Timeouts["config-poll"] = "200ms" }
	startDeployment(t, d)
	requireMonotonicRevisions(t, d, 2)
	client := &keyvalue.Client{Address: d.Platform().Address(), HTTP: keyvalue.NewHTTPClient()}
	store := client.Store()
	old, err := store.Get(t.Context(), config.Key)
	require.NoError(t, err)
	d.ApplySheet(t, 0, d.Sheet(2))

	status, response := postSheet(t, d, 1, "", d.Sheet(1))
	require.Equal(t, http.StatusConflict, status)
	require.Equal(t, "stale-sheet", response.Error.Code)

	time.Sleep(200 * time.Millisecond) // requireMonotonicRevisions must see revision 2 before the old state is restored.
	now, err := store.Get(t.Context(), config.Key)
	require.NoError(t, err)
	_, err = store.Put(t.Context(), config.Key, old.Value(), now.Revision(), kv.Lease{})
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		return d.Metric(t, 0, `radishhollow_revisions_total{class="older"}`) > 0 &&
			d.Metric(t, 1, `radishhollow_revisions_total{class="older"}`) > 0
	}, convergenceBound, 50*time.Millisecond, "the daemons have not read the old state")
	require.EqualValues(t, 2, d.Revision(t, 0))
	status, response = postSheet(t, d, 1, "", d.Sheet(1))
	require.Equal(t, http.StatusConflict, status, "%+v", response)

	// Watches that return no changes must not prevent the other daemon from receiving a revision.
	harness.SetFaults(t, d.Platform(), platform.Faults{FreezeState: true})
	began := time.Now()
	revision := d.PostSheet(t, 1, d.Sheet(3))
	require.EqualValues(t, 3, revision)
	awaitRevision(t, d, began, revision, 0, 1)
}

// Guards against an apply command that reports success although an instance does not have the revision.
func TestApplyNamesTheInstancesThatLack(t *testing.T) {
	parallel(t)
	d := controlDeployment(3)
	startDeployment(t, d)
	known := func() bool {
		_, body := d.OperatorRequest(t, 0, http.MethodGet, "/operator/status", "")
		var status struct{ Instances []json.RawMessage }
		return json.Unmarshal(body, &status) == nil && len(status.Instances) == 3
	}
	require.Eventually(t, known, convergenceBound, 20*time.Millisecond)
	code, output := d.SheetCommand(t, 0, "apply", d.Sheet(2))
	require.Zero(t, code, output)
	d.Daemon(2).Pause(t)
	code, output = d.SheetCommand(t, 0, "apply", d.Sheet(3), "--wait", "1500ms")
	require.Equal(t, 1, code, output)
	require.Contains(t, output, "1 of 3 instances lack revision 3 after 1.5s: "+d.Settings(2).Peer+";")
	d.Daemon(2).Continue()
	code, output = d.SheetCommand(t, 1, "apply", d.Sheet(3))
	require.Zero(t, code, output)
	require.Contains(t, output, "revision 3 already in force")
}
