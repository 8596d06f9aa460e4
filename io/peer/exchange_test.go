package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/config"
	"radishhollow/core/kv"
	"radishhollow/core/member"
	"radishhollow/core/route"
	"radishhollow/io/peer/rpc"
	"radishhollow/io/telemetry"
)

// Guards against a revision that does not reach all daemons, including those that start later, while the platform is
// unavailable.
func TestFiveStoresConvergeByExchangeOnly(t *testing.T) {
	fleet := newFleet(t, 5)
	for _, d := range fleet {
		d.start(t)
	}
	for revision := uint64(1); revision <= 3; revision++ {
		want := document(revision, "liberia")
		offer(t, fleet[revision], want)
		require.Eventually(t, func() bool {
			for _, d := range fleet {
				if d.Store.Current().Digest() != want.Digest() {
					return false
				}
			}
			return true
		}, 5*time.Second, 10*time.Millisecond, "revision %d does not reach all daemons", revision)
	}
	late := newDaemon(t, fleet[0].Address)
	late.start(t)
	require.Eventually(t, func() bool { return late.Store.Current().Revision() == 3 }, 5*time.Second, 10*time.Millisecond)
	require.EqualValues(t, 1, late.Metrics.Value(telemetry.Revisions, config.FromPeer))
	require.Eventually(t, func() bool { return len(late.Table.Peers()) == 5 }, 5*time.Second, 10*time.Millisecond,
		"members do not spread by exchange")
}

func TestExchangeSpreadsMarksDrainAndDemand(t *testing.T) {
	fleet := newFleet(t, 3)
	fleet[0].draining = true
	fleet[0].Table.Mark("127.0.0.9:1", "7", true)
	for _, d := range fleet {
		d.start(t)
	}
	last := fleet[2]
	require.Eventually(t, func() bool {
		mark, found := last.Table.Marked("127.0.0.9:1", "7")
		for _, p := range last.Table.Peers() {
			if p.Address() == fleet[0].Address {
				return found && mark.Dead && p.Draining() && len(p.Demand(time.Minute)) == 1
			}
		}
		return false
	}, 5*time.Second, 10*time.Millisecond)
	require.False(t, last.Isolation.Isolated())
	require.Positive(t, last.Metrics.Value(telemetry.ControlBytes, "sent"))
	require.Positive(t, last.Metrics.Value(telemetry.ControlBytes, "received"))
}

// Guards against two documents of the same revision that replace each other or are not counted.
func TestExchangeCountsAForkAndKeepsBoth(t *testing.T) {
	fleet := newFleet(t, 2)
	offer(t, fleet[0], document(1, "liberia"))
	offer(t, fleet[1], document(1, "canas"))
	fleet[1].exchanger.round(t.Context())
	require.Positive(t, fleet[1].Metrics.Value(telemetry.Revisions, config.Refused))
	require.Equal(t, []string{"canas"}, fleet[1].Store.Current().Fields().Places)
	require.Equal(t, []string{"liberia"}, fleet[0].Store.Current().Fields().Places)
}

// faultyPeer announces a revision whose document has a different digest, and returns malformed rows of the instance
// list.
type faultyPeer struct{ address string }

func (p *faultyPeer) Exchange(context.Context, *rpc.View) (*rpc.View, error) {
	return &rpc.View{Address: p.address, Incarnation: "1", Revision: 9, Digest: "d"}, nil
}

func (*faultyPeer) Changes(context.Context, *rpc.ChangesRequest) (*rpc.ChangeList, error) {
	return &rpc.ChangeList{}, nil
}

func (p *faultyPeer) Config(context.Context, *rpc.ConfigRequest) (*rpc.ConfigDocument, error) {
	return &rpc.ConfigDocument{Revision: 9, Digest: "d", Fields: []byte(`{"sheet-number":9}`)}, nil
}

func (p *faultyPeer) Instances(context.Context, *rpc.InstancesRequest) (*rpc.InstanceList, error) {
	return &rpc.InstanceList{Instances: []*rpc.Instance{
		{Address: "localhost:80"}, {Address: "127.0.0.1:1", Kind: "model", Name: strings.Repeat("n", maxStringBytes+1)},
		{Address: "127.0.0.1:2", Incarnation: "1", Place: "p", Kind: "model", Name: "briefing", Leaving: true},
	}}, nil
}

