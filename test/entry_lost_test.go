package test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/engine"
	"radishhollow/test/harness"
)

// twoDaemonDeployment returns a deployment of n engines and two daemons that is not started yet.
func twoDaemonDeployment(n int, args ...string) *harness.Deployment {
	d := engineDeployment(n, args...)
	d.Daemons = 2
	return d
}

// resumeAt resumes a broken stream at daemon i with its last cursor.
func resumeAt(t *testing.T, d *harness.Deployment, i int, request harness.Request, r harness.Response) *harness.Stream {
	t.Helper()
	request.Address, request.Cursor, request.Received = "", r.Cursor, r.Tokens
	return d.Generate(t, i, request)
}

// Guards against a caller that cannot resume at another daemon after its daemon was lost, or that can do so only with
// another prefill.
func TestEntryLost(t *testing.T) {
	t.Parallel()
	for name, lose := range map[string]func(t *testing.T, d *harness.Deployment, l *harness.Link){
		"killed":      func(_ *testing.T, d *harness.Deployment, _ *harness.Link) { d.Daemon(0).Kill() },
		"cut off":     func(_ *testing.T, _ *harness.Deployment, l *harness.Link) { l.Cut() },
		"partitioned": func(t *testing.T, _ *harness.Deployment, l *harness.Link) { l.Partition(t) },
	} {
		t.Run(name, func(t *testing.T) {
			parallel(t)
			d := startServing(t, twoDaemonDeployment(2))
			link := harness.NewLink(t, d.Settings(0).Listen)
			request := harness.Request{Prompt: "long report", MaxTokens: 100, Chat: name == "killed", Address: link.Address()}
			first := d.Generate(t, 0, request)
			first.AwaitTokens(t, 20)
			startedBefore := startedCount(t, d, 0) + startedCount(t, d, 1)
			lose(t, d, link)
			time.Sleep(200 * time.Millisecond)
			first.Close()
			resumeAt(t, d, 1, request, first.Response()).RequireComplete(t, modelSpec)
			require.Equal(t, startedBefore, startedCount(t, d, 0)+startedCount(t, d, 1),
				"a new stream was started instead of attaching to the running one")
		})
	}
}

// Guards against a delayed cancellation by a daemon that was paused while another daemon attached to its stream. An
// engine that ignores attempt numbers ends the stream. The other daemon then resumes it as after the loss of an engine.
func TestEntryFrozenWakes(t *testing.T) {
	t.Parallel()
	for name, ignoresAttempt := range map[string]bool{"attempt checked": false, "attempt ignored": true} {
		t.Run(name, func(t *testing.T) {
			parallel(t)
			d := startServing(t, twoDaemonDeployment(1, "--gap", "30ms"))
			harness.SetFaults(t, d.Engine(0), engine.Faults{IgnoreAttempt: &ignoresAttempt})
			request := harness.Request{Prompt: "long report", MaxTokens: 390, SendReceived: ignoresAttempt}
			first := d.Generate(t, 0, request)
			first.AwaitTokens(t, 10)
			d.Daemon(0).Pause(t)
			first.Close()
			second := resumeAt(t, d, 1, request, first.Response())
			second.AwaitTokens(t, 5)
			d.Daemon(0).Continue()
			// After it continues, the daemon waits 10 s for its caller to reconnect before it cancels the stream.
			require.Eventually(t, func() bool {
				s := engineStats(t, d, 0)
				return s.StaleCancels+s.Cancelled > 0
			}, 15*time.Second, 20*time.Millisecond)
			require.Empty(t, second.Response().FinishReason, "the stream ended before the cancellation")
			second.RequireComplete(t, modelSpec)
			require.Equal(t, ignoresAttempt, engineStats(t, d, 0).Cancelled > 0)
		})
	}
}

// Guards against a caller that cannot resume, or that receives the output of another generation, if its daemon and its
// engine are lost at the same time.
func TestEntryAndEngineLost(t *testing.T) {
	t.Parallel()
	for name, sendReceived := range map[string]bool{"with ids": true, "without ids": false} {
		t.Run(name, func(t *testing.T) {
			parallel(t)
			d := startServing(t, twoDaemonDeployment(2))
			request := harness.Request{Prompt: "long report", MaxTokens: 80, SendReceived: sendReceived}
			first := d.Generate(t, 0, request)
			first.AwaitTokens(t, 20)
			lostEngine := engineIndex(t, d, first.LastCursor(t).Address)
			d.Daemon(0).Kill()
			d.Engine(lostEngine).Kill()
			second := resumeAt(t, d, 1, request, first.Wait(t))
			if sendReceived {
				second.RequireComplete(t, modelSpec)
				return
			}
			r := second.Wait(t)
			require.Equal(t, "cursor-lost", r.ErrorCode)
			require.Equal(t, 410, r.Status)
			require.Less(t, r.LongestWait, harness.WaitBound)
		})
	}
}
