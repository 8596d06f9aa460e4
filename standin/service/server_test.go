package service_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/service"
)

func start(t *testing.T) string {
	s := service.New()
	s.RunTime = 0
	ready := make(chan string, 1)
	s.Ready = func(address string) { ready <- address }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return "http://" + <-ready
}

// Guards against a runner that miscounts runs under faults; all tests of at-most-once execution rely on its counts.
func TestRunsUnderFaults(t *testing.T) {
	tests := []struct {
		fault  service.Fault
		status int // 0 for a broken connection
		notRun string
		runs   int
	}{
		{fault: service.Fault{Kind: service.Delay, DelayMS: 1}, status: http.StatusOK, runs: 1},
		{fault: service.Fault{Kind: service.DelayResponse, DelayMS: 1}, status: http.StatusOK, runs: 1},
		{fault: service.Fault{Kind: service.RunThen503}, status: http.StatusServiceUnavailable, runs: 1},
		{fault: service.Fault{Kind: service.RunThenCut}, runs: 1},
		{fault: service.Fault{Kind: service.Refuse}, status: http.StatusServiceUnavailable, notRun: "1"},
		{fault: service.Fault{Kind: service.Redirect, Status: 307, Location: "/x"}, status: http.StatusTemporaryRedirect},
		{fault: service.Fault{Kind: service.CutBefore}},
	}
	client := http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for _, tt := range tests {
		t.Run(tt.fault.Kind, func(t *testing.T) {
			url := start(t)
			tt.fault.Count = 1
			data, err := json.Marshal(map[string]any{"faults": []service.Fault{tt.fault}})
			require.NoError(t, err)
			resp, err := client.Post(url+"/faults", "application/json", bytes.NewReader(data))
			require.NoError(t, err)
			require.Equal(t, http.StatusNoContent, resp.StatusCode)
			_ = resp.Body.Close()

			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/bookings", strings.NewReader("seat"))
			require.NoError(t, err)
			req.Header.Set("Test-Id", "k")
			resp, err = client.Do(req)
			if tt.status == 0 {
				require.Error(t, err)
			} else {
				require.NoError(t, err)
				require.Equal(t, tt.status, resp.StatusCode)
				require.Equal(t, tt.notRun, resp.Header.Get("Not-Run"))
				require.NotEmpty(t, resp.Header.Get("Endpoint-Incarnation"))
				_ = resp.Body.Close()
			}
			resp, err = client.Get(url + "/runs")
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			var counts struct{ Runs map[string]int }
			require.NoError(t, json.NewDecoder(resp.Body).Decode(&counts))
			require.Equal(t, tt.runs, counts.Runs["k"])
		})
	}
}
