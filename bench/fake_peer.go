package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"radishhollow/core/config"
	"radishhollow/io/peer"
	"radishhollow/io/peer/rpc"
	"radishhollow/io/telemetry"
)

// Numbers of entries in a generated view, equal to those in a real view.
const (
	membersPerView = 8
	demandPerView  = 16
	marksPerView   = 16
	// pooledConnections is the number of idle connections that a daemon keeps to its peers.
	pooledConnections = 16
)

// fakePeerGroup simulates many peers: it serves and starts exchanges with generated views.
type fakePeerGroup struct {
	addresses  []string
	workspaces int
	// marks is the number of marks in each view, at most marksPerView.
	marks int
	// store holds the configuration that the peers report as in force.
	store  *config.Store
	random *lockedRand
}

// lockedRand is a seeded random number generator for concurrent use.
type lockedRand struct {
	mu   sync.Mutex
	rand *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand { return &lockedRand{rand: rand.New(rand.NewPCG(seed, 0))} }

// intN returns a random number in [0, limit).
func (r *lockedRand) intN(limit int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.IntN(limit)
}

// server returns the RPC handler of the peer with index i.
func (p *fakePeerGroup) server(i int) rpc.Peer { return &fakePeerServer{p, i} }

type fakePeerServer struct {
	*fakePeerGroup

	index int
}

// Exchange returns a generated view of the peer.
func (p *fakePeerServer) Exchange(context.Context, *rpc.View) (*rpc.View, error) {
	return p.view(p.index), nil
}

// Config returns an empty document.
func (p *fakePeerServer) Config(context.Context, *rpc.ConfigRequest) (*rpc.ConfigDocument, error) {
	return &rpc.ConfigDocument{}, nil
}

// Changes answers that the peer passes on no changes.
func (p *fakePeerServer) Changes(context.Context, *rpc.ChangesRequest) (*rpc.ChangeList, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "this peer passes on no changes")
}

// Instances returns an empty list.
func (p *fakePeerServer) Instances(context.Context, *rpc.InstancesRequest) (*rpc.InstanceList, error) {
	return &rpc.InstanceList{}, nil
}

func (p *fakePeerGroup) view(i int) *rpc.View {
	current := p.store.Current()
	v := &rpc.View{
		Address: p.addresses[i], Incarnation: peerIncarnation, Place: placeName(i % 4),
		Revision: current.Revision(), Digest: current.Digest(),
	}
	for range min(membersPerView, len(p.addresses)) {
		k := p.random.intN(len(p.addresses))
		v.Members = append(v.Members, &rpc.Member{
			Address: p.addresses[k], Incarnation: peerIncarnation, Place: placeName(k % 4), Revision: current.Revision(),
			AgeMs: uint32(p.random.intN(3000)),
		})
	}
	for range min(demandPerView, p.workspaces) {
		v.Demand = append(v.Demand, &rpc.Demand{
			Workspace: fmt.Sprintf("workspace-%d", p.random.intN(p.workspaces)), RequestsPerSecond: float64(p.random.intN(1000)) / 1000,
			TokensPerSecond: float64(p.random.intN(400)), Concurrency: uint32(p.random.intN(20)),
		})
	}
	for k := range min(marksPerView, p.marks) {
		v.Marks = append(v.Marks, &rpc.Mark{
			Address: fakeAddress(endpointBlock, k, 7320), Incarnation: "past-" + strconv.Itoa(k),
			Dead: true, AgeMs: 10_000,
		})
	}
	return v
}

// peerIncarnation is as long as a real incarnation, so that messages have realistic sizes.
const peerIncarnation = "1764800000000000000"

// runCalls calls the daemon as often as all its peers together would: each of the n peers calls fanout others once per
// second. A peer reuses a pooled connection if the daemon is among the pooledConnections peers that it called last.
func (p *fakePeerGroup) runCalls(ctx context.Context, daemon string, fanout int) {
	n := len(p.addresses)
	if n == 0 {
		return
	}
	pooled := peer.NewHTTPClient(telemetry.New())
	unpooled := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	defer pooled.CloseIdleConnections()
	interval := time.Second / time.Duration(min(fanout, n))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval/2 + time.Duration(p.random.intN(int(interval)))):
		}
		client := unpooled
		if p.random.intN(n) < pooledConnections {
			client = pooled
		}
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		_, _ = rpc.NewPeerProtobufClient("http://"+daemon, client).Exchange(callCtx, p.view(p.random.intN(n)))
		cancel()
	}
}
