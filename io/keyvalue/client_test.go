package keyvalue_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
	"radishhollow/core/route"
	"radishhollow/io/keyvalue"
)

func clientFor(t *testing.T, handler http.HandlerFunc) *keyvalue.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return &keyvalue.Client{Address: server.Listener.Addr().String(), HTTP: keyvalue.NewHTTPClient(), Timeout: time.Second}
}

// Guards against a write that may have taken effect and is reported as one that did not.
func TestPutErrors(t *testing.T) {
	drop := func(w http.ResponseWriter) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}
	reply := func(status int, notRun, body string) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) {
			w.Header().Set("Not-Run", notRun)
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	tests := []struct {
		name               string
		reply              func(http.ResponseWriter)
		want               error
		mayHaveTakenEffect bool
	}{
		{name: "ok", reply: reply(200, "", `{"revision":7}`)},
		{name: "conflict", reply: reply(409, "", `{"revision":9}`), want: kv.ConflictError{Key: "a/b", Want: kv.NewRevision(0, 3), Current: kv.NewRevision(0, 9)}},
		{name: "lease", reply: reply(404, "", ``), want: kv.LeaseLostError{Lease: kv.NewLease(0, "l")}},
		{name: "refused before running", reply: reply(503, "1", ``)},
		{name: "unavailable", reply: reply(503, "", ``), mayHaveTakenEffect: true},
		{name: "redirect", reply: reply(307, "", ``), mayHaveTakenEffect: true},
		{name: "connection lost", reply: drop, mayHaveTakenEffect: true},
		{name: "garbage", reply: reply(200, "", `{`), mayHaveTakenEffect: true},
		{name: "too large", reply: reply(200, "", strings.Repeat(" ", 2000)), mayHaveTakenEffect: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var calls atomic.Int32
			client := clientFor(t, func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				if r.Method != http.MethodPut || r.URL.Path != "/kv/a/b" {
					w.WriteHeader(http.StatusTeapot)
					return
				}
				tt.reply(w)
			})
			client.MaxResponseBytes = 1000
			revision, err := client.Store().Put(t.Context(), "a/b", []byte("v"), kv.NewRevision(0, 3), kv.NewLease(0, "l"))
			require.EqualValues(t, 1, calls.Load(), "a write must be sent exactly once")
			unavailableError, unavailable := errors.AsType[kv.UnavailableError](err)
			switch {
			case tt.name == "ok":
				require.NoError(t, err)
				require.Equal(t, kv.NewRevision(0, 7), revision)
			case tt.want != nil:
				require.ErrorIs(t, err, tt.want)
			default:
				require.True(t, unavailable)
				require.Equal(t, tt.mayHaveTakenEffect, unavailableError.MayHaveTakenEffect)
			}
		})
	}
}

// Guards against a refused connection that is reported as a write that may have taken effect.
func TestRefusedConnection(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	client := &keyvalue.Client{Address: address, HTTP: keyvalue.NewHTTPClient()}
	err = client.Store().Delete(t.Context(), "k", kv.NewRevision(0, 1))
	unavailableError, ok := errors.AsType[kv.UnavailableError](err)
	require.True(t, ok)
	require.False(t, unavailableError.MayHaveTakenEffect)
}

// Guards against net/http repeating a write after the platform closes a reused connection.
func TestReusedConnectionSendsWriteOnce(t *testing.T) {
	var puts atomic.Int32
	client := clientFor(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && puts.Add(1) > 1 {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_ = conn.Close()
			}
			return
		}
		_, _ = w.Write([]byte(`{"revision":1}`))
	})
	store := client.Store()
	_, err := store.Put(t.Context(), "k", nil, kv.Revision{}, kv.Lease{})
	require.NoError(t, err)
	_, err = store.Put(t.Context(), "k", nil, kv.NewRevision(0, 1), kv.Lease{})
	require.Error(t, err)
	require.EqualValues(t, 2, puts.Load())
}

