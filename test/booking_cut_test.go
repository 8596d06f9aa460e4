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

// services returns rows of services whose refusals are trusted and not.
func services() []string {
	return []string{"service,raw,,,,,,,,,,,yes,,", "service,strict,,,,,,,,,,,no,,", "service,linked,,,,,,,,,,,yes,,"}
}

// Guards against an error that says not run of a booking that ran, against a second send after a cut, and against a
// replay that differs from the first outcome, for cuts at every stage of a call without and with a key.
func TestBookingCutAtEachStage(t *testing.T) {
	parallel(t)
	d := harness.New()
	d.Engines, d.Services = 1, 1
	start(t, d, services()...)
	raw := newRawService(t)
	register(t, d, "raw", raw.listener.Addr().String(), "raw")
	require.Eventually(t, func() bool {
		return order{service: "raw", path: "/x/whole", id: "up"}.at(t, d, 0).class == "ran" &&
			order{service: "raw", path: "/x/whole", id: "up"}.at(t, d, 1).class == "ran"
	}, 10*time.Second, 20*time.Millisecond)
	tests := []struct {
		stage, class string
		runs         int
	}{
		{"after-connect", "unknown", 0}, {"after-headers", "unknown", 0}, {"after-body", "unknown", 0},
		{"before-answer", "unknown", 1}, {"in-header", "unknown", 1}, {"in-body", "unknown", 1},
		{"in-chunk", "unknown", 1}, {"whole", "ran", 1}, {"refuse-trusted", "not-run", 0}, {"refuse-other", "unknown", 0},
	}
	for _, tt := range tests {
		for _, key := range []string{"", "key-" + tt.stage} {
			o := order{service: "raw", path: "/x/" + tt.stage, key: key, id: tt.stage + key}
			// A body above the buffers of the connection makes a cut after the headers fall into the body.
			o.body = bytes.Repeat([]byte("x"), 900<<10)
			hits := raw.count(raw.hits, tt.stage)
			first := o.at(t, d, 0)
			require.Equal(t, hits+1, raw.count(raw.hits, tt.stage), "%s: one send", tt.stage)
			require.Equal(t, tt.runs, raw.count(raw.runs, o.id), tt.stage)
			if first.class == "not-run" {
				require.Zero(t, raw.count(raw.runs, o.id), tt.stage)
			}
			first.requireClass(t, tt.class)
			if key == "" || tt.class == "not-run" {
				continue
			}
			again := o.at(t, d, 1)
			require.Equal(t, first.header.Values("Note"), again.header.Values("Note"))
			again.requireClass(t, tt.class)
			if tt.class == "ran" {
				require.Equal(t, first, again)
			}
			require.Equal(t, hits+1, raw.count(raw.hits, tt.stage), "%s: no second send", tt.stage)
		}
	}
}

// Guards against a booking that is not told as not run, or whose key stays blocked, where no connection is possible.
func TestBookingCutBeforeConnect(t *testing.T) {
	parallel(t)
	d := harness.New()
	d.Engines, d.Services = 1, 1
	start(t, d, services()...)
	link := harness.Proxy(t, d.ServiceRunner(0).Address())
	var load struct{ Incarnation string }
	harness.Get(t, d.ServiceRunner(0), "/load", &load)
	for _, name := range []string{"linked", "strict"} {
		address := map[string]string{"linked": link.Address(), "strict": harness.Proxy(t, d.ServiceRunner(0).Address()).Address()}
		register(t, d, name, address[name], load.Incarnation)
		require.Eventually(t, func() bool {
			return order{service: name, id: "up"}.at(t, d, 0).class == "ran"
		}, 10*time.Second, 20*time.Millisecond)
	}
	link.Cut()
	codes := map[string]bool{}
	for range 3 {
		for _, key := range []string{"", "cut"} {
			r := order{service: "linked", key: key, id: "cut"}.at(t, d, 0)
			r.requireClass(t, "not-run")
			codes[r.code] = true
		}
	}
	require.Zero(t, d.Runs(t, "cut"))
	require.True(t, codes["endpoint-unreachable"], "a send must have failed: %v", codes)
	link.Restore(t)
	require.Eventually(t, func() bool {
		return order{service: "linked", key: "cut", id: "again"}.at(t, d, 1).class == "ran"
	}, 10*time.Second, 20*time.Millisecond)
	require.Equal(t, 1, d.Runs(t, "cut"))
	checkAnswers(t, d)
}

// checkAnswers checks answers that neither say that a booking ran nor that it did not.
func checkAnswers(t *testing.T, d *harness.Deployment) {
	t.Helper()
	tests := []struct {
		service, class string
		runs           int
		fault          map[string]any
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
		for _, o := range []order{{}, {method: http.MethodGet}, {key: "k"}} {
			// net/http repeats requests by itself only on a connection that was used before.
			order{service: tt.service, id: "used"}.at(t, d, 0).requireClass(t, "ran")
			tt.fault["count"] = 1
			harness.SetFaults(t, d.ServiceRunner(0), map[string]any{"faults": []any{tt.fault}})
			o.service = tt.service
			o.id = strings.Join([]string{o.method, o.key, string(rune('a' + i))}, "-")
			if o.key != "" {
				o.key = o.id
			}
			o.at(t, d, 0).requireClass(t, tt.class)
			require.Equal(t, tt.runs, d.Runs(t, o.id), "%v", tt.fault)
			if o.key == "" {
				continue
			}
			again, runs := tt.class, tt.runs
			if again == "not-run" {
				again, runs = "ran", 1
			}
			o.at(t, d, 1).requireClass(t, again)
			require.Equal(t, runs, d.Runs(t, o.id), "%v", tt.fault)
		}
	}
}
