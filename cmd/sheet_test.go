package cmd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/core/config"
	"radishhollow/io/operator"
	"radishhollow/io/settings"
)

func captureOutput(t *testing.T, run func([]string, *bytes.Buffer, *bytes.Buffer) int) (int, string, string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := run(nil, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func runSheet(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	return captureOutput(t, func(_ []string, stdout, stderr *bytes.Buffer) int { return RunSheet(args, stdout, stderr) })
}

func runSettings(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	return captureOutput(t, func(_ []string, stdout, stderr *bytes.Buffer) int { return RunSettings(args, stdout, stderr) })
}

// startEntry starts an entry that responds to apply with revision 4, and to status with one instance at each of the
// given revisions.
func startEntry(t *testing.T, revisions ...uint64) string {
	t.Helper()
	mux := http.NewServeMux()
	respond := func(w http.ResponseWriter, status int, body any) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
	mux.HandleFunc("POST /operator/plan", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, http.StatusOK, operator.Plan{Base: 3, Changes: []config.Change{{Kind: "place", Name: "p", New: "present"}}})
	})
	mux.HandleFunc("POST /operator/apply", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("base") == "9" {
			respond(w, http.StatusConflict, map[string]operator.Problem{"error": {Message: "revision 4 is in force", Code: "config-conflict",
				Difference: []config.Change{{Kind: "place", Name: "q", Old: "present"}}}})
			return
		}
		respond(w, http.StatusOK, operator.Applied{Revision: 4, Digest: "d"})
	})
	mux.HandleFunc("GET /operator/status", func(w http.ResponseWriter, _ *http.Request) {
		status := operator.Status{Revision: 4}
		for i, revision := range revisions {
			status.Instances = append(status.Instances, operator.Instance{Address: "127.0.0." + string(rune('1'+i)) + ":1", Revision: revision})
		}
		respond(w, http.StatusOK, status)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestExamplesAreValid(t *testing.T) {
	fencing := map[bool]bool{}
	for _, name := range []string{"association", "kjaergaard"} {
		code, stdout, stderr := runSheet(t, "check", "../examples/"+name+".csv")
		require.Equal(t, ExitOK, code, stderr)
		require.Equal(t, "sheet 1 is valid: 4 places, 1 services, 1 models, 10 workspaces\n", stdout)
		code, _, stderr = runSettings(t, "check", "../examples/"+name+".toml")
		require.Equal(t, ExitOK, code, stderr)
		data, err := os.ReadFile("../examples/" + name + ".csv")
		require.NoError(t, err)
		fields, _ := config.Parse(bytes.NewReader(data))
		for _, w := range fields.Workspaces {
			require.Equal(t, config.KeyDigest("example-key-"+w.Name), w.KeyDigest, w.Name)
		}
		fencing[fields.Models[0].Fencing] = true
		loaded, err := settings.Load("../examples/" + name + ".toml")
		require.NoError(t, err)
		require.Contains(t, fields.Places, loaded.Place)
	}
	require.Len(t, fencing, 2, "the examples must cover engines with and without fencing")
}

func TestSheetCommands(t *testing.T) {
	const sheet = "../examples/association.csv"
	faulty := filepath.Join(t.TempDir(), "faulty.csv")
	require.NoError(t, os.WriteFile(faulty, []byte("kind,name\nplaza,x\n"), 0o600))
	upToDate, lagging := startEntry(t, 4, 5), startEntry(t, 4, 3, 0)
	for _, test := range []struct {
		name           string
		args           []string
		code           int
		stdout, stderr string
	}{
		{"no command", nil, ExitUsage, "", "missing command"},
		{"help", []string{"apply", "--help"}, ExitOK, "--wait", ""},
		{"unknown flag", []string{"check", "--x"}, ExitUsage, "", "try --help"},
		{"no file", []string{"check", "none.csv"}, ExitFailed, "", "cannot be read"},
		{"faults", []string{"check", faulty}, ExitFailed, "", "row 2, column kind"},
		{"host name", []string{"status", "--entry", "localhost:1"}, ExitUsage, "", "IP:PORT"},
		{"no entry", []string{"status", "--entry", "127.0.0.1:1"}, ExitFailed, "", "try another entry"},
		{"plan", []string{"plan", sheet, "--entry", upToDate}, ExitOK, "--base 3", ""},
		{"status", []string{"status", "--entry", lagging}, ExitOK, "127.0.0.3:1", ""},
		{"apply", []string{"apply", sheet, "--entry", upToDate}, ExitOK, "127.0.0.2:1", ""},
		{"apply that does not reach all", []string{"apply", sheet, "--entry", lagging, "--wait", "300ms"}, ExitFailed,
			"127.0.0.2:1", "2 of 3 instances lack revision 4 after 300ms: 127.0.0.2:1, 127.0.0.3:1"},
		{"conflict", []string{"apply", sheet, "--entry", upToDate, "--base", "9"}, ExitFailed, "", "remove place q"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Setenv(operatorKeyEnv, "k")
			code, stdout, stderr := runSheet(t, test.args...)
			require.Equal(t, test.code, code, stderr)
			require.Contains(t, stdout, test.stdout)
			require.Contains(t, stderr, test.stderr)
			require.Equal(t, test.code != ExitOK, strings.Contains(stderr, "error: "))
		})
	}
}

func TestOperatorKeyIsNeeded(t *testing.T) {
	t.Setenv(operatorKeyEnv, "")
	code, _, stderr := runSheet(t, "status", "--entry", startEntry(t, 4))
	require.Equal(t, ExitUsage, code)
	require.Contains(t, stderr, operatorKeyEnv)
	path := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(path, []byte("k\n"), 0o600))
	code, _, stderr = runSheet(t, "status", "--entry", startEntry(t, 4), "--key-file", path)
	require.Equal(t, ExitOK, code, stderr)
}

func TestSettingsCommandNamesEveryFault(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(path, []byte("plaza = 1\n"), 0o600))
	code, _, stderr := runSettings(t, "check", path)
	require.Equal(t, ExitFailed, code)
	require.Contains(t, stderr, "plaza: unknown key\n")
	require.Contains(t, stderr, "listen: the address is missing")
	code, _, _ = runSettings(t)
	require.Equal(t, ExitUsage, code)
}
