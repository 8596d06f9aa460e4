package harness

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// ReplaceEngine kills engine i and starts a new incarnation at its address. The arguments follow those that name the
// platform, the place and the address, so that without a --model the new engine is empty.
func (d *Deployment) ReplaceEngine(t testing.TB, i int, args ...string) *Process {
	t.Helper()
	address := d.engines[i].Address()
	d.engines[i].Kill()
	all := append(d.standinArgs("engine", d.modelName(), i), "--listen", address)
	d.engines[i] = Start(t, d.Binary, append(append(all, d.EngineArgs...), args...)...)
	return d.engines[i]
}

// RestartDaemon starts daemon i again with its settings, after its process has ended.
func (d *Deployment) RestartDaemon(t testing.TB, i int) {
	t.Helper()
	d.daemons[i] = Start(t, d.Binary, "serve", "--settings", WriteSettings(t, d.settings[i]))
}

// Ready tells whether the readiness check of daemon i succeeds.
func (d *Deployment) Ready(t testing.TB, i int) bool {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+d.settings[i].Listen+"/readyz", http.NoBody)
	require.NoError(t, err)
	resp, err := (&http.Client{Timeout: readyCheckTimeout}).Do(req)
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// SheetCommand runs a sheet command of the binary against daemon i and returns its exit code and output.
func (d *Deployment) SheetCommand(t testing.TB, i int, command, sheet string, args ...string) (code int, output string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "sheet.csv")
	require.NoError(t, os.WriteFile(path, []byte(sheet), 0o600))
	all := append([]string{"sheet", command, path, "--entry", d.settings[i].Operator}, args...)
	run := exec.CommandContext(context.WithoutCancel(t.Context()), d.Binary, all...)
	run.Env = append(os.Environ(), "RADISHHOLLOW_OPERATOR_KEY="+OperatorKey)
	var buffer bytes.Buffer
	run.Stdout, run.Stderr = &buffer, &buffer
	if err := run.Run(); err != nil {
		var exit *exec.ExitError
		require.ErrorAs(t, err, &exit)
	}
	return run.ProcessState.ExitCode(), buffer.String()
}

// RemoveAddress removes the row of an address from the platform's instance list.
func (d *Deployment) RemoveAddress(t testing.TB, address string) {
	t.Helper()
	call(t, http.MethodDelete, "http://"+d.platform.Address()+"/instances?address="+address, nil, nil)
}
