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

// order is one plain-service call of a test. Zero fields mean POST, "/deliveries", service "app", workspace "large".
type order struct {
	method, path, service, workspace string
	key, id                          string
	body                             []byte
}

// reply is what the caller got. The class of a call without a complete answer is "unknown".
type reply struct {
	class  string
	code   string
	status int
	header http.Header
	body   []byte
}

func orElse(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

// send makes a call at a daemon's address, on a connection of its own and without following redirects.
func (o order) send(t testing.TB, address string, timeout time.Duration) reply {
	t.Helper()
	target := "http://" + address + "/services/" + orElse(o.service, "app") + orElse(o.path, "/deliveries")
	req, err := http.NewRequestWithContext(t.Context(), orElse(o.method, http.MethodPost), target, bytes.NewReader(o.body))
	if err != nil {
		return reply{class: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+harness.WorkspaceKey(orElse(o.workspace, "large")))
	req.Header.Set("Test-Id", o.id)
	if o.key != "" {
		req.Header.Set("Idempotency-Key", o.key)
	}
	client := &http.Client{
		Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	resp, err := client.Do(req)
	if err != nil {
		return reply{class: "unknown"}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{class: "unknown"}
	}
	r := reply{class: resp.Header.Get("Outcome"), status: resp.StatusCode, header: resp.Header, body: body}
	var failed struct {
		Error struct{ Code, Outcome string }
	}
	if json.Unmarshal(body, &failed) == nil && failed.Error.Code != "" {
		r.code, r.class = failed.Error.Code, failed.Error.Outcome
	}
	return r
}

// at makes a call at daemon i.
func (o order) at(t testing.TB, d *harness.Deployment, i int) reply {
	t.Helper()
	return o.send(t, d.Settings(i).Listen, 40*time.Second)
}

// requireClass checks the class and that it has a status code of its own.
func (r reply) requireClass(t testing.TB, class string) {
	t.Helper()
	require.Equalf(t, class, r.class, "%d %s", r.status, r.body)
	require.Equal(t, map[string]int{"ran": 200, "not-run": 503, "unknown": 502}[class], r.status, "%s", r.body)
	if class == "unknown" {
		require.Equal(t, "outcome-unknown", r.code)
	}
}

// states returns the states of the stored idempotency records of service "app", read from the platform itself.
func states(t testing.TB, d *harness.Deployment) []string {
	t.Helper()
	var list struct{ Items []struct{ Value []byte } }
	harness.Get(t, d.Platform(), "/kv?prefix=claims/large/app/", &list)
	found := []string{}
	for _, item := range list.Items {
		var record struct{ State, Outcome string }
		require.NoError(t, json.Unmarshal(item.Value, &record))
		found = append(found, strings.TrimSpace(record.State+" "+record.Outcome))
	}
	return found
}

// gate stands between one daemon and the platform. Its hooks run in turn, each after a claim write has taken effect
// and before the answer is passed on.
type gate struct {
	mu    sync.Mutex
	hooks []func(r *http.Request)
}

func newGate(t testing.TB, platform string) (*gate, string) {
	t.Helper()
	g := &gate{}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: platform})
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	proxy.ModifyResponse = func(resp *http.Response) error {
		if resp.Request.Method == http.MethodPut && strings.HasPrefix(resp.Request.URL.Path, "/kv/claims/") {
			if hook := g.next(); hook != nil {
				hook(resp.Request)
			}
		}
		return nil
	}
	server := httptest.NewServer(proxy)
	t.Cleanup(server.Close)
	return g, server.Listener.Addr().String()
}

func (g *gate) next() func(*http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.hooks) == 0 {
		return nil
	}
	hook := g.hooks[0]
	g.hooks = g.hooks[1:]
	return hook
}

func (g *gate) push(hooks ...func(*http.Request)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hooks = append(g.hooks, hooks...)
}

// swallow never passes the answer on; the connection stays open until the daemon gives up.
func swallow(r *http.Request) { <-r.Context().Done() }

// gated returns a deployment with a gate before each daemon. Records of unfinished calls are waited for at most 1 s.
func gated(t *testing.T, daemons int) (*harness.Deployment, []*gate) {
	t.Helper()
	gates := make([]*gate, daemons)
	d := harness.New()
	d.Engines, d.Daemons = 1, daemons
	d.Adjust = func(i int, s *harness.Settings) {
		if i < daemons {
			gates[i], s.Platform = newGate(t, s.Platform)
		}
		s.Timeouts["claim-wait"] = "1s"
	}
	return start(t, d), gates
}
