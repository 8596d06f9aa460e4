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

// Workspaces of every sheet that the harness writes; WorkspaceKey returns their API keys.
var workspaces = []string{"large", "small"}

// WorkspaceKey returns the API key of a workspace of the harness's sheets.
func WorkspaceKey(name string) string { return "key-" + name }

// Sheet returns a sheet with the deployment's model and service. Rows are added to it as they are.
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

// Apply applies a sheet at daemon i and waits until the daemons that run have its revision.
func (d *Deployment) Apply(t testing.TB, i int, sheet string) uint64 {
	t.Helper()
	revision := d.Post(t, i, sheet)
	for n := range d.daemons {
		d.AwaitRevision(t, n, revision, 30*time.Second)
	}
	return revision
}

// Post applies a sheet at daemon i and returns the accepted revision.
func (d *Deployment) Post(t testing.TB, i int, sheet string) uint64 {
	t.Helper()
	status, body := d.Operate(t, i, http.MethodPost, "/operator/apply", sheet)
	require.Equalf(t, http.StatusOK, status, "%s", body)
	var applied struct {
		Revision uint64 `json:"revision"`
	}
	require.NoError(t, json.Unmarshal(body, &applied))
	return applied.Revision
}

// AwaitRevision waits until daemon i has at least a revision, unless its process has ended.
func (d *Deployment) AwaitRevision(t testing.TB, i int, revision uint64, timeout time.Duration) {
	t.Helper()
	require.Eventuallyf(t, func() bool {
		return d.daemons[i].exited(0) || d.Revision(t, i) >= revision
	}, timeout, 20*time.Millisecond, "daemon %d lacks revision %d", i, revision)
}

// Revision returns the revision in force at daemon i.
func (d *Deployment) Revision(t testing.TB, i int) uint64 {
	t.Helper()
	status, body := d.Operate(t, i, http.MethodGet, "/operator/status", "")
	if status != http.StatusOK {
		return 0
	}
	var answer struct {
		Revision uint64 `json:"revision"`
	}
	require.NoError(t, json.Unmarshal(body, &answer))
	return answer.Revision
}
