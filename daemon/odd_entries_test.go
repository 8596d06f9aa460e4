package daemon

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"radishhollow/core/config"
	"radishhollow/core/kv"
	"radishhollow/core/member"
	"radishhollow/core/relay"
	"radishhollow/core/route"
	"radishhollow/io/keyvalue"
	"radishhollow/io/peer"
	"radishhollow/io/telemetry"
	"radishhollow/platform"
)

// rawStore is a store whose answers consist of items in any form. It never forgets its history.
type rawStore struct {
	mu    sync.Mutex
	items []string
}

func (s *rawStore) add(items ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = append(s.items, items...)
}

// ServeHTTP answers with all items to a list, and with those after a revision, which counts the items, to a watch.
func (s *rawStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	items := s.items
	s.mu.Unlock()
	field, after := "entries", 0
	if r.URL.Path == "/kv-watch" {
		field = "events"
		_, _ = fmt.Sscan(r.URL.Query().Get("after"), &after)
	}
	if after == len(items) {
		time.Sleep(20 * time.Millisecond)
	}
	_, _ = fmt.Fprintf(w, `{%q:[%s],"has_more":false,"current_rev":%d}`, field, strings.Join(items[after:], ","), len(items))
}

func (s *rawStore) start(t testing.TB) kv.Store {
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	store := &platform.Store{Client: &keyvalue.Client{
		Address: server.Listener.Addr().String(), HTTP: keyvalue.NewHTTPClient(), IsNotRun: platform.IsRefusal, Timeout: 5 * time.Second,
	}}
	return store.KV()
}

func newPlatformList(store kv.Store, peers *peer.Exchanger) *endpointList {
	l := newTestEndpointList()
	l.parse, l.peers = platform.DecodeListing, peers
	l.log = logrus.New()
	l.log.SetOutput(io.Discard)
	l.follower = &kv.Follower{
		Store: store, Prefix: platform.ListingPrefix, WatchWait: 100 * time.Millisecond, RelistInterval: 300 * time.Millisecond,
		Apply: l.apply, OnError: l.recordFailure, RelistDue: l.relistDue,
	}
	return l
}

func registration(port int) string {
	return fmt.Sprintf(`{"service":"s","address":"10.1.0.9:%d","zone":"z","version":"v","slots":4,"state":"ready",`+
		`"cold_left_ms":0,"sequence":1,"born":17}`, port)
}

func itemOf(key string, value []byte, revision int) string {
	quoted, _ := json.Marshal(key)
	return fmt.Sprintf(`{"key":%s,"value":%q,"revision":%d,"lease":0}`, quoted, base64.StdEncoding.EncodeToString(value), revision)
}

// oddItems returns items that name no endpoint, written after the given number of other items.
func oddItems(after int) []string {
	good := registration(99)
	values := []string{
		"", "\xff\xfe", "null", "7", "[]", strings.Repeat("[", 9_999) + strings.Repeat("]", 9_999), strings.Repeat("[", 100_000),
		strings.Replace(good, `"slots":4`, `"slots":1e400`, 1), strings.Replace(good, `"slots":4`, `"slots":1e30`, 1),
		strings.Replace(good, `"born":17`, `"born":18446744073709551616`, 1), strings.Replace(good, ":99", ":65536", 1),
		strings.Replace(good, `"cold_left_ms":0`, `"cold_left_ms":1e300`, 1), strings.Replace(good, "10.1.0.9", "0.0.0.0", 1),
		strings.Replace(good, "10.1.0.9:99", "10.1.0.9:99999999999", 1), `"` + strings.Repeat("x", 1<<20) + `"`,
	}
	var items []string
	for i, value := range values {
		items = append(items, itemOf(fmt.Sprintf("servers/odd-%d", i), []byte(value), after+len(items)+1))
	}
	for _, key := range []string{"servers/", "servers/a\nb", "servers/\u0000", "servers/" + strings.Repeat("x", 5000), "other/x", ""} {
		items = append(items, itemOf(key, []byte(good), after+len(items)+1))
	}
	items = append(
		items, "null", "[]", `{"key":7}`, "{\"key\":\"servers/\xff\",\"value\":\"?\",\"revision\":1e30}",
		`{"key":"servers/raw","value":{"a":`+strings.Repeat("[", 9_000)+strings.Repeat("]", 9_000)+`},"revision":-1}`,
	)
	for i := range 2000 {
		items = append(items, itemOf(fmt.Sprintf("servers/many-%d", i), []byte("{}"), after+len(items)+1))
	}
	return items
}