// Guards against a call that takes longer than its timeout because the platform never responds.
func TestTimeout(t *testing.T) {
	client := clientFor(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	client.Timeout = 50 * time.Millisecond
	begin := time.Now()
	_, err := client.Store().Get(t.Context(), "k")
	require.Error(t, err)
	require.Less(t, time.Since(begin), 5*time.Second)
}

// Guards against paths and field names that differ from the platform's published format.
func TestReadsAndInstances(t *testing.T) {
	var kinds []string
	client := clientFor(t, func(w http.ResponseWriter, r *http.Request) {
		body := map[string]string{
			"GET /kv/k":      `{"key":"k","value":"dg==","revision":4}`,
			"GET /kv":        `{"items":[{"key":"k","value":"dg==","revision":4}],"revision":8}`,
			"GET /watch":     `{"items":[{"key":"k","revision":9,"deleted":true}],"revision":9}`,
			"POST /leases":   `{"lease":"l1"}`,
			"PUT /instances": `{}`,
			"GET /instances": `{"sequence":1,"instances":[{"address":"127.0.0.1:1","kind":"entry","state":"live"},` +
				`{"address":"127.0.0.1:2","kind":"model","name":"m","state":"leaving"}]}`,
		}[r.Method+" "+r.URL.Path]
		if body == "" {
			w.WriteHeader(http.StatusNotFound)
		}
		_, _ = w.Write([]byte(body))
	})
	client.OnCall = func(kind string) { kinds = append(kinds, kind) }
	store, ctx := client.Store(), context.Background()
	entry, err := store.Get(ctx, "k")
	require.NoError(t, err)
	require.Equal(t, kv.NewEntry("k", []byte("v"), kv.NewRevision(0, 4), false), entry)
	_, err = store.Get(ctx, "other")
	require.ErrorIs(t, err, kv.NotFoundError{Key: "other"})
	entries, revision, err := store.List(ctx, "k")
	require.NoError(t, err)
	require.Len(t, entries, 1)
	require.Equal(t, kv.NewRevision(0, 8), revision)
	entries, _, err = store.Watch(ctx, "k", kv.NewRevision(0, 8), time.Millisecond)
	require.NoError(t, err)
	require.True(t, entries[0].Deleted())
	lease, err := store.Grant(ctx, time.Second)
	require.NoError(t, err)
	require.ErrorIs(t, store.Renew(ctx, lease), kv.LeaseLostError{Lease: kv.NewLease(0, "l1")})
	endpoints, daemons, err := client.Instances(ctx)
	require.NoError(t, err)
	require.Len(t, daemons, 1)
	require.Equal(t, []route.Listing{{Address: "127.0.0.1:2", Kind: route.KindModel, Name: "m", Leaving: true}}, endpoints)
	require.NoError(t, client.PutInstance(ctx, endpoints[0]))
	require.Error(t, client.DeleteInstance(ctx, "127.0.0.1:2"))
	require.Equal(t, []string{"get", "get", "list", "watch", "grant", "renew", "instances", "put-instance",
		"delete-instance"}, kinds)
}

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against requests that net/http may repeat, which are those without a body and those whose body it can rewind.
func TestRequestsCannotBeRepeated(t *testing.T) {
	calls := 0
	client := &keyvalue.Client{Address: "127.0.0.1:1", HTTP: &http.Client{
		Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
			calls++
			require.Nil(t, r.GetBody, r.URL.Path)
			require.NotNil(t, r.Body, r.URL.Path)
			require.NotEqual(t, http.NoBody, r.Body, r.URL.Path)
			return nil, http.ErrHandlerTimeout
		}),
	}}
	store := client.Store()
	_, err := store.Put(t.Context(), "k", nil, kv.Revision{}, kv.Lease{})
	require.Error(t, err)
	require.Error(t, store.Delete(t.Context(), "k", kv.NewRevision(0, 1)))
	require.Error(t, store.Renew(t.Context(), kv.NewLease(0, "l")))
	require.Error(t, store.Revoke(t.Context(), kv.NewLease(0, "l")))
	require.Equal(t, 4, calls)
}

// Guards against a server error of another process that ends all use of the service by an era which that never had.
func TestEraOfAServerErrorIsIgnored(t *testing.T) {
	era := "1"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Era", era)
		if era == "9000000" {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		_, _ = w.Write([]byte(`{"items":[],"revision":5}`))
	}))
	defer server.Close()
	client := &keyvalue.Client{Address: server.Listener.Addr().String(), HTTP: keyvalue.NewHTTPClient()}
	store := client.Store()
	_, _, err := store.List(t.Context(), "p")
	require.NoError(t, err)
	era = "9000000"
	_, _, err = store.List(t.Context(), "p")
	require.Error(t, err)
	for _, era = range []string{"1", "2"} {
		_, _, err = store.List(t.Context(), "p")
		require.NoError(t, err)
	}
}
