package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
	"radishhollow/io/keyvalue"
	"radishhollow/standin"
	"radishhollow/standin/platform"
)

func start(t *testing.T, change func(*platform.Server)) string {
	s := platform.New()
	if change != nil {
		change(s)
	}
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

// call returns the status code and the decoded response body. The status code is 0 if the connection was closed.
func call(t *testing.T, method, url string, body any) (int, map[string]any) {
	data, _ := json.Marshal(body)
	req, _ := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(data))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	response := map[string]any{}
	_ = json.NewDecoder(resp.Body).Decode(&response)
	return resp.StatusCode, response
}

func put(t *testing.T, url, key, value, lease string, ifRevision int) (int, map[string]any) {
	return call(t, http.MethodPut, url+"/kv/"+key, map[string]any{
		"value": []byte(value), "if-revision": ifRevision, "lease": lease,
	})
}

func statusOf(code int, _ map[string]any) int { return code }

// Guards against a compare-and-swap on one revision that succeeds for two writers.
func TestCompareAndSwap(t *testing.T) {
	t.Parallel()
	url := start(t, nil)
	code, response := put(t, url, "claims/a/b", "one", "", 0)
	require.Equal(t, http.StatusOK, code)
	require.EqualValues(t, 1, response["revision"])
	code, response = put(t, url, "claims/a/b", "two", "", 0)
	require.Equal(t, http.StatusConflict, code)
	require.EqualValues(t, 1, response["revision"])
	codes := make(chan int, 8)
	for i := range 8 {
		go func() {
			code, _ := put(t, url, "claims/a/b", fmt.Sprint(i), "", 1)
			codes <- code
		}()
	}
	won := 0
	for range 8 {
		if <-codes == http.StatusOK {
			won++
		}
	}
	require.Equal(t, 1, won)
	require.Equal(t, http.StatusConflict, statusOf(call(t, http.MethodDelete, url+"/kv/claims/a/b?if-revision=1", nil)))
	require.Equal(t, http.StatusOK, statusOf(call(t, http.MethodDelete, url+"/kv/claims/a/b?if-revision=2", nil)))
	require.Equal(t, http.StatusNotFound, statusOf(call(t, http.MethodGet, url+"/kv/claims/a/b", nil)))
	_, calls := call(t, http.MethodGet, url+"/calls", nil)
	require.EqualValues(t, 10, calls["put"])
	require.EqualValues(t, 2, calls["delete"])
}

// Guards against keys that outlive their lease, renewals and writes under an expired lease, and watches that do not
// report the keys deleted with a lease.
func TestLeaseExpiry(t *testing.T) {
	t.Parallel()
	url := start(t, nil)
	_, response := call(t, http.MethodPost, url+"/leases", map[string]any{"ttl-ms": 1000})
	lease := response["lease"].(string)
	require.Equal(t, http.StatusOK, statusOf(put(t, url, "members/a", "x", lease, 0)))
	time.Sleep(600 * time.Millisecond)
	require.Equal(t, http.StatusNoContent, statusOf(call(t, http.MethodPost, url+"/leases/"+lease+"/renew", nil)))
	time.Sleep(600 * time.Millisecond)
	require.Equal(t, http.StatusOK, statusOf(call(t, http.MethodGet, url+"/kv/members/a", nil)))
	require.Equal(t, http.StatusOK, statusOf(put(t, url, "members/b", "x", lease, 0)))
	_, response = call(t, http.MethodGet, url+"/watch?prefix=members/&after=2&wait-ms=5000", nil)
	require.Len(t, response["items"], 2)
	require.Equal(t, true, response["items"].([]any)[0].(map[string]any)["deleted"])
	require.Equal(t, http.StatusNotFound, statusOf(call(t, http.MethodPost, url+"/leases/"+lease+"/renew", nil)))
	require.Equal(t, http.StatusNotFound, statusOf(put(t, url, "members/a", "x", lease, 0)))
}

