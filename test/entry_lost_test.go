package test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/engine"
	"radishhollow/test/harness"
)

// entries returns a deployment with two daemons, before its start.
func entries(n int, args ...string) *harness.Deployment {
	d := engines(n, args...)
	d.Daemons = 2
	return d
}

// repeat sends the request of a broken stream to daemon i with the last cursor.
func repeat(t *testing.T, d *harness.Deployment, i int, ask harness.Ask, r harness.Reply) *harness.Stream {
	t.Helper()
	ask.Address, ask.Cursor, ask.Held = "", r.Cursor, r.Tokens
	return d.Ask(t, i, ask)
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
			d := launch(t, entries(2))
			link := harness.Proxy(t, d.Settings(0).Listen)
			ask := harness.Ask{Prompt: "long report", MaxTokens: 100, Chat: name == "killed", Address: link.Address()}
			first := d.Ask(t, 0, ask)
			first.Await(t, 20)
			runs := started(t, d, 0) + started(t, d, 1)
			lose(t, d, link)
			time.Sleep(200 * time.Millisecond)
			first.Close()
			repeat(t, d, 1, ask, first.Reply()).RequireWhole(t, spec)
			require.Equal(t, runs, started(t, d, 0)+started(t, d, 1), "the running stream was not used")
		})
	}
}

// Guards against the late cancel of an entry that was paused: the stream has moved to another entry. An engine that
// ignores attempt numbers ends the stream; its new owner then resumes as after a loss.
func TestEntryFrozenWakes(t *testing.T) {
	t.Parallel()
	for name, ignores := range map[string]bool{"attempt checked": false, "attempt ignored": true} {
		t.Run(name, func(t *testing.T) {
			parallel(t)
			d := launch(t, entries(1, "--gap", "30ms"))
			harness.SetFaults(t, d.Engine(0), engine.Faults{IgnoreAttempt: &ignores})
			ask := harness.Ask{Prompt: "long report", MaxTokens: 390, SendHeld: ignores}
			first := d.Ask(t, 0, ask)
			first.Await(t, 10)
			d.Daemon(0).Pause(t)
			first.Close()
			second := repeat(t, d, 1, ask, first.Reply())
			second.Await(t, 5)
			d.Daemon(0).Continue()
			// The woken entry gives its caller 10 s to come back before it cancels.
			require.Eventually(t, func() bool {
				s := stats(t, d, 0)
				return s.StaleCancels+s.Cancelled > 0
			}, 15*time.Second, 20*time.Millisecond)
			require.Empty(t, second.Reply().Finish, "the cancel came after the end")
			second.RequireWhole(t, spec)
			require.Equal(t, ignores, stats(t, d, 0).Cancelled > 0)
		})
	}
}

// Guards against a caller that can't go on, or that gets another generation's output, when its entry and its engine
// are lost together.
func TestEntryAndEngineLost(t *testing.T) {
	t.Parallel()
	for name, send := range map[string]bool{"with ids": true, "without ids": false} {
		t.Run(name, func(t *testing.T) {
			parallel(t)
			d := launch(t, entries(2))
			ask := harness.Ask{Prompt: "long report", MaxTokens: 80, SendHeld: send}
			first := d.Ask(t, 0, ask)
			first.Await(t, 20)
			lost := engineAt(t, d, first.Position(t).Address)
			d.Daemon(0).Kill()
			d.Engine(lost).Kill()
			second := repeat(t, d, 1, ask, first.Wait(t))
			if send {
				second.RequireWhole(t, spec)
				return
			}
			r := second.Wait(t)
			require.Equal(t, "cursor-lost", r.Code)
			require.Equal(t, 410, r.Status)
			require.Less(t, r.Longest, harness.WaitBound)
		})
	}
}