// Guards against an instance list that loses a field in transfer, contains malformed rows, or comes from a peer that
// has not read one.
func TestInstancesComeFromAPeerThatHasReadThem(t *testing.T) {
	withoutList := newDaemon(t)
	withoutList.Listings = func() ([]route.Listing, kv.Revision, bool) { return nil, kv.Revision{}, false }
	_, err := (&Server{Node: withoutList.Node}).Instances(t.Context(), &rpc.InstancesRequest{})
	require.Error(t, err)
	server := httptest.NewServer(rpc.NewPeerServer(&faultyPeer{}))
	defer server.Close()
	d := newDaemon(t, strings.TrimPrefix(server.URL, "http://"))
	list, _, known := d.exchanger.Instances(t.Context(), kv.Revision{})
	require.True(t, known)
	require.Equal(t, []route.Listing{{
		Address: "127.0.0.1:2", Incarnation: "1", Place: "p", Kind: route.KindModel, Name: "briefing", Leaving: true,
	}}, list)
	d.Listings = func() ([]route.Listing, kv.Revision, bool) { return list, kv.Revision{}, true }
	response, err := (&Server{Node: d.Node}).Instances(t.Context(), &rpc.InstancesRequest{})
	require.NoError(t, err)
	require.Len(t, response.GetInstances(), 1)
	require.True(t, response.GetInstances()[0].GetLeaving())
}

func TestFetchRejectsADocumentWithADifferentDigest(t *testing.T) {
	faulty := &faultyPeer{}
	server := httptest.NewServer(rpc.NewPeerServer(faulty))
	defer server.Close()
	faulty.address = strings.TrimPrefix(server.URL, "http://")
	d := newDaemon(t, faulty.address)
	d.start(t)
	require.Eventually(t, func() bool {
		return d.Metrics.Value(telemetry.Revisions, config.Refused) > 0
	}, 5*time.Second, 10*time.Millisecond)
	require.Zero(t, d.Store.Current().Revision())
}

func TestConfigReturnsOnlyTheRequestedRevisionOrALaterOne(t *testing.T) {
	d := newDaemon(t)
	server := &Server{Node: d.Node}
	_, err := server.Config(t.Context(), &rpc.ConfigRequest{})
	require.Error(t, err, "a daemon without a configuration must return an error")
	offer(t, d, document(2, "liberia"))
	_, err = server.Config(t.Context(), &rpc.ConfigRequest{Revision: 3})
	require.Error(t, err)
	response, err := server.Config(t.Context(), &rpc.ConfigRequest{Revision: 1})
	require.NoError(t, err)
	require.EqualValues(t, 2, response.GetRevision())
}

func TestServerRejectsMalformedViews(t *testing.T) {
	d := newDaemon(t)
	server := &Server{Node: d.Node, OnNewerRevision: d.exchanger.EnqueueFetch}
	for name, view := range map[string]*rpc.View{
		"no address":  {},
		"host name":   {Address: "localhost:80"},
		"member":      {Address: "127.0.0.1:1", Members: []*rpc.Member{{Address: "x"}}},
		"mark":        {Address: "127.0.0.1:1", Marks: []*rpc.Mark{{Address: "x"}}},
		"long digest": {Address: "127.0.0.1:1", Digest: strings.Repeat("d", maxStringBytes+1)},
		"demand":      {Address: "127.0.0.1:1", Demand: []*rpc.Demand{{RequestsPerSecond: -1}}},
		"items":       {Address: "127.0.0.1:1", Marks: make([]*rpc.Mark, maxReceivedItems+1)},
	} {
		_, err := server.Exchange(t.Context(), view)
		require.Error(t, err, name)
	}
	require.Empty(t, d.Table.Peers())
	response, err := http.Post("http://"+d.Address+"/twirp/radishhollow.peer.Peer/Exchange", "application/json",
		strings.NewReader(strings.Repeat(" ", maxRequestBytes+1)+"{}"))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.GreaterOrEqual(t, response.StatusCode, 400)
}

// Guards against a peer that hangs and thereby delays the exchange with the other peers.
func TestExchangeContinuesDespiteAHangingPeer(t *testing.T) {
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-done }))
	defer server.Close()
	defer close(done)
	good := newDaemon(t)
	offer(t, good, document(1, "liberia"))
	d := newDaemon(t, strings.TrimPrefix(server.URL, "http://"), good.Address)
	d.start(t)
	require.Eventually(t, func() bool { return d.Store.Current().Revision() == 1 }, 5*time.Second, 10*time.Millisecond)
}

func TestViewsKeepTheirAgesOnTheWire(t *testing.T) {
	v := member.View{
		Address: "127.0.0.1:1", Incarnation: "2", Place: "p", Draining: true, Revision: 3, Digest: "d",
		Demand:  []member.Demand{{Workspace: "w", RequestsPerSecond: 1, TokensPerSecond: 2, Concurrency: 3}},
		Marks:   []member.Mark{{Address: "a", Incarnation: "1", Dead: true, Age: time.Second}},
		Members: []member.Member{{Address: "b", Incarnation: "1", Place: "p", Revision: 2, Draining: true, Age: time.Minute}},
	}
	got := fromWire(toWire(v))
	require.Equal(t, time.Second+time.Millisecond, got.Marks[0].Age, "an age must grow with every transfer")
	got.Marks[0].Age, got.Members[0].Age = time.Second, time.Minute
	require.Equal(t, v, got)
}