// newPeerNode returns a daemon's node and serves it to peers.
func newPeerNode(t *testing.T, serve func(context.Context, relay.Request) (relay.Response, error)) (*peer.Node, *peer.Exchanger, string) {
	node := &peer.Node{
		Address: "10.0.0.1:1", Incarnation: "1", Place: "a", Draining: func() bool { return false },
		PublishDemand: func() []member.Demand { return nil },
		Table:         &member.Table{Self: "10.0.0.1:1", PeerExpiry: time.Minute, MarkExpiry: time.Minute},
		Store:         &config.Store{}, Isolation: &member.IsolationDetector{Timeout: time.Minute}, Metrics: telemetry.New(),
	}
	node.Keys.Set([][]byte{[]byte("0123456789abcdef0123456789abcdef")})
	server := httptest.NewServer((&peer.Server{Node: node, Serve: serve, OnNewerRevision: func(string) {}}).Handler())
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	exchanger := &peer.Exchanger{
		Node: node, HTTP: peer.NewHTTPClient(node.Metrics), Seeds: []string{address}, Fanout: 1, Timeout: 5 * time.Second,
	}
	return node, exchanger, address
}

// newFollowerStore returns a relay of a daemon that is never a reader. After its first list it only asks the reader.
func newFollowerStore(direct kv.Store, ask func(context.Context, string, relay.Request) (relay.Response, error)) kv.Store {
	timings := map[string]relay.Timing{platform.ListingPrefix: relay.NewTiming(8 * time.Second)}
	direct.Watch = func(context.Context, string, kv.Revision, time.Duration) ([]kv.Entry, kv.Revision, error) {
		return nil, kv.Revision{}, kv.UnavailableError{Call: "watch"}
	}
	peers := make([]string, 400)
	for i := range peers {
		peers[i] = fmt.Sprintf("10.9.0.%d:%d", i%200+1, i+1)
	}
	relayed := &relay.Store{
		Direct: direct, Self: "10.0.0.2:1", Peers: func() []string { return peers }, Ask: ask, Timings: timings, MembersPrefix: "members/",
	}
	return relayed.KV()
}

