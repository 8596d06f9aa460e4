package harness_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/cmd"
	"radishhollow/standin"
	"radishhollow/standin/engine"
	"radishhollow/test/harness"
)

// TestMain lets the test binary run as a stand-in, so that the tests that start no daemon need no build.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "standin" {
		os.Exit(cmd.RunStandin(os.Args[2:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func deploy(t *testing.T) *harness.Deployment {
	d := harness.NewDeployment()
	d.Binary, d.Daemons = os.Args[0], 0
	d.Start(t)
	return d
}

// Guards against stand-ins that do not register, and against signals that are sent to the wrong process.
func TestDeployment(t *testing.T) {
	d := deploy(t)
	var list struct{ Instances []standin.Instance }
	harness.GetJSON(t, d.Platform(), "/instances", &list)
	require.Len(t, list.Instances, 6)
	require.Equal(t, standin.Instance{
		Address: d.Engine(1).Address(), Incarnation: list.Instances[1].Incarnation,
		Place: "bagaces", Kind: "model", Name: "briefing", State: "live",
	}, list.Instances[1])

	var stats engine.Stats
	client := http.Client{Timeout: 200 * time.Millisecond}
	d.Engine(0).Pause(t)
	_, err := client.Get("http://" + d.Engine(0).Address() + "/stats")
	require.Error(t, err)
	d.Engine(0).Continue()
	harness.GetJSON(t, d.Engine(0), "/stats", &stats)
	d.Engine(1).Kill()
	require.Equal(t, -1, d.Engine(1).Wait(t, time.Second))
	d.ServiceRunner(0).Terminate()
	require.Zero(t, d.ServiceRunner(0).Wait(t, 10*time.Second))
	harness.SetFaults(t, d.Engine(2), map[string]any{"die": true})
	require.Zero(t, d.Engine(2).Wait(t, 10*time.Second))
	harness.GetJSON(t, d.Engine(3), "/stats", &stats)
	d.RemoveInstance(t, d.Engine(1))
	harness.GetJSON(t, d.Platform(), "/instances", &list)
	require.Len(t, list.Instances, 5)
}

// Guards against child processes that still exist after their test, including paused ones.
func TestCleanup(t *testing.T) {
	var pids []int
	t.Run("deployment", func(t *testing.T) {
		d := deploy(t)
		d.Engine(0).Pause(t)
		pids = append(pids, d.Platform().PID(), d.Engine(0).PID(), d.ServiceRunner(1).PID())
	})
	for _, pid := range pids {
		require.ErrorIs(t, syscall.Kill(pid, 0), syscall.ESRCH)
	}
}

// Guards against stand-ins that start although the command line lacks the kind of stand-in, or the version of a model
// or adapter.
func TestArguments(t *testing.T) {
	for _, args := range [][]string{{}, {"engine", "--model", "briefing"}, {"engine", "--model", "briefing@1+a"}} {
		var stderr bytes.Buffer
		require.NotZero(t, cmd.RunStandin(args, io.Discard, &stderr))
		require.NotEmpty(t, stderr.String())
	}
}

// Guards against network faults that have no effect, and against faults that remain after Restore.
func TestProxy(t *testing.T) {
	upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer upstream.Close()
	link := harness.NewLink(t, upstream.Listener.Addr().String())
	get := func() (time.Duration, error) {
		client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
		began := time.Now()
		resp, err := client.Get("http://" + link.Address())
		if err == nil {
			err = resp.Body.Close()
		}
		return time.Since(began), err
	}
	_, err := get()
	require.NoError(t, err)
	link.Delay(t, 50*time.Millisecond)
	took, err := get()
	require.NoError(t, err)
	require.GreaterOrEqual(t, took, 100*time.Millisecond)
	link.Restore(t)
	link.Cut()
	_, err = get()
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	link.Restore(t)
	link.Partition(t)
	_, err = get()
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
	link.Restore(t)
	_, err = get()
	require.NoError(t, err)
}

// Guards against a build that fails, and against a path that does not refer to the built binary.
func TestBinary(t *testing.T) {
	path := harness.Binary(t)
	require.Equal(t, path, harness.Binary(t))
	var exit *exec.ExitError
	require.ErrorAs(t, exec.Command(path).Run(), &exit)
	require.Equal(t, cmd.ExitUsage, exit.ExitCode())
}
