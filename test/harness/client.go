package harness

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"
)

// Client returns a client of the unmodified public client library for daemon i. The retries of the library are
// disabled, so that a test sees each response of the daemon.
func (d *Deployment) Client(i int, workspace string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://"+d.settings[i].Listen+"/v1"),
		option.WithAPIKey(WorkspaceKey(workspace)),
		option.WithMaxRetries(0),
	)
}

// OperatorRequest sends a request to the operator address of daemon i. The status is 0 if no response arrived.
func (d *Deployment) OperatorRequest(t testing.TB, i int, method, path, body string) (status int, respBody []byte) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+d.settings[i].Operator+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+OperatorKey)
	resp, err := (&http.Client{Timeout: callTimeout}).Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, respBody
}

// Metric returns the sum of the values in the metrics of daemon i whose lines start with the prefix. It is 0 if no line
// does or the daemon does not respond.
func (d *Deployment) Metric(t testing.TB, i int, prefix string) float64 {
	t.Helper()
	_, body := d.OperatorRequest(t, i, http.MethodGet, "/metrics", "")
	sum := 0.0
	for line := range strings.Lines(string(body)) {
		if !strings.HasPrefix(line, prefix) {
			continue
		}
		fields := strings.Fields(line)
		var value float64
		require.NoError(t, json.Unmarshal([]byte(fields[len(fields)-1]), &value))
		sum += value
	}
	return sum
}

// CallService sends a plain-service call of workspace "large" to daemon i on a new connection, with key as its
// idempotency key unless it is empty.
func (d *Deployment) CallService(t testing.TB, i int, method, path, key string, body []byte) (*http.Response, []byte, error) {
	t.Helper()
	url := "http://" + d.settings[i].Listen + "/services/" + d.Service + path
	req, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+WorkspaceKey("large"))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	client := &http.Client{Timeout: time.Minute, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(resp.Body)
	return resp, respBody, err
}
