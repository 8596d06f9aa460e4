package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"radishhollow/core/guard"
	"radishhollow/core/ring"
	"radishhollow/core/transfer"
	"radishhollow/io/peer/rpc"
	"radishhollow/io/telemetry"
)

// triggeredDivisor limits how early a change triggers an exchange: Interval/triggeredDivisor after the previous one. A
// revision or a mark reaches 440 daemons in about six rounds, which at one round per second would exceed the target of
// 2 s.
const triggeredDivisor = 5

// Exchanger exchanges views with random peers and fetches newer configurations from them. Its exported fields must be
// set before use. It is safe for concurrent use.
type Exchanger struct {
	Node *Node
	// HTTP sends the calls to the peers. NewHTTPClient returns a suitable client.
	HTTP rpc.HTTPClient
	// Seeds are addresses that are called in addition to those in the table.
	Seeds []string
	// Interval is the mean time between exchanges without a change to send.
	Interval time.Duration
	// Fanout is the number of peers that are called in each exchange.
	Fanout int
	// Timeout limits the duration of one call. The fetch of a configuration may take longer as long as it progresses.
	Timeout time.Duration
	// FetchDelay is the time for which a daemon with a configuration waits for a newer one from elsewhere before it fetches it
	// from the peer that has it. A document that arrives twice on a narrow link arrives late.
	FetchDelay time.Duration
	// Receiving reports whether a configuration is arriving from elsewhere. It may be nil.
	Receiving func() bool
	// OnTransfer is called after each fetch of a configuration with the peer's address and the transfer of its response. It
	// may be nil.
	OnTransfer func(address string, t *transfer.Transfer, err error)

	initOnce   sync.Once
	fetchQueue *ring.Queue[announcement]
	trigger    chan struct{}
}

// initQueues creates the fetch queue and the trigger when it is first called. EnqueueFetch and TriggerExchange call it
// too, because other components may use them before Run.
func (x *Exchanger) initQueues() {
	x.initOnce.Do(func() {
		x.fetchQueue = ring.New[announcement](maxQueuedFetches)
		x.trigger = make(chan struct{}, 1)
	})
}

// TriggerExchange makes the next exchange start earlier, for example after a new mark or new evidence.
func (x *Exchanger) TriggerExchange() {
	x.initQueues()
	select {
	case x.trigger <- struct{}{}:
	default:
	}
}

// Run exchanges views and fetches configurations until ctx ends.
func (x *Exchanger) Run(ctx context.Context) error {
	x.initQueues()
	return guard.Run(ctx, x.runFetch, x.runExchange)
}

func (x *Exchanger) runExchange(ctx context.Context) {
	for ctx.Err() == nil {
		// Changed is called before the round, so that a revision that arrives during the round triggers the next one.
		changed := x.Node.Store.Changed()
		minDelay := x.Interval / triggeredDivisor
		if x.round(ctx) == 0 {
			// A daemon that starts exchanges as soon as it knows a peer.
			minDelay = 0
		}
		if !x.wait(ctx, minDelay, changed) {
			return
		}
	}
}

// wait returns after the interval with jitter, or after minDelay if there is a change to send. It returns false if ctx has
// ended.
func (x *Exchanger) wait(ctx context.Context, minDelay time.Duration, changed <-chan struct{}) bool {
	earliest := time.NewTimer(minDelay)
	defer earliest.Stop()
	select {
	case <-earliest.C:
	case <-ctx.Done():
		return false
	}
	remaining := time.NewTimer(x.Interval*3/4 + rand.N(x.Interval/2+1) - minDelay)
	defer remaining.Stop()
	select {
	case <-remaining.C:
	case <-changed:
	case <-x.trigger:
	case <-ctx.Done():
		return false
	}
	return true
}

// round exchanges views with a few random peers concurrently, so that a peer that hangs does not delay the others. It
// returns the number of peers that it called.
func (x *Exchanger) round(ctx context.Context) int {
	var group sync.WaitGroup
	addresses := x.randomAddresses()
	for _, address := range addresses {
		group.Go(func() {
			if err := guard.Call(func() error { x.exchange(ctx, address); return nil }, nil); err != nil {
				x.Node.Metrics.Count(telemetry.Panics, "exchange")
			}
		})
	}
	group.Wait()
	return len(addresses)
}

func (x *Exchanger) randomAddresses() []string {
	addresses := append(x.Node.Table.Addresses(), x.Seeds...)
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == x.Node.Address })
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(x.Fanout, len(addresses))]
}

func (x *Exchanger) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, x.Timeout)
	defer cancel()
	w, err := x.client(address).Exchange(ctx, toWire(x.Node.view()))
	if err != nil || !isValidView(w) {
		x.Node.Metrics.Count(telemetry.Exchanges, "failed")
		return
	}
	x.Node.Metrics.Count(telemetry.Exchanges, "ok")
	x.Node.Isolation.RecordContact()
	v := fromWire(w)
	if v.Address == address {
		x.Node.Table.MergeResponse(v)
	} else {
		// Behind address translation, a daemon states an address other than the one that was called. Its response then
		// does not prove that it is the current incarnation at the address that it states.
		x.Node.Table.MergeRequest(v)
	}
	x.Node.mergeEvidence(v.Evidence)
	x.Node.mergeLimits(v.Limits)
	x.Node.mergeRollouts(v.Rollouts)
	x.Node.mergeObservations(v.Observations)
	x.Node.mergeHistories(v.Histories)
	if x.Node.observeRevisions(v) {
		x.EnqueueFetch(address)
	}
}

func (x *Exchanger) client(address string) rpc.Peer {
	return rpc.NewPeerProtobufClient("http://"+address, signingClient{next: x.HTTP, keys: &x.Node.Keys})
}
