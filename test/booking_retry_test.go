package test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/test/harness"
)

// delayAll makes each service runner wait before its next runs, or after them.
func delayAll(t testing.TB, d *harness.Deployment, kind string, ms, count int) {
	t.Helper()
	for i := range d.Services {
		harness.SetFaults(t, d.ServiceRunner(i), map[string]any{
			"faults": []map[string]any{{"kind": kind, "count": count, "delay-ms": ms}},
		})
	}
}

// Guards against a second run, or another answer, when a caller repeats a booking at many daemons at once or later,
// and against keys of different bookings or workspaces being mixed up.
func TestBookingRepeated(t *testing.T) {
	parallel(t)
	d, _ := gated(t, 5)
	for _, key := range []string{"a", "b"} {
		delayAll(t, d, "delay", 100, 1)
		replies := make([]reply, 45)
		var callers sync.WaitGroup
		for i := range 40 {
			callers.Go(func() { replies[i] = order{key: key, body: []byte("two drums")}.at(t, d, i%5) })
		}
		callers.Wait()
		for i := range 5 {
			replies[40+i] = order{key: key, body: []byte("two drums")}.at(t, d, i)
		}
		for _, r := range replies {
			r.requireClass(t, "ran")
			require.Equal(t, replies[0], r)
		}
		require.Equal(t, 1, d.Runs(t, key))
		for i, other := range []order{
			{body: []byte("three drums")}, {path: "/deliveries?hall=2"}, {method: http.MethodPut},
		} {
			other.key = key
			r := other.at(t, d, i)
			require.Equal(t, []any{"not-run", "key-reused", 422}, []any{r.class, r.code, r.status})
		}
		require.Equal(t, 1, d.Runs(t, key))
		foreign := order{key: key, id: "foreign-" + key, workspace: "small", body: []byte("two drums")}.at(t, d, 3)
		foreign.requireClass(t, "ran")
		require.Contains(t, string(foreign.body), `"test-id":"foreign-`+key, "not a replay")
		require.Equal(t, 2, d.Runs(t, key))
	}
}

// Guards against a daemon that is frozen or killed between the claim and the send: another daemon must not take the
// record over, and the daemon that wakes must not run a booking that was reported as not run.
func TestBookingDaemonLostBeforeSend(t *testing.T) {
	parallel(t)
	d, gates := gated(t, 3)
	order{key: "first"}.at(t, d, 0).requireClass(t, "ran")
	for i, frozen := range []time.Duration{0, 1500 * time.Millisecond, 0} {
		key, killed := fmt.Sprintf("lost-%d", i), i == 2
		stopped := make(chan struct{})
		gates[0].push(func(*http.Request) {
			if killed {
				d.Daemon(0).Kill()
			} else {
				d.Daemon(0).Pause(t)
			}
			close(stopped)
		})
		done := make(chan reply, 1)
		go func() { done <- order{key: key}.at(t, d, 0) }()
		select {
		case <-stopped:
		case <-time.After(10 * time.Second):
			require.FailNow(t, "daemon 0 has written no record")
		}
		require.Contains(t, states(t, d), "open", "the record must exist")
		require.Zero(t, d.Runs(t, key), "the call must not have been sent")
		order{key: key}.at(t, d, 1).requireClass(t, "unknown")
		time.Sleep(frozen)
		d.Daemon(0).Continue()
		first := <-done
		require.Equal(t, map[bool]int{true: 1}[first.class == "ran"], d.Runs(t, key), first.class)
		if killed {
			require.Equal(t, "unknown", first.class)
			order{key: key}.at(t, d, 2).requireClass(t, "unknown")
			require.Zero(t, d.Runs(t, key))
			continue
		}
		require.Eventually(t, func() bool {
			return order{key: key}.at(t, d, 2).class == "ran"
		}, 10*time.Second, 20*time.Millisecond)
		require.Equal(t, 1, d.Runs(t, key))
	}
}

// Guards against a second run by another daemon after the first one was frozen or killed between the run and the
// recording of its outcome, and against an outcome that the woken daemon does not record.
func TestBookingDaemonLostAfterSend(t *testing.T) {
	parallel(t)
	d, _ := gated(t, 3)
	for _, killed := range []bool{false, true} {
		key := fmt.Sprintf("killed-%t", killed)
		delayAll(t, d, "delay-answer", 500, 1)
		done := make(chan reply, 1)
		go func() { done <- order{key: key}.at(t, d, 0) }()
		require.Eventually(t, func() bool { return d.Runs(t, key) == 1 }, 5*time.Second, 2*time.Millisecond)
		if killed {
			d.Daemon(0).Kill()
		} else {
			d.Daemon(0).Pause(t)
		}
		require.Contains(t, states(t, d), "open", "the outcome must not be recorded yet")
		order{key: key}.at(t, d, 1).requireClass(t, "unknown")
		order{key: key}.at(t, d, 2).requireClass(t, "unknown")
		d.Daemon(0).Continue()
		first := <-done
		if killed {
			require.Equal(t, "unknown", first.class)
		} else {
			first.requireClass(t, "ran")
			require.Equal(t, first, order{key: key}.at(t, d, 2))
		}
		require.Equal(t, 1, d.Runs(t, key))
	}
}
