package test

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/test/harness"
)

// serviceRows returns sheet rows of services. Refusals of "raw" and "linked" are trusted, those of "strict" are not.
func serviceRows() []string {
	return []string{"service,raw,,,,,,,,,,,yes,,", "service,strict,,,,,,,,,,,no,,", "service,linked,,,,,,,,,,,yes,,"}
}

// Guards against the outcome not-run for a booking that was executed, against a second send after the connection to
// the endpoint broke, and against a replay that differs from the first result. The connection breaks at each stage of a
// call, with and without an idempotency key.
func TestBookingCutAtEachStage(t *testing.T) {
	parallel(t)
	d := harness.NewDeployment()
	d.Engines, d.Services = 1, 1
	startDeployment(t, d, serviceRows()...)
	raw := newRawService(t)
	registerService(t, d, "raw", raw.listener.Addr().String(), "raw")
	require.Eventually(t, func() bool {
		return serviceCall{service: "raw", path: "/x/whole", id: "up"}.sendTo(t, d, 0).outcome == "ran" &&
			serviceCall{service: "raw", path: "/x/whole", id: "up"}.sendTo(t, d, 1).outcome == "ran"
	}, 10*time.Second, 20*time.Millisecond)
	tests := []struct {
		stage, outcome string
		runs           int
	}{
		{"after-connect", "unknown", 0}, {"after-headers", "unknown", 0}, {"after-body", "unknown", 0},
		{"before-answer", "unknown", 1}, {"in-header", "unknown", 1}, {"in-body", "unknown", 1},
		{"in-chunk", "unknown", 1}, {"whole", "ran", 1}, {"refuse-trusted", "not-run", 0}, {"refuse-other", "unknown", 0},
	}
	for _, tt := range tests {
		for _, key := range []string{"", "key-" + tt.stage} {
			call := serviceCall{service: "raw", path: "/x/" + tt.stage, key: key, id: tt.stage + key}
			// The body is larger than the socket buffers, so that a break after the headers occurs while it is being sent.
			call.body = bytes.Repeat([]byte("x"), 900<<10)
			requestsBefore := raw.count(raw.requests, tt.stage)
			first := call.sendTo(t, d, 0)
			require.Equal(t, requestsBefore+1, raw.count(raw.requests, tt.stage), "%s: the call must be sent once", tt.stage)
			require.Equal(t, tt.runs, raw.count(raw.runs, call.id), tt.stage)
			if first.outcome == "not-run" {
				require.Zero(t, raw.count(raw.runs, call.id), tt.stage)
			}
			first.requireOutcome(t, tt.outcome)
			if key == "" || tt.outcome == "not-run" {
				continue
			}
			again := call.sendTo(t, d, 1)
			require.Equal(t, first.header.Values("Note"), again.header.Values("Note"))
			again.requireOutcome(t, tt.outcome)
			if tt.outcome == "ran" {
				require.Equal(t, first, again)
			}
			require.Equal(t, requestsBefore+1, raw.count(raw.requests, tt.stage), "%s: the call must not be sent again", tt.stage)
		}
	}
}

// Guards against another outcome than not-run, and against a key that stays blocked, if no connection to the endpoint
// can be opened.
func TestBookingCutBeforeConnect(t *testing.T) {
	parallel(t)
	d := harness.NewDeployment()
	d.Engines, d.Services = 1, 1
	startDeployment(t, d, serviceRows()...)
	// The instance list has one row per address, so each name of the runner needs a link of its own.
	link := harness.NewLink(t, d.ServiceRunner(0).Address())
	var load struct{ Incarnation string }
	harness.GetJSON(t, d.ServiceRunner(0), "/load", &load)
	for _, name := range []string{"linked", "strict"} {
		address := map[string]string{"linked": link.Address(), "strict": harness.NewLink(t, d.ServiceRunner(0).Address()).Address()}
		registerService(t, d, name, address[name], load.Incarnation)
		require.Eventually(t, func() bool {
			return serviceCall{service: name, id: "up"}.sendTo(t, d, 0).outcome == "ran"
		}, 10*time.Second, 20*time.Millisecond)
	}
	link.Cut()
	errorCodes := map[string]bool{}
	for range 3 {
		for _, key := range []string{"", "cut"} {
			r := serviceCall{service: "linked", key: key, id: "cut"}.sendTo(t, d, 0)
			r.requireOutcome(t, "not-run")
			errorCodes[r.code] = true
		}
	}
	require.Zero(t, d.Runs(t, "cut"))
	require.True(t, errorCodes["endpoint-unreachable"], "no send has failed: %v", errorCodes)
	link.Restore(t)
	require.Eventually(t, func() bool {
		return serviceCall{service: "linked", key: "cut", id: "again"}.sendTo(t, d, 1).outcome == "ran"
	}, 10*time.Second, 20*time.Millisecond)
	require.Equal(t, 1, d.Runs(t, "cut"))
	checkEndpointFaults(t, d)
}

// checkEndpointFaults checks the outcome and the number of executions for each fault of an endpoint, and for a
// repetition of the call under the same key.
func checkEndpointFaults(t *testing.T, d *harness.Deployment) {
	t.Helper()
	tests := []struct {
		service, outcome string
		runs             int
		fault            map[string]any
	}{
		{"app", "unknown", 1, map[string]any{"kind": "run-then-503"}},
		{"app", "unknown", 1, map[string]any{"kind": "run-then-cut"}},
		{"app", "unknown", 0, map[string]any{"kind": "cut-before"}},
		{"app", "not-run", 0, map[string]any{"kind": "refuse"}},
		{"strict", "unknown", 0, map[string]any{"kind": "refuse"}},
		{"app", "unknown", 0, map[string]any{"kind": "redirect", "status": 307, "location": "/moved"}},
		{"app", "unknown", 0, map[string]any{"kind": "redirect", "status": 308, "location": "/moved"}},
	}
	for i, tt := range tests {
		for _, call := range []serviceCall{{}, {method: http.MethodGet}, {key: "k"}} {
			// net/http retries requests by itself only on a reused connection, so the connection is used once before.
			serviceCall{service: tt.service, id: "used"}.sendTo(t, d, 0).requireOutcome(t, "ran")
			tt.fault["count"] = 1
			harness.SetFaults(t, d.ServiceRunner(0), map[string]any{"faults": []any{tt.fault}})
			call.service = tt.service
			call.id = strings.Join([]string{call.method, call.key, string(rune('a' + i))}, "-")
			if call.key != "" {
				call.key = call.id
			}
			call.sendTo(t, d, 0).requireOutcome(t, tt.outcome)
			require.Equal(t, tt.runs, d.Runs(t, call.id), "%v", tt.fault)
			if call.key == "" {
				continue
			}
			wantOutcome, wantRuns := tt.outcome, tt.runs
			if wantOutcome == "not-run" {
				wantOutcome, wantRuns = "ran", 1
			}
			call.sendTo(t, d, 1).requireOutcome(t, wantOutcome)
			require.Equal(t, wantRuns, d.Runs(t, call.id), "%v", tt.fault)
		}
	}
}
