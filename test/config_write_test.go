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
	"radishhollow/io/keyvalue"
	standin "radishhollow/standin/platform"
	"radishhollow/test/harness"
)

// Guards against two operators who both believe that their sheet is in force, and against a lost answer that turns an
// accepted sheet into an error or is applied twice.
func TestOperatorsRace(t *testing.T) {
	parallel(t)
	d := control(2)
	start(t, d)
	neverBack(t, d, 2)
	base := uint64(1)
	for number := 2; number <= 5; number++ {
		// The delay makes the reads of both writers precede both writes.
		harness.SetFaults(t, d.Platform(), standin.Faults{DelayMS: 30})
		var group sync.WaitGroup
		var statuses [2]int
		var answers [2]applyAnswer
		for i := range 2 {
			sheet := d.Sheet(number, "place,site-"+strconv.Itoa(i)+strconv.Itoa(number)+",,,,,,,,,,,,,")
			group.Go(func() {
				statuses[i], answers[i] = apply(t, d, i, "?base="+strconv.FormatUint(base, 10), sheet)
			})
		}
		group.Wait()
		require.ElementsMatch(t, []int{http.StatusOK, http.StatusConflict}, statuses[:], "%+v", answers)
		loser := 0
		if statuses[0] == http.StatusOK {
			loser = 1
		}
		base = answers[1-loser].Revision
		require.Equal(t, "config-conflict", answers[loser].Error.Code)
		require.Equal(t, base, answers[loser].Error.Current)
		require.Len(t, answers[loser].Error.Difference, 2)
		awaitEverywhere(t, d, time.Now(), base, 0, 1)
	}
	require.EqualValues(t, 5, base)

	harness.SetFaults(t, d.Platform(), standin.Faults{LoseAnswers: 1})
	for i := 0; i < 2; i++ {
		status, answer := apply(t, d, i, "", d.Sheet(6))
		require.Equal(t, http.StatusOK, status)
		require.EqualValues(t, 6, answer.Revision)
		require.Equal(t, i == 1, answer.AlreadyInForce)
	}
}

// Guards against an old sheet, and an old state of the platform, that take the place of the revision in force.
func TestOldStateIsRefused(t *testing.T) {
	parallel(t)
	d := control(2)
	d.Adjust = func(_ int, s *harness.Settings) { s.Timeouts["config-poll"] = "200ms" }
	start(t, d)
	neverBack(t, d, 2)
	client := &keyvalue.Client{Address: d.Platform().Address(), HTTP: keyvalue.NewHTTPClient()}
	store := client.Store()
	old, err := store.Get(t.Context(), config.Key)
	require.NoError(t, err)
	d.Apply(t, 0, d.Sheet(2))

	status, answer := apply(t, d, 1, "", d.Sheet(1))
	require.Equal(t, http.StatusConflict, status)
	require.Equal(t, "stale-sheet", answer.Error.Code)

	time.Sleep(200 * time.Millisecond) // The samples show revision 2 before the platform goes back.
	now, err := store.Get(t.Context(), config.Key)
	require.NoError(t, err)
	_, err = store.Put(t.Context(), config.Key, old.Value(), now.Revision(), "")
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		return d.Metric(t, 0, `radishhollow_revisions_total{class="older"}`) > 0 &&
			d.Metric(t, 1, `radishhollow_revisions_total{class="older"}`) > 0
	}, effectBound, 50*time.Millisecond, "the old state is not seen")
	require.EqualValues(t, 2, d.Revision(t, 0))
	status, answer = apply(t, d, 1, "", d.Sheet(1))
	require.Equal(t, http.StatusConflict, status, "%+v", answer)

	// Watches that are frozen must not keep a revision from the other daemon.
	harness.SetFaults(t, d.Platform(), standin.Faults{FreezeState: true})
	began := time.Now()
	revision := d.Post(t, 1, d.Sheet(3))
	require.EqualValues(t, 3, revision)
	awaitEverywhere(t, d, began, revision, 0, 1)
}

// Guards against an apply that reports success while an instance lacks the revision.
func TestApplyNamesTheInstancesThatLack(t *testing.T) {
	parallel(t)
	d := control(3)
	start(t, d)
	known := func() bool {
		_, body := d.Operate(t, 0, http.MethodGet, "/operator/status", "")
		var status struct{ Instances []json.RawMessage }
		return json.Unmarshal(body, &status) == nil && len(status.Instances) == 3
	}
	require.Eventually(t, known, effectBound, 20*time.Millisecond)
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
