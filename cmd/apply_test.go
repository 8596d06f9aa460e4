package cmd

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/config"
	"radishhollow/core/kv"
	"radishhollow/core/member"
	"radishhollow/io/operator"
	"radishhollow/io/peer"
	"radishhollow/io/telemetry"
)

// newMemoryKV returns an in-memory key-value store that holds a single key.
func newMemoryKV() kv.Store {
	var mu sync.Mutex
	var current kv.Entry
	return kv.Store{
		Get: func(context.Context, string) (kv.Entry, error) {
			mu.Lock()
			defer mu.Unlock()
			if current.Revision().IsZero() {
				return current, kv.NotFoundError{}
			}
			return current, nil
		},
		Put: func(_ context.Context, key string, value []byte, ifRevision kv.Revision, _ kv.Lease) (kv.Revision, error) {
			mu.Lock()
			defer mu.Unlock()
			if ifRevision != current.Revision() {
				return kv.Revision{}, kv.ConflictError{}
			}
			current = kv.NewEntry(key, value, ifRevision.Next(), false)
			return current.Revision(), nil
		},
	}
}

// startNode runs the peer exchange of one daemon until the test ends.
func startNode(t *testing.T, seeds ...string) *peer.Node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	node := &peer.Node{
		Address: address, Incarnation: "1", Place: "liberia", Draining: func() bool { return false },
		PublishDemand: func() []member.Demand { return nil }, Metrics: telemetry.New(), Store: &config.Store{},
		Table:     &member.Table{Self: address, PeerExpiry: time.Minute, MarkExpiry: time.Minute},
		Isolation: &member.IsolationDetector{Timeout: time.Minute},
	}
	exchanger := &peer.Exchanger{Node: node, HTTP: peer.NewHTTPClient(node.Metrics),
		Seeds: seeds, Interval: 100 * time.Millisecond, Fanout: 2, Timeout: time.Second,
	}
	server := &http.Server{Handler: (&peer.Server{Node: node, OnNewerRevision: exchanger.EnqueueFetch}).Handler(), ReadHeaderTimeout: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	group.Go(func() { _ = exchanger.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
		group.Wait()
	})
	return node
}

// Guards against an apply that exits with 0 before every known instance has the revision; operators rely on the exit
// code.
func TestApplyWaitsForEveryInstance(t *testing.T) {
	t.Setenv(operatorKeyEnv, "k")
	first := startNode(t)
	for range 4 {
		startNode(t, first.Address)
	}
	server := httptest.NewServer((&operator.Server{KeyDigest: config.KeyDigest("k"), Node: first, Writer: &config.Writer{
		KV: newMemoryKV(), InForce: first.Store.Current, NewID: func() string { return time.Now().String() },
	}}).Handler())
	defer server.Close()
	entry := strings.TrimPrefix(server.URL, "http://")
	require.Eventually(t, func() bool { return len(first.Table.Peers()) == 4 }, 5*time.Second, 10*time.Millisecond)

	code, stdout, stderr := runSheet(t, "apply", "../examples/kjaergaard.csv", "--entry", entry, "--base", "0")
	require.Equal(t, ExitOK, code, stderr)
	require.Equal(t, 5, strings.Count(stdout, "liberia        revision 1 "), stdout)

	// The platform lists one more instance, which never responds.
	first.Table.SetListed([]member.Member{{Address: "127.0.0.1:1", Incarnation: "1", Place: "canas"}})
	data, err := os.ReadFile("../examples/kjaergaard.csv")
	require.NoError(t, err)
	secondSheet := filepath.Join(t.TempDir(), "second.csv")
	require.NoError(t, os.WriteFile(secondSheet, []byte(strings.Replace(string(data), ";1\r\n", ";2\r\n", 1)), 0o600))
	code, _, stderr = runSheet(t, "apply", secondSheet, "--entry", entry, "--wait", "1s")
	require.Equal(t, ExitFailed, code)
	require.Contains(t, stderr, "1 of 6 instances lack revision 2 after 1s: 127.0.0.1:1;")
}
