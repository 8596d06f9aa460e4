package test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/test/harness"
)

// serviceCall is one plain-service call of a test. Empty fields mean POST, "/deliveries", service "app" and workspace
// "large". The field key is sent as Idempotency-Key and id as Test-Id, which identifies the call in the counts of a
// runner.
type serviceCall struct {
	method, path, service, workspace string
	key, id                          string
	body                             []byte
}

// callResult is the result of a call as its caller received it. The outcome is that of a typed error in the body, or
// else of the Outcome header. Without a complete response it is "unknown".
type callResult struct {
	outcome string
	code    string
	status  int
	header  http.Header
	body    []byte
}

func orElse(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

// sendToAddress sends the call to a daemon's address on a new connection and follows no redirects.
func (c serviceCall) sendToAddress(t testing.TB, address string, timeout time.Duration) callResult {
	t.Helper()
	target := "http://" + address + "/services/" + orElse(c.service, "app") + orElse(c.path, "/deliveries")
	req, err := http.NewRequestWithContext(t.Context(), orElse(c.method, http.MethodPost), target, bytes.NewReader(c.body))
	if err != nil {
		return callResult{outcome: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+harness.WorkspaceKey(orElse(c.workspace, "large")))
	req.Header.Set("Test-Id", c.id)
	if c.key != "" {
		req.Header.Set("Idempotency-Key", c.key)
	}
	client := &http.Client{
		Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	resp, err := client.Do(req)
	if err != nil {
		return callResult{outcome: "unknown"}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return callResult{outcome: "unknown"}
	}
	r := callResult{outcome: resp.Header.Get("Outcome"), status: resp.StatusCode, header: resp.Header, body: body}
	var errorBody struct {
		Error struct{ Code, Outcome string }
	}
	if json.Unmarshal(body, &errorBody) == nil && errorBody.Error.Code != "" {
		r.code, r.outcome = errorBody.Error.Code, errorBody.Error.Outcome
	}
	return r
}

// sendTo sends the call to daemon i.
func (c serviceCall) sendTo(t testing.TB, d *harness.Deployment, i int) callResult {
	t.Helper()
	return c.sendToAddress(t, d.Settings(i).Listen, 40*time.Second)
}

// requireOutcome requires the outcome and the status code that belongs to it.
func (r callResult) requireOutcome(t testing.TB, outcome string) {
	t.Helper()
	require.Equalf(t, outcome, r.outcome, "%d %s", r.status, r.body)
	require.Equal(t, map[string]int{"ran": 200, "not-run": 503, "unknown": 502}[outcome], r.status, "%s", r.body)
	if outcome == "unknown" {
		require.Equal(t, "outcome-unknown", r.code)
	}
}

// recordStates returns the states of the idempotency records of workspace "large" and service "app", such as "open" or
// "finished ran", read directly from the platform.
func recordStates(t testing.TB, d *harness.Deployment) []string {
	t.Helper()
	var list struct{ Items []struct{ Value []byte } }
	harness.GetJSON(t, d.Platform(), "/kv?prefix=claims/large/app/", &list)
	found := []string{}
	for _, item := range list.Items {
		var record struct{ State, Outcome string }
		require.NoError(t, json.Unmarshal(item.Value, &record))
		found = append(found, strings.TrimSpace(record.State+" "+record.Outcome))
	}
	return found
}

// claimProxy is a proxy between one daemon and the platform. Whenever the write of an idempotency record has taken
// effect, the next hook is called before the response is forwarded to the daemon.
type claimProxy struct {
	mu    sync.Mutex
	hooks []func(r *http.Request)
}

func newClaimProxy(t testing.TB, platform string) (*claimProxy, string) {
	t.Helper()
	p := &claimProxy{}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: platform})
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	proxy.ModifyResponse = func(resp *http.Response) error {
		if resp.Request.Method == http.MethodPut && strings.HasPrefix(resp.Request.URL.Path, "/kv/claims/") {
			if hook := p.nextHook(); hook != nil {
				hook(resp.Request)
			}
		}
		return nil
	}
	server := httptest.NewServer(proxy)
	t.Cleanup(server.Close)
	return p, server.Listener.Addr().String()
}

func (p *claimProxy) nextHook() func(*http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.hooks) == 0 {
		return nil
	}
	hook := p.hooks[0]
	p.hooks = p.hooks[1:]
	return hook
}

func (p *claimProxy) addHooks(hooks ...func(*http.Request)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hooks = append(p.hooks, hooks...)
}

// withholdResponse is a hook that forwards no response. The connection stays open until the daemon cancels its request.
func withholdResponse(r *http.Request) { <-r.Context().Done() }

// startWithClaimProxies starts a deployment with a claimProxy between each daemon and the platform. Daemons that are
// added later have none. Daemons wait at most 1 s for the outcome of a call that another request has claimed.
func startWithClaimProxies(t *testing.T, daemons int) (*harness.Deployment, []*claimProxy) {
	t.Helper()
	proxies := make([]*claimProxy, daemons)
	d := harness.NewDeployment()
	d.Engines, d.Daemons = 1, daemons
	d.AdjustSettings = func(i int, s *harness.Settings) {
		if i < daemons {
			proxies[i], s.Platform = newClaimProxy(t, s.Platform)
		}
		s.Timeouts["claim-wait"] = "1s"
	}
	return startDeployment(t, d), proxies
}
