package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/config"
	"radishhollow/core/member"
	"radishhollow/io/telemetry"
)

// daemon is a node with a peer server on the loopback interface.
type daemon struct {
	*Node
	exchanger *Exchanger
	draining  bool
}

func newDaemon(t *testing.T, seeds ...string) *daemon {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &daemon{}
	metrics := telemetry.New()
	d.Node = &Node{
		Address: listener.Addr().String(), Incarnation: "1", Place: "liberia",
		Draining:      func() bool { return d.draining },
		PublishDemand: func() []member.Demand { return []member.Demand{{Workspace: "w", RequestsPerSecond: 1, Concurrency: 2}} },
		Table: &member.Table{
			Self: listener.Addr().String(), PeerExpiry: time.Minute, MarkExpiry: time.Minute,
		},
		Store: &config.Store{}, Isolation: &member.IsolationDetector{Timeout: time.Minute}, Metrics: metrics,
	}
	d.exchanger = &Exchanger{Node: d.Node, HTTP: NewHTTPClient(metrics),
		Seeds: seeds, Interval: 100 * time.Millisecond, Fanout: 2, Timeout: time.Second,
	}
	server := &http.Server{
		Handler:           (&Server{Node: d.Node, OnNewerRevision: d.exchanger.EnqueueFetch}).Handler(),
		ReadHeaderTimeout: time.Second,
	}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(NewCountingListener(listener, metrics)) })
	t.Cleanup(func() {
		_ = server.Close()
		group.Wait()
	})
	return d
}

// start runs the exchanger until the test ends.
func (d *daemon) start(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.exchanger.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
	})
}

func newFleet(t *testing.T, n int) []*daemon {
	t.Helper()
	fleet := []*daemon{newDaemon(t)}
	for len(fleet) < n {
		// Each daemon has only the previous one as a seed. It must learn of the others by exchange.
		fleet = append(fleet, newDaemon(t, fleet[len(fleet)-1].Address))
	}
	return fleet
}

func document(revision uint64, place string) config.Document {
	return config.NewDocument(revision, config.Fields{SheetNumber: int(revision), Places: []string{place}})
}

func offer(t *testing.T, d *daemon, document config.Document) {
	t.Helper()
	accepted, err := d.Store.Offer(document)
	require.NoError(t, err)
	require.True(t, accepted)
}
