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

// delayRunners makes each service runner wait for ms milliseconds in each of its next count calls: before the execution
// (kind "delay") or after it (kind "delay-answer").
func delayRunners(t testing.TB, d *harness.Deployment, kind string, ms, count int) {
	t.Helper()
	for i := range d.Services {
		harness.SetFaults(t, d.ServiceRunner(i), map[string]any{
			"faults": []map[string]any{{"kind": kind, "count": count, "delay-ms": ms}},
		})
	}
}

// Guards against a second execution, or a different response, if a booking is sent to several daemons concurrently or
// repeated later, and against confusing the equal keys of different bookings or workspaces.
func TestBookingRepeated(t *testing.T) {
	parallel(t)
	d, _ := startWithClaimProxies(t, 5)
	for _, key := range []string{"a", "b"} {
		delayRunners(t, d, "delay", 100, 1)
		results := make([]callResult, 45)
		var callers sync.WaitGroup
		for i := range 40 {
			callers.Go(func() { results[i] = serviceCall{key: key, body: []byte("two drums")}.sendTo(t, d, i%5) })
		}
		callers.Wait()
		for i := range 5 {
			results[40+i] = serviceCall{key: key, body: []byte("two drums")}.sendTo(t, d, i)
		}
		for _, r := range results {
			r.requireOutcome(t, "ran")
			require.Equal(t, results[0], r)
		}
		require.Equal(t, 1, d.Runs(t, key))
		for i, other := range []serviceCall{
			{body: []byte("three drums")}, {path: "/deliveries?hall=2"}, {method: http.MethodPut},
		} {
			other.key = key
			r := other.sendTo(t, d, i)
			require.Equal(t, []any{"not-run", "key-reused", 422}, []any{r.outcome, r.code, r.status})
		}
		require.Equal(t, 1, d.Runs(t, key))
		otherWorkspace := serviceCall{key: key, id: "foreign-" + key, workspace: "small", body: []byte("two drums")}.sendTo(t, d, 3)
		otherWorkspace.requireOutcome(t, "ran")
		require.Contains(t, string(otherWorkspace.body), `"test-id":"foreign-`+key, "replayed from another workspace")
		require.Equal(t, 2, d.Runs(t, key))
	}
}

// Guards against a daemon that is paused or killed between the claim and the send: another daemon must not take over
// the record, and the daemon must not send a booking after it resumes if the booking was reported as not run.
func TestBookingDaemonLostBeforeSend(t *testing.T) {
	parallel(t)
	d, proxies := startWithClaimProxies(t, 3)
	serviceCall{key: "first"}.sendTo(t, d, 0).requireOutcome(t, "ran")
	for i, pauseTime := range []time.Duration{0, 1500 * time.Millisecond, 0} {
		key, killed := fmt.Sprintf("lost-%d", i), i == 2
		stopped := make(chan struct{})
		proxies[0].addHooks(func(*http.Request) {
			if killed {
				d.Daemon(0).Kill()
			} else {
				d.Daemon(0).Pause(t)
			}
			close(stopped)
		})
		done := make(chan callResult, 1)
		go func() { done <- serviceCall{key: key}.sendTo(t, d, 0) }()
		select {
		case <-stopped:
		case <-time.After(10 * time.Second):
			require.FailNow(t, "daemon 0 has written no record")
		}
		require.Contains(t, recordStates(t, d), "open", "the record does not exist")
		require.Zero(t, d.Runs(t, key), "the call has already been sent")
		serviceCall{key: key}.sendTo(t, d, 1).requireOutcome(t, "unknown")
		time.Sleep(pauseTime)
		d.Daemon(0).Continue()
		first := <-done
		require.Equal(t, map[bool]int{true: 1}[first.outcome == "ran"], d.Runs(t, key), first.outcome)
		if killed {
			require.Equal(t, "unknown", first.outcome)
			serviceCall{key: key}.sendTo(t, d, 2).requireOutcome(t, "unknown")
			require.Zero(t, d.Runs(t, key))
			continue
		}
		require.Eventually(t, func() bool {
			return serviceCall{key: key}.sendTo(t, d, 2).outcome == "ran"
		}, 10*time.Second, 20*time.Millisecond)
		require.Equal(t, 1, d.Runs(t, key))
	}
}

// Guards against a second execution through another daemon after the first daemon was paused or killed between the
// execution and the write of the outcome, and against an outcome that the daemon does not record after it resumes.
func TestBookingDaemonLostAfterSend(t *testing.T) {
	parallel(t)
	d, _ := startWithClaimProxies(t, 3)
	for _, killed := range []bool{false, true} {
		key := fmt.Sprintf("killed-%t", killed)
		delayRunners(t, d, "delay-answer", 500, 1)
		done := make(chan callResult, 1)
		go func() { done <- serviceCall{key: key}.sendTo(t, d, 0) }()
		require.Eventually(t, func() bool { return d.Runs(t, key) == 1 }, 5*time.Second, 2*time.Millisecond)
		if killed {
			d.Daemon(0).Kill()
		} else {
			d.Daemon(0).Pause(t)
		}
		require.Contains(t, recordStates(t, d), "open", "the outcome is already recorded")
		serviceCall{key: key}.sendTo(t, d, 1).requireOutcome(t, "unknown")
		serviceCall{key: key}.sendTo(t, d, 2).requireOutcome(t, "unknown")
		d.Daemon(0).Continue()
		first := <-done
		if killed {
			require.Equal(t, "unknown", first.outcome)
		} else {
			first.requireOutcome(t, "ran")
			require.Equal(t, first, serviceCall{key: key}.sendTo(t, d, 2))
		}
		require.Equal(t, 1, d.Runs(t, key))
	}
}
