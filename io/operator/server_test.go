package operator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/config"
	"radishhollow/core/kv"
	"radishhollow/core/member"
	"radishhollow/io/peer"
	"radishhollow/io/telemetry"
)

const key = "operator-key"

// fakeKV is a store with one key. If down is true, reads fail.
type fakeKV struct {
	mu       sync.Mutex
	value    []byte
	revision kv.Revision
	down     bool
}

func (f *fakeKV) get(context.Context, string) (kv.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return kv.Entry{}, kv.UnavailableError{Call: "get", Cause: io.EOF}
	}
	if f.revision.IsZero() {
		return kv.Entry{}, kv.NotFoundError{}
	}
	return kv.NewEntry(config.Key, f.value, f.revision, false), nil
}

func (f *fakeKV) put(_ context.Context, _ string, value []byte, ifRevision kv.Revision, _ kv.Lease) (kv.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ifRevision != f.revision {
		return kv.Revision{}, kv.ConflictError{Current: f.revision}
	}
	f.value, f.revision = value, f.revision.Next()
	return f.revision, nil
}

func startServer(t *testing.T) (*Server, *fakeKV, Client) {
	t.Helper()
	f := &fakeKV{}
	node := &peer.Node{
		Address: "127.0.0.1:1", Incarnation: "4", Place: "liberia", Draining: func() bool { return false },
		Table: &member.Table{Self: "127.0.0.1:1", PeerExpiry: time.Minute, MarkExpiry: time.Minute},
		Store: &config.Store{}, Isolation: &member.IsolationDetector{Timeout: time.Minute}, Metrics: telemetry.New(),
	}
	s := &Server{KeyDigest: config.KeyDigest(key), Node: node, Writer: &config.Writer{
		KV: kv.Store{Get: f.get, Put: f.put}, InForce: node.Store.Current, NewID: newID,
	}}
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return s, f, Client{Address: strings.TrimPrefix(server.URL, "http://"), Key: key}
}

func newID() string { return time.Now().String() }

func sheet(number, place string) string {
	return "kind,name,key-digest,value\nsetting,sheet-number,," + number + "\nplace," + place +
		"\nservice,registry\nworkspace,w," + config.KeyDigest("k") + "\n"
}

func TestApplyPlanAndStatus(t *testing.T) {
	s, _, client := startServer(t)
	applied, err := client.Apply(t.Context(), sheet("1", "liberia"), nil)
	require.NoError(t, err)
	require.Equal(t, Applied{Revision: 1, Digest: s.Node.Store.Current().Digest()}, applied)
	again, err := client.Apply(t.Context(), sheet("1", "liberia"), nil)
	require.NoError(t, err)
	require.True(t, again.AlreadyInForce, "a repeated apply must report that the sheet is already in force")

	plan, err := client.Plan(t.Context(), sheet("2", "canas"))
	require.NoError(t, err)
	require.EqualValues(t, 1, plan.Base)
	require.Len(t, plan.Changes, 3)

	s.Node.Table.MergeRequest(member.View{Address: "127.0.0.2:1", Incarnation: "7", Place: "canas", Draining: true, Revision: 1})
	status, err := client.Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, 1, status.SheetNumber)
	require.Len(t, status.Instances, 2)
	require.Equal(t, "127.0.0.1:1", status.Instances[0].Address)
	require.True(t, status.Instances[1].Draining)
}

func TestErrorResponses(t *testing.T) {
	_, f, client := startServer(t)
	_, err := client.Apply(t.Context(), sheet("5", "liberia"), nil)
	require.NoError(t, err)
	old := uint64(0)
	for _, test := range []struct {
		name   string
		call   func(c Client) error
		status int
		code   string
	}{
		{"wrong key", func(c Client) error { c.Key = "x"; _, err := c.Status(t.Context()); return err }, 401, "operator-key"},
		{"no key", func(c Client) error { c.Key = ""; _, err := c.Apply(t.Context(), "", nil); return err }, 401, "operator-key"},
		{"faults", func(c Client) error { _, err := c.Apply(t.Context(), "kind\n", nil); return err }, 422, "faulty-sheet"},
		{"faulty plan", func(c Client) error { _, err := c.Plan(t.Context(), "kind\n"); return err }, 422, "faulty-sheet"},
		{"conflict", func(c Client) error { _, err := c.Apply(t.Context(), sheet("6", "canas"), &old); return err }, 409, "config-conflict"},
		{"stale", func(c Client) error { _, err := c.Apply(t.Context(), sheet("4", "canas"), nil); return err }, 409, "stale-sheet"},
		{"stale plan", func(c Client) error { _, err := c.Plan(t.Context(), sheet("5", "canas")); return err }, 409, "stale-sheet"},
		{"base", func(c Client) error {
			_, err := call[Applied](t.Context(), c, http.MethodPost, "apply?base=x", sheet("6", "canas"))
			return err
		}, 400, "malformed-base"},
		{"platform down", func(c Client) error {
			f.down = true
			_, err := c.Apply(t.Context(), sheet("6", "canas"), nil)
			return err
		}, 503, "platform-unavailable"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var refused ResponseError
			require.ErrorAs(t, test.call(client), &refused)
			require.Equal(t, test.status, refused.Status)
			require.Equal(t, test.code, refused.Problem.Code)
			require.Equal(t, test.code == "faulty-sheet", len(refused.Problem.Faults) > 0)
			require.Equal(t, test.code == "config-conflict", len(refused.Problem.Difference) > 0)
		})
	}
}

func TestMetricsAndLivezNeedNoKey(t *testing.T) {
	s, _, client := startServer(t)
	s.Node.Metrics.Count(telemetry.Exchanges, "ok")
	for path, want := range map[string]string{"/livez": "ok", "/metrics": `radishhollow_exchanges_total{class="ok"} 1`} {
		response, err := http.Get("http://" + client.Address + path)
		require.NoError(t, err)
		var body bytes.Buffer
		_, err = body.ReadFrom(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Contains(t, body.String(), want)
	}
}

func TestClientReportsAnAddressThatIsNoEntry(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	_, err := Client{Address: strings.TrimPrefix(server.URL, "http://")}.Status(t.Context())
	var unreachable UnreachableError
	require.ErrorAs(t, err, &unreachable)
}
