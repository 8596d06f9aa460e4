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

// convergenceBound is the time within which a revision or a change of the instance list must take effect everywhere.
const convergenceBound = 5 * time.Second

// controlDeployment returns a deployment without endpoints, for tests of the daemons and the platform only.
func controlDeployment(daemons int) *harness.Deployment {
	d := harness.NewDeployment()
	d.Daemons, d.Engines, d.Services = daemons, 0, 0
	return d
}

// postSheet applies a sheet at daemon i and returns the status code and the decoded response.
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

// awaitRevision waits until the daemons have a revision. It fails the test if that takes longer than convergenceBound,
// counted from since.
func awaitRevision(t *testing.T, d *harness.Deployment, since time.Time, revision uint64, daemons ...int) {
	t.Helper()
	for _, i := range daemons {
		d.AwaitRevision(t, i, revision, max(convergenceBound-time.Since(since), time.Millisecond))
	}
	t.Logf("all daemons have revision %d after %s", revision, time.Since(since).Round(10*time.Millisecond))
}

// requireMonotonicRevisions polls the given number of daemons until the test ends, and fails the test if the revision
// of one decreases.
func requireMonotonicRevisions(t *testing.T, d *harness.Deployment, daemons int) {
	t.Helper()
	// The copy keeps the current addresses, because the test may add daemons concurrently.
	snapshot := *d
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range daemons {
		group.Go(func() {
			last := uint64(0)
			for {
				// Revision is 0 if the daemon does not respond.
				if now := snapshot.Revision(t, i); now > 0 && now < last {
					t.Errorf("the revision of daemon %d decreased from %d to %d", i, last, now)
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

// indexes returns the indexes of n daemons.
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
	require.GreaterOrEqual(t, index, 0, "no row for %s", address)
	return list.Instances[index]
}
