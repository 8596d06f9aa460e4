package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"radishhollow/core/config"
	"radishhollow/io/peer"
	"radishhollow/io/peer/rpc"
	"radishhollow/io/telemetry"
)

// Sizes of a generated view, those of a real one.
const (
	viewMembers = 8
	viewDemand  = 16
	viewMarks   = 16
	// pooledPeers is the number of idle connections that a daemon keeps to its peers.
	pooledPeers = 16
)

// fakePeer answers and makes exchanges with generated content under many addresses.
type fakePeer struct {
	addresses  []string
	workspaces int
	// marks is the number of marks in each view.
	marks int
	// store holds the configuration that the peers show as in force.
	store  *config.Store
	random *source
}

// source is a seeded source of random numbers for concurrent use.
type source struct {
	mu   sync.Mutex
	rand *rand.Rand
}

func newSource(seed uint64) *source { return &source{rand: rand.New(rand.NewPCG(seed, 0))} }

// n returns a number below limit.
func (s *source) n(limit int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(limit)
}

// at returns the fake of one address.
func (p *fakePeer) at(i int) rpc.Peer { return &peerAt{p, i} }

type peerAt struct {
	*fakePeer

	index int
}

// Exchange implements rpc.Peer.
func (p *peerAt) Exchange(context.Context, *rpc.View) (*rpc.View, error) { return p.view(p.index), nil }

// Config implements rpc.Peer.
func (p *peerAt) Config(context.Context, *rpc.ConfigRequest) (*rpc.ConfigDocument, error) {
	return &rpc.ConfigDocument{}, nil
}

// Instances implements rpc.Peer.
func (p *peerAt) Instances(context.Context, *rpc.InstancesRequest) (*rpc.InstanceList, error) {
	return &rpc.InstanceList{}, nil
}

func (p *fakePeer) view(i int) *rpc.View {
	current := p.store.Current()
	v := &rpc.View{
		Address: p.addresses[i], Incarnation: peerIncarnation, Place: placeName(i % 4),
		Revision: current.Revision(), Digest: current.Digest(),
	}
	for range min(viewMembers, len(p.addresses)) {
		k := p.random.n(len(p.addresses))
		v.Members = append(v.Members, &rpc.Member{
			Address: p.addresses[k], Incarnation: peerIncarnation, Place: placeName(k % 4), Revision: current.Revision(),
			AgeMs: uint32(p.random.n(3000)),
		})
	}
	for range min(viewDemand, p.workspaces) {
		v.Demand = append(v.Demand, &rpc.Demand{
			Workspace: fmt.Sprintf("workspace-%d", p.random.n(p.workspaces)), RequestsPerSecond: float64(p.random.n(1000)) / 1000,
			TokensPerSecond: float64(p.random.n(400)), Concurrency: uint32(p.random.n(20)),
		})
	}
	for k := range min(viewMarks, p.marks) {
		v.Marks = append(v.Marks, &rpc.Mark{
			Address: fakeAddress(endpointBlock, k, 7320), Incarnation: "past-" + strconv.Itoa(k),
			Dead: true, AgeMs: 10_000,
		})
	}
	return v
}

// peerIncarnation has the length of a real one.
const peerIncarnation = "1764800000000000000"

// runCalls calls the daemon as often as its peers do together: each calls fanout of n others once a second. A peer
// finds a pooled connection where the daemon is among the last that it called.
func (p *fakePeer) runCalls(ctx context.Context, daemon string, fanout int) {
	n := len(p.addresses)
	if n == 0 {
		return
	}
	pooled := peer.NewHTTPClient(telemetry.New())
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	defer pooled.CloseIdleConnections()
	pause := time.Second / time.Duration(min(fanout, n))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause/2 + time.Duration(p.random.n(int(pause)))):
		}
		client := fresh
		if p.random.n(n) < pooledPeers {
			client = pooled
		}
		call, cancel := context.WithTimeout(ctx, time.Second)
		_, _ = rpc.NewPeerProtobufClient("http://"+daemon, client).Exchange(call, p.view(p.random.n(n)))
		cancel()
	}
}
