package test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/engine"
	"radishhollow/test/harness"
)

// twoDaemonDeployment returns a deployment with two daemons, before its start.
func twoDaemonDeployment(n int, args ...string) *harness.Deployment {
	d := engineDeployment(n, args...)
	d.Daemons = 2
	return d
}

// resumeAt sends the request of a broken stream to daemon i with the last cursor.
func resumeAt(t *testing.T, d *harness.Deployment, i int, request harness.Request, r harness.Response) *harness.Stream {
	t.Helper()
	request.Address, request.Cursor, request.Received = "", r.Cursor, r.Tokens
	return d.Generate(t, i, request)
}

// Guards against a caller that can't go on at another entry, or only at the cost of another prefill, after its entry
// was lost in any way.
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
			require.Equal(t, startedBefore, startedCount(t, d, 0)+startedCount(t, d, 1), "the running stream was not used")
		})
	}
}

// Guards against the late cancel of an entry that was paused: the stream has moved to another entry. An engine that
// ignores attempt numbers ends the stream; its new owner then resumes as after a loss.
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
			// The woken entry gives its caller 10 s to come back before it cancels.
			require.Eventually(t, func() bool {
				s := engineStats(t, d, 0)
				return s.Stale+s.Cancelled > 0
			}, 15*time.Second, 20*time.Millisecond)
			require.Empty(t, second.Response().FinishReason, "the cancel came after the end")
			second.RequireComplete(t, modelSpec)
			require.Equal(t, ignoresAttempt, engineStats(t, d, 0).Cancelled > 0)
		})
	}
}

// Guards against a caller that can't go on, or that gets another generation's output, when its entry and its engine
// are lost together.
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
