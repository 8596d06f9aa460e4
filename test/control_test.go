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

// effectBound is the time within which a revision must be in force in every instance.
const effectBound = 5 * time.Second

// control returns a deployment without endpoints, for tests of daemons and platform only.
func control(daemons int) *harness.Deployment {
	d := harness.New()
	d.Daemons, d.Engines, d.Services = daemons, 0, 0
	return d
}

// apply posts a sheet at daemon i and returns the status and the answer's fields.
func apply(t *testing.T, d *harness.Deployment, i int, query, sheet string) (int, applyAnswer) {
	t.Helper()
	status, body := d.Operate(t, i, http.MethodPost, "/operator/apply"+query, sheet)
	var answer applyAnswer
	require.NoErrorf(t, json.Unmarshal(body, &answer), "%d %s", status, body)
	return status, answer
}

type applyAnswer struct {
	Revision       uint64 `json:"revision"`
	AlreadyInForce bool   `json:"already-in-force"`
	Error          struct {
		Code       string `json:"code"`
		Outcome    string `json:"outcome"`
		Current    uint64 `json:"current"`
		Difference []any  `json:"difference"`
	} `json:"error"`
}

// awaitEverywhere fails unless the daemons have a revision within the bound, counted from start.
func awaitEverywhere(t *testing.T, d *harness.Deployment, start time.Time, revision uint64, daemons ...int) {
	t.Helper()
	for _, i := range daemons {
		d.AwaitRevision(t, i, revision, max(effectBound-time.Since(start), time.Millisecond))
	}
	t.Logf("revision %d in force everywhere after %s", revision, time.Since(start).Round(10*time.Millisecond))
}

// neverBack fails the test where a daemon shows a lower revision than before.
func neverBack(t *testing.T, d *harness.Deployment, daemons int) {
	t.Helper()
	// The copy keeps the addresses of this moment while the test adds daemons.
	fixed := *d
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range daemons {
		group.Go(func() {
			last := uint64(0)
			for {
				// Revision is 0 where the daemon does not answer.
				if now := fixed.Revision(t, i); now > 0 && now < last {
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

// all returns the numbers of n daemons.
func all(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// rowOf returns the row of an address in the platform's instance list.
func rowOf(t *testing.T, d *harness.Deployment, address string) standin.Instance {
	t.Helper()
	var list struct{ Instances []standin.Instance }
	harness.Get(t, d.Platform(), "/instances", &list)
	at := slices.IndexFunc(list.Instances, func(row standin.Instance) bool { return row.Address == address })
	require.GreaterOrEqual(t, at, 0, "no row of %s", address)
	return list.Instances[at]
}
