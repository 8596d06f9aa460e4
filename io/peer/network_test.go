package peer

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/config"
	"radishhollow/core/member"
	"radishhollow/io/telemetry"
)

// network connects nodes without sockets, so that they can run in a synctest bubble.
type network struct {
	mu           sync.Mutex
	handlers     map[string]http.Handler
	disconnected map[string]bool
	calls        map[string][]time.Time
}

// Do implements rpc.HTTPClient.
func (n *network) Do(request *http.Request) (*http.Response, error) {
	n.mu.Lock()
	handler, disconnected := n.handlers[request.URL.Host], n.disconnected[request.URL.Host]
	n.calls[request.URL.Host] = append(n.calls[request.URL.Host], time.Now())
	n.mu.Unlock()
	if handler == nil || disconnected {
		return nil, context.DeadlineExceeded
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

func (n *network) callTimes(address string) []time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[address]
}

func (n *network) setDisconnected(address string, disconnected bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected[address] = disconnected
}

func (n *network) addNode(i int, seeds ...string) (*Node, *Exchanger) {
	address := fmt.Sprintf("10.0.%d.%d:1", i/200, i%200+1)
	node := &Node{
		Address: address, Incarnation: "1", Place: "liberia",
		Draining: func() bool { return false }, PublishDemand: func() []member.Demand { return nil },
		Table: &member.Table{Self: address, PeerExpiry: time.Minute, MarkExpiry: 10 * time.Minute},
		Store: &config.Store{}, Isolation: &member.IsolationDetector{Timeout: 15 * time.Second}, Metrics: telemetry.New(),
	}
	x := &Exchanger{Node: node, HTTP: n, Seeds: seeds, Interval: time.Second, Fanout: 2, Timeout: time.Second}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = (&Server{Node: node, OnNewerRevision: x.EnqueueFetch}).Handler()
	return node, x
}

func newNetwork() *network {
	return &network{handlers: map[string]http.Handler{}, disconnected: map[string]bool{}, calls: map[string][]time.Time{}}
}

func runAll(exchangers ...*Exchanger) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, x := range exchangers {
		group.Go(func() { _ = x.Run(ctx) })
	}
	return func() {
		cancel()
		group.Wait()
	}
}

func TestTriggerStartsTheNextExchangeEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		b, _ := n.addNode(2)
		a, x := n.addNode(1, b.Address)
		defer runAll(x)()
		time.Sleep(10 * time.Second)
		regularCalls := len(n.callTimes(b.Address))
		require.InDelta(t, 10, regularCalls, 3, "without a trigger there is about one exchange per second")
		x.TriggerExchange()
		time.Sleep(time.Second/triggeredDivisor + time.Millisecond)
		require.Len(t, n.callTimes(b.Address), regularCalls+1)
		for range 100 {
			x.TriggerExchange()
			time.Sleep(10 * time.Millisecond)
		}
		require.LessOrEqual(t, len(n.callTimes(b.Address)), regularCalls+2+triggeredDivisor,
			"triggers must not raise the rate above its maximum")
		require.Empty(t, n.callTimes(a.Address), "a daemon must not call itself")
	})
}

// Guards against a daemon that starts, knows no peer in its first exchange, and serves requests without what its peers
// know until the next one.
func TestFirstPeerIsCalledAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		b, _ := n.addNode(2)
		a, x := n.addNode(1)
		defer runAll(x)()
		time.Sleep(time.Millisecond)
		a.Table.SetListed([]member.Member{{Address: b.Address, Incarnation: "1"}})
		x.TriggerExchange()
		time.Sleep(time.Millisecond)
		require.Len(t, n.callTimes(b.Address), 1)
	})
}

// Guards against a new revision that is not sent before the next regular exchange.
func TestRevisionStartsTheNextExchangeEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		b, _ := n.addNode(2)
		a, x := n.addNode(1, b.Address)
		defer runAll(x)()
		for revision := uint64(1); revision <= 20; revision++ {
			time.Sleep(5 * time.Second)
			calls := len(n.callTimes(b.Address))
			_, err := a.Store.Offer(document(revision, "liberia"))
			require.NoError(t, err)
			time.Sleep(time.Second/triggeredDivisor + time.Millisecond)
			require.Greater(t, len(n.callTimes(b.Address)), calls)
		}
	})
}

func TestIsolationBeginsAndEndsWithThePeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		b, _ := n.addNode(2)
		a, x := n.addNode(1, b.Address)
		defer runAll(x)()
		time.Sleep(time.Second)
		require.False(t, a.Isolation.Isolated())
		n.setDisconnected(b.Address, true)
		time.Sleep(2 * time.Minute)
		require.True(t, a.Isolation.Isolated())
		require.Empty(t, a.Table.Peers(), "a silent peer that the platform does not list must be removed")
		n.setDisconnected(b.Address, false)
		time.Sleep(3 * time.Second)
		require.False(t, a.Isolation.Isolated(), "a seed must still be called after it was removed from the table")
	})
}

// Guards against a revision or a mark that does not reach the whole fleet by exchange within the targets of 5 s and
// 2 s.
func TestChangesReachAFleetByExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		nodes := make([]*Node, fleetSize)
		exchangers := make([]*Exchanger, fleetSize)
		for i := range nodes {
			nodes[i], exchangers[i] = n.addNode(i, "10.0.0.1:1", "10.0.0.2:1")
			nodes[i].Table.OnMark = func(member.Mark) { exchangers[i].TriggerExchange() }
		}
		defer runAll(exchangers...)()
		time.Sleep(20 * time.Second)
		accepted, err := nodes[7].Store.Offer(document(1, "liberia"))
		require.NoError(t, err)
		require.True(t, accepted)
		nodes[9].Table.Mark("10.9.9.9:1", "3", false)
		time.Sleep(2 * time.Second)
		for _, node := range nodes {
			require.EqualValues(t, 1, node.Store.Current().Revision(), node.Address)
			_, found := node.Table.Marked("10.9.9.9:1", "3")
			require.True(t, found, node.Address)
		}
	})
}

// fleetSize is large enough that a change needs several rounds, and small enough for the race detector.
const fleetSize = 60
