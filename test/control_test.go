package test

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/standin"
	"radishhollow/test/harness"
)

// convergenceBound is the time within which a revision must be in force in every instance.
const convergenceBound = 5 * time.Second

// controlDeployment returns a deployment without endpoints, for tests of daemons and platform only.
func controlDeployment(daemons int) *harness.Deployment {
	d := harness.NewDeployment()
	d.Daemons, d.Engines, d.Services = daemons, 0, 0
	return d
}

// postSheet posts a sheet at daemon i and returns the status and the answer's fields.
func postSheet(t *testing.T, d *harness.Deployment, i int, query, sheet string) (int, applyResponse) {
	t.Helper()
	status, body := d.OperatorRequest(t, i, http.MethodPost, "/operator/apply"+query, sheet)
	var response applyResponse
	require.NoErrorf(t, json.Unmarshal(body, &response), "%d %s", status, body)
	return status, response
}

type applyResponse struct {
	Revision       uint64 `json:"revision"`
	AlreadyInForce bool   `json:"already-in-force"`
	Error          struct {
		Code       string `json:"code"`
		Outcome    string `json:"outcome"`
		Current    uint64 `json:"current"`
		Difference []any  `json:"difference"`
	} `json:"error"`
}

// awaitRevision fails unless the daemons have a revision within the bound, counted from start.
func awaitRevision(t *testing.T, d *harness.Deployment, since time.Time, revision uint64, daemons ...int) {
	t.Helper()
	for _, i := range daemons {
		d.AwaitRevision(t, i, revision, max(convergenceBound-time.Since(since), time.Millisecond))
	}
	t.Logf("revision %d in force everywhere after %s", revision, time.Since(since).Round(10*time.Millisecond))
}

// requireMonotonicRevisions fails the test where a daemon shows a lower revision than before.
func requireMonotonicRevisions(t *testing.T, d *harness.Deployment, daemons int) {
	t.Helper()
	// The copy keeps the addresses of this moment while the test adds daemons.
	snapshot := *d
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range daemons {
		group.Go(func() {
			last := uint64(0)
			for {
				// Revision is 0 where the daemon does not answer.
				if now := snapshot.Revision(t, i); now > 0 && now < last {
					t.Errorf("daemon %d went back from revision %d to %d", i, last, now)
				} else {
					last = max(last, now)
				}
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
			}
		})
	}
	t.Cleanup(func() {
		close(stop)
		group.Wait()
	})
}

// indexes returns the numbers of n daemons.
func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// instanceRow returns the row of an address in the platform's instance list.
func instanceRow(t *testing.T, d *harness.Deployment, address string) standin.Instance {
	t.Helper()
	var list struct{ Instances []standin.Instance }
	harness.GetJSON(t, d.Platform(), "/instances", &list)
	index := slices.IndexFunc(list.Instances, func(row standin.Instance) bool { return row.Address == address })
	require.GreaterOrEqual(t, index, 0, "no row of %s", address)
	return list.Instances[index]
}
