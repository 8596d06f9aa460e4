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

// ReplaceEngine kills engine i and starts a new incarnation at the same address. The arguments are appended to those
// for the platform, place and address and to EngineArgs. Without a --model argument the new engine has no model loaded.
func (d *Deployment) ReplaceEngine(t testing.TB, i int, args ...string) *Process {
	t.Helper()
	address := d.engines[i].Address()
	d.engines[i].Kill()
	processArgs := append(d.standinArgs("engine", d.modelName(), i), "--listen", address)
	d.engines[i] = StartProcess(t, d.Binary, append(append(processArgs, d.EngineArgs...), args...)...)
	return d.engines[i]
}

// RestartDaemon starts daemon i again with the same settings after its process has exited.
func (d *Deployment) RestartDaemon(t testing.TB, i int) {
	t.Helper()
	d.daemons[i] = StartProcess(t, d.Binary, "serve", "--settings", WriteSettings(t, d.settings[i]))
}

// IsReady reports whether the readiness check of daemon i succeeds.
func (d *Deployment) IsReady(t testing.TB, i int) bool {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+d.settings[i].Listen+"/readyz", http.NoBody)
	require.NoError(t, err)
	resp, err := (&http.Client{Timeout: readyCheckTimeout}).Do(req)
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// SheetCommand writes the sheet to a file, runs a sheet subcommand such as "apply" on it against daemon i, and returns
// the exit code and the output.
func (d *Deployment) SheetCommand(t testing.TB, i int, command, sheet string, args ...string) (code int, output string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "sheet.csv")
	require.NoError(t, os.WriteFile(path, []byte(sheet), 0o600))
	processArgs := append([]string{"sheet", command, path, "--entry", d.settings[i].Operator}, args...)
	process := exec.CommandContext(context.WithoutCancel(t.Context()), d.Binary, processArgs...)
	process.Env = append(os.Environ(), "RADISHHOLLOW_OPERATOR_KEY="+OperatorKey)
	var buffer bytes.Buffer
	process.Stdout, process.Stderr = &buffer, &buffer
	if err := process.Run(); err != nil {
		var exit *exec.ExitError
		require.ErrorAs(t, err, &exit)
	}
	return process.ProcessState.ExitCode(), buffer.String()
}

// RemoveAddress removes the row of an address from the platform's instance list.
func (d *Deployment) RemoveAddress(t testing.TB, address string) {
	t.Helper()
	doJSON(t, http.MethodDelete, "http://"+d.platform.Address()+"/instances?address="+address, nil, nil)
}