// Guards against an odd entry of another writer that keeps a reader, a daemon that follows this reader, or one that takes
// the list from a peer from seeing the endpoints beside it, or that ends one of them.
func TestOddEntriesReachNoTable(t *testing.T) {
	raw := &rawStore{}
	raw.add(itemOf("servers/good-1", []byte(registration(1)), 1), itemOf("servers/turned", []byte(registration(2)), 2))
	raw.add(oddItems(2)...)
	direct := raw.start(t)
	reading := &relay.Store{
		Direct: direct, Self: "10.0.0.1:1", Peers: func() []string { return nil },
		Timings: map[string]relay.Timing{platform.ListingPrefix: relay.NewTiming(8 * time.Second)}, MembersPrefix: "members/",
	}
	node, exchanger, address := newPeerNode(t, reading.Serve)
	reader := newPlatformList(reading.KV(), exchanger)
	node.Listings = reader.Listings
	relayedCalls := 0
	var failures []error
	ask := func(ctx context.Context, _ string, request relay.Request) (relay.Response, error) {
		response, err := exchanger.Changes(ctx, address, request)
		relayedCalls++
		if _, compacted := errors.AsType[kv.CompactedError](err); err != nil && !compacted && ctx.Err() == nil {
			failures = append(failures, err)
		}
		return response, err
	}
	follower := newPlatformList(newFollowerStore(direct, ask), exchanger)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = reader.follower.Run(ctx) })
	require.Eventually(t, func() bool { return countEndpoints(reader) == 2 }, 10*time.Second, 10*time.Millisecond)
	group.Go(func() { _ = follower.follower.Run(ctx) })
	require.Eventually(t, func() bool { return countEndpoints(follower) == 2 }, 10*time.Second, 10*time.Millisecond)
	raw.add(itemOf("servers/turned", []byte("[[["), 9_000))
	raw.add(oddItems(10_000)...)
	raw.add(itemOf("servers/good-2", []byte(registration(3)), 20_000))
	for _, l := range []*endpointList{reader, follower} {
		require.Eventually(t, func() bool {
			return countEndpoints(l) == 2 && l.table.HasIncarnation("10.1.0.9:1", "good-1") && l.table.HasIncarnation("10.1.0.9:3", "good-2")
		}, 20*time.Second, 10*time.Millisecond)
	}
	third := newPlatformList(direct, exchanger)
	listings, revision, found := exchanger.Instances(ctx, kv.NewRevision(0, 1))
	require.True(t, found)
	third.replaceFromPeer(listings, revision)
	require.Equal(t, 2, countEndpoints(third))
	cancel()
	group.Wait()
	require.NotZero(t, relayedCalls)
	require.Empty(t, failures, "the reader must answer in spite of the odd entries")
}

// Guards against a raw item of the store that hides the other items on the way to the routing table, or ends the daemon.
func FuzzStoreItem(f *testing.F) {
	for _, item := range oddItems(2)[:26] {
		if len(item) < 1000 {
			f.Add([]byte(item))
		}
	}
	raw := &rawStore{}
	store := raw.start(f)
	f.Fuzz(func(t *testing.T, odd []byte) {
		if !json.Valid(append(append([]byte("[[[["), odd...), "]]]]"...)) || bytes.Contains(odd, []byte("good")) || len(odd) == 0 {
			return
		}
		raw.mu.Lock()
		raw.items = []string{itemOf("servers/good-1", []byte(registration(1)), 1), string(odd), itemOf("servers/good-2", []byte(registration(2)), 3)}
		raw.mu.Unlock()
		l := newPlatformList(store, nil)
		entries, revision, err := store.List(t.Context(), platform.ListingPrefix)
		require.NoError(t, err)
		l.apply(entries, revision, true)
		changes, revision, err := store.Watch(t.Context(), platform.ListingPrefix, kv.Revision{}, time.Millisecond)
		require.NoError(t, err)
		l.apply(changes, revision, false)
		require.True(t, l.table.HasIncarnation("10.1.0.9:1", "good-1"))
		require.True(t, l.table.HasIncarnation("10.1.0.9:2", "good-2"))
	})
}

// Guards against a value of a registration that hides the other endpoints or ends the daemon.
func FuzzStoreValue(f *testing.F) {
	f.Add("servers/odd", []byte(registration(3)))
	f.Add("servers/\n", []byte(`{"slots":1e400}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		entries := []kv.Entry{
			kv.NewEntry("servers/good-1", []byte(registration(1)), kv.NewRevision(0, 5), false), kv.NewEntry(key, value, kv.NewRevision(0, 4), false),
			kv.NewEntry("servers/good-2", []byte(registration(2)), kv.NewRevision(0, 6), false),
		}
		if strings.HasPrefix(key, "servers/good") {
			return
		}
		l := newPlatformList(kv.Store{}, nil)
		l.apply(entries, kv.NewRevision(0, 6), true)
		require.True(t, l.table.HasIncarnation("10.1.0.9:1", "good-1"))
		require.True(t, l.table.HasIncarnation("10.1.0.9:2", "good-2"))
		listings, _ := l.table.Listings()
		for _, listing := range listings {
			require.True(t, route.IsAddress(listing.Address))
			require.GreaterOrEqual(t, listing.WarmUp, time.Duration(0))
		}
	})
}
