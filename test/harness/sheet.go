package harness

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/config"
)

// workspaces are the names of the workspaces in every sheet of the harness.
var workspaces = []string{"large", "small"}

// WorkspaceKey returns the API key of a workspace in the sheets of the harness.
func WorkspaceKey(name string) string { return "key-" + name }

// Sheet returns a sheet with the given sheet number and the deployment's model, service and places. The rows are
// appended unchanged. Model must not name an adapter when Sheet is called; an adapter needs a row of its own.
func (d *Deployment) Sheet(number int, rows ...string) string {
	model, version, _ := strings.Cut(d.Model, "@")
	lines := []string{
		"kind,name,of,version,place,share,priority,requests-per-second,tokens-per-second,concurrency,key-digest," +
			"idempotent,refusal,fencing,value",
		fmt.Sprintf("setting,sheet-number,,,,,,,,,,,,,%d", number),
		fmt.Sprintf("model,%s,,%s,,,,,,,,,,yes,", model, version),
		fmt.Sprintf("service,%s,,,,,,,,,,,yes,,", d.Service),
		fmt.Sprintf("call,GET /registry/*,%s,,,,,,,,,yes,,,", d.Service),
	}
	for _, place := range d.Places {
		lines = append(lines, fmt.Sprintf("place,%s,,,,,,,,,,,,,", place))
	}
	for _, name := range workspaces {
		lines = append(lines, fmt.Sprintf("workspace,%s,,,,1,5,,,,%s,,,,", name, config.KeyDigest(WorkspaceKey(name))))
	}
	return strings.Join(append(lines, rows...), "\n") + "\n"
}

// ApplySheet applies a sheet at daemon i and waits until all running daemons have its revision, which it returns.
func (d *Deployment) ApplySheet(t testing.TB, i int, sheet string) uint64 {
	t.Helper()
	revision := d.PostSheet(t, i, sheet)
	for n := range d.daemons {
		d.AwaitRevision(t, n, revision, 30*time.Second)
	}
	return revision
}

// PostSheet applies a sheet at daemon i and returns the accepted revision.
func (d *Deployment) PostSheet(t testing.TB, i int, sheet string) uint64 {
	t.Helper()
	status, body := d.OperatorRequest(t, i, http.MethodPost, "/operator/apply", sheet)
	require.Equalf(t, http.StatusOK, status, "%s", body)
	var applied struct {
		Revision uint64 `json:"revision"`
	}
	require.NoError(t, json.Unmarshal(body, &applied))
	return applied.Revision
}

// AwaitRevision waits until daemon i has the given revision or a later one, or its process has exited.
func (d *Deployment) AwaitRevision(t testing.TB, i int, revision uint64, timeout time.Duration) {
	t.Helper()
	require.Eventuallyf(t, func() bool {
		return d.daemons[i].exitedWithin(0) || d.Revision(t, i) >= revision
	}, timeout, 20*time.Millisecond, "daemon %d does not have revision %d", i, revision)
}

// Revision returns the revision in force at daemon i, or 0 if the daemon does not respond.
func (d *Deployment) Revision(t testing.TB, i int) uint64 {
	t.Helper()
	status, body := d.OperatorRequest(t, i, http.MethodGet, "/operator/status", "")
	if status != http.StatusOK {
		return 0
	}
	var response struct {
		Revision uint64 `json:"revision"`
	}
	require.NoError(t, json.Unmarshal(body, &response))
	return response.Revision
}