// Guards against a lost response whose write did not take effect, and an outage during which writes take effect.
func TestFaults(t *testing.T) {
	t.Parallel()
	url := start(t, nil)
	call(t, http.MethodPost, url+"/faults", map[string]any{"lose-answers": 1})
	require.Zero(t, statusOf(put(t, url, "k", "lost", "", 0)))
	require.Equal(t, http.StatusOK, statusOf(call(t, http.MethodGet, url+"/kv/k", nil)))
	call(t, http.MethodPost, url+"/faults", map[string]any{"down": true})
	require.Zero(t, statusOf(put(t, url, "k", "down", "", 1)))
	call(t, http.MethodPost, url+"/faults", map[string]any{})
	_, response := call(t, http.MethodGet, url+"/kv/k", nil)
	require.EqualValues(t, 1, response["revision"])
	require.Equal(t, "bG9zdA==", response["value"])
}

// Guards against an instance list that shows changes without its lag, or while the state is frozen.
func TestInstanceLag(t *testing.T) {
	t.Parallel()
	url := start(t, func(s *platform.Server) { s.InstanceLag = time.Second })
	rows := func() int {
		_, response := call(t, http.MethodGet, url+"/instances", nil)
		return len(response["instances"].([]any))
	}
	register := func(address string) {
		row := standin.Instance{Address: address, Kind: "model", Name: "briefing", State: "live"}
		require.NoError(t, standin.Register(t.Context(), url[len("http://"):], row))
	}
	register("127.0.0.1:1")
	require.Zero(t, rows())
	require.Eventually(t, func() bool { return rows() == 1 }, 5*time.Second, 20*time.Millisecond)
	call(t, http.MethodPost, url+"/faults", map[string]any{"freeze-state": true})
	register("127.0.0.1:2")
	time.Sleep(1200 * time.Millisecond)
	require.Equal(t, 1, rows())
	call(t, http.MethodPost, url+"/faults", map[string]any{})
	require.Equal(t, 2, rows())
}

// Guards against a stand-in that comes back without a new era, with the keys and leases written since the copy, or with
// numbers that are not given out again.
func TestRestore(t *testing.T) {
	t.Parallel()
	url := start(t, nil)
	client := &keyvalue.Client{Address: strings.TrimPrefix(url, "http://"), HTTP: keyvalue.NewHTTPClient()}
	store := client.Store()
	kept, err := store.Grant(t.Context(), time.Minute)
	require.NoError(t, err)
	first, err := store.Put(t.Context(), "a", []byte("1"), kv.Revision{}, kept)
	require.NoError(t, err)
	require.Equal(t, http.StatusNoContent, statusOf(call(t, http.MethodPost, url+"/copy", nil)))
	lost, err := store.Grant(t.Context(), time.Minute)
	require.NoError(t, err)
	second, err := store.Put(t.Context(), "b", []byte("1"), kv.Revision{}, lost)
	require.NoError(t, err)
	require.Equal(t, http.StatusNoContent, statusOf(call(t, http.MethodPost, url+"/restore", nil)))

	_, _, err = store.Watch(t.Context(), "", second, time.Millisecond)
	require.Error(t, err)
	entries, revision, err := store.List(t.Context(), "")
	require.NoError(t, err)
	require.Len(t, entries, 1)
	require.Equal(t, kv.NewRevision(2, first.Number()), revision)
	repeated, err := store.Put(t.Context(), "c", []byte("1"), kv.Revision{}, kv.Lease{})
	require.NoError(t, err)
	require.Equal(t, kv.NewRevision(2, second.Number()), repeated)
	again, err := store.Grant(t.Context(), time.Minute)
	require.NoError(t, err)
	require.Equal(t, lost.ID(), again.ID())
	require.NotEqual(t, lost, again)
	require.ErrorIs(t, store.Renew(t.Context(), lost), kv.LeaseLostError{Lease: lost})
}
