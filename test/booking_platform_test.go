package test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/test/harness"
)

// Guards against a booking with an idempotency key that fails or is executed twice because the platform's response to
// the write of the claim or of the outcome is lost. Either the connection closes, or it stays open without a response.
func TestBookingPlatformAnswersLost(t *testing.T) {
	parallel(t)
	d, proxies := startWithClaimProxies(t, 2)
	serviceCall{key: "first"}.sendTo(t, d, 0).requireOutcome(t, "ran")
	tests := []struct {
		name          string
		lostResponses int
		hooks         []func(*http.Request)
	}{
		{name: "claim", lostResponses: 1},
		{name: "claim and outcome", lostResponses: 2},
		{name: "four in a row", lostResponses: 4},
		{name: "claim withheld", hooks: []func(*http.Request){withholdResponse}},
		{name: "claim and outcome withheld", hooks: []func(*http.Request){withholdResponse, withholdResponse}},
	}
	for i, tt := range tests {
		proxies[0].addHooks(tt.hooks...)
		harness.SetFaults(t, d.Platform(), map[string]any{"lose-answers": tt.lostResponses})
		begin := time.Now()
		first := serviceCall{key: tt.name}.sendTo(t, d, 0)
		require.Less(t, time.Since(begin), 3*time.Second, tt.name)
		first.requireOutcome(t, "ran")
		harness.SetFaults(t, d.Platform(), map[string]any{})
		again := serviceCall{key: tt.name}.sendTo(t, d, 1)
		require.Equal(t, first, again, tt.name)
		require.Equal(t, 1, d.Runs(t, tt.name), tt.name)
		// One record per case so far, and that of the key "first".
		require.Len(t, recordStates(t, d), i+2)
		require.NotContains(t, recordStates(t, d), "open")
	}
}

// Guards against a booking with an idempotency key that is executed without a record while the platform is unavailable
// or too slow, and against bookings without a key and reads that fail during the outage.
func TestBookingPlatformOutage(t *testing.T) {
	parallel(t)
	d, _ := startWithClaimProxies(t, 2)
	for name, faults := range map[string]any{
		"down": map[string]any{"down": true}, "slow": map[string]any{"delay-ms": 1200},
	} {
		harness.SetFaults(t, d.Platform(), faults)
		keyed := serviceCall{key: name}.sendTo(t, d, 0)
		keyed.requireOutcome(t, "not-run")
		require.Equal(t, "claim-failed", keyed.code)
		require.NotEmpty(t, keyed.header.Get("Retry-After"))
		require.Zero(t, d.Runs(t, name))
		require.Positive(t, d.Metric(t, 0, `radishhollow_claims_total{class="failed"}`))
		require.Positive(t, d.Metric(t, 0, `radishhollow_bookings_total{class="not-run"}`))
		require.Positive(t, d.Metric(t, 0, `radishhollow_requests_total{class="claim-failed"}`))
		serviceCall{id: name + "-unkeyed"}.sendTo(t, d, 0).requireOutcome(t, "ran")
		require.Equal(t, 1, d.Runs(t, name+"-unkeyed"))
		serviceCall{method: http.MethodGet, path: "/registry/9"}.sendTo(t, d, 1).requireOutcome(t, "ran")

		// Delayed writes of the refused claim must not block the key after the platform has recovered.
		harness.SetFaults(t, d.Platform(), map[string]any{})
		require.Eventually(t, func() bool {
			return serviceCall{key: name}.sendTo(t, d, 1).outcome == "ran"
		}, 10*time.Second, 50*time.Millisecond, name)
		require.Equal(t, 1, d.Runs(t, name))
	}
}

// Guards against an outcome that is lost because the platform fails between the write of the claim and the write of the
// outcome.
func TestBookingOutcomeRecordedLate(t *testing.T) {
	parallel(t)
	d, _ := startWithClaimProxies(t, 2)
	for i := range 2 {
		harness.SetFaults(t, d.ServiceRunner(i), map[string]any{
			"faults": []map[string]any{{"kind": "delay-answer", "count": 1, "delay-ms": 300}},
		})
	}
	done := make(chan callResult, 1)
	go func() { done <- serviceCall{key: "late"}.sendTo(t, d, 0) }()
	require.Eventually(t, func() bool { return d.Runs(t, "late") == 1 }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, []string{"open"}, recordStates(t, d))
	harness.SetFaults(t, d.Platform(), map[string]any{"down": true})
	first := <-done
	first.requireOutcome(t, "ran")
	harness.SetFaults(t, d.Platform(), map[string]any{})
	require.Eventually(t, func() bool { return recordStates(t, d)[0] == "finished ran" }, 10*time.Second, 20*time.Millisecond)
	require.Equal(t, first, serviceCall{key: "late"}.sendTo(t, d, 1))
	require.Equal(t, 1, d.Runs(t, "late"))
}
