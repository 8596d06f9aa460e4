package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"

	"radishhollow/core/config"
	"radishhollow/core/ring"
	"radishhollow/io/peer/rpc"
	"radishhollow/io/telemetry"
)

// urgency divides the interval of the exchange that follows news. A revision or a mark crosses 440 daemons in about six
// rounds, which is over the target of 2 s at one round a second.
const urgency = 5

// maxAhead bounds the peers whose configuration waits to be fetched; one is enough to catch up.
const maxAhead = 16

// Exchanger calls random peers. Fields are set before use.
type Exchanger struct {
	Node *Node
	// HTTP calls the peers; HTTPClient makes a suitable client.
	HTTP rpc.HTTPClient
	// Seeds are addresses that are called beside those in the table.
	Seeds []string
	// Interval is the mean pause between exchanges.
	Interval time.Duration
	// Fanout is the number of peers in each exchange.
	Fanout int
	// Timeout bounds one call.
	Timeout time.Duration

	once  sync.Once
	ahead *ring.Queue[string]
	news  chan struct{}
}

// prepare makes the queues, which calls from other components may reach before Run.
func (x *Exchanger) prepare() {
	x.once.Do(func() {
		x.ahead = ring.New[string](maxAhead)
		x.news = make(chan struct{}, 1)
	})
}

// EnqueueFetch asks for the configuration of a peer that has a newer one.
func (x *Exchanger) EnqueueFetch(address string) {
	x.prepare()
	x.ahead.TryPush(address)
}

// TriggerExchange brings the next exchange forward, for example after a new mark.
func (x *Exchanger) TriggerExchange() {
	x.prepare()
	select {
	case x.news <- struct{}{}:
	default:
	}
}

// Run exchanges and fetches until ctx ends.
func (x *Exchanger) Run(ctx context.Context) error {
	x.prepare()
	var group sync.WaitGroup
	group.Go(func() { x.runFetch(ctx) })
	group.Go(func() { x.runExchange(ctx) })
	group.Wait()
	return ctx.Err()
}

func (x *Exchanger) runExchange(ctx context.Context) {
	for ctx.Err() == nil {
		changed := x.Node.Store.Changed()
		x.round(ctx)
		if !x.wait(ctx, changed) {
			return
		}
	}
}

// wait ends after the interval, or after a fraction of it where there is news.
func (x *Exchanger) wait(ctx context.Context, changed <-chan struct{}) bool {
	early := time.NewTimer(x.Interval / urgency)
	defer early.Stop()
	select {
	case <-early.C:
	case <-ctx.Done():
		return false
	}
	rest := time.NewTimer(x.Interval*3/4 + rand.N(x.Interval/2+1) - x.Interval/urgency)
	defer rest.Stop()
	select {
	case <-rest.C:
	case <-changed:
	case <-x.news:
	case <-ctx.Done():
		return false
	}
	return true
}

// round exchanges with a few random peers at once, so that one that hangs does not delay the others.
func (x *Exchanger) round(ctx context.Context) {
	var group sync.WaitGroup
	for _, address := range x.targets() {
		group.Go(func() { x.exchange(ctx, address) })
	}
	group.Wait()
}

func (x *Exchanger) targets() []string {
	list := append(x.Node.Table.Addresses(), x.Seeds...)
	slices.Sort(list)
	list = slices.Compact(list)
	list = slices.DeleteFunc(list, func(address string) bool { return address == x.Node.Address })
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(x.Fanout, len(list))]
}

func (x *Exchanger) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, x.Timeout)
	defer cancel()
	w, err := x.client(address).Exchange(ctx, toWire(x.Node.view()))
	if err != nil || !valid(w) {
		x.Node.Metrics.Count(telemetry.Exchanges, "failed")
		return
	}
	x.Node.Metrics.Count(telemetry.Exchanges, "ok")
	x.Node.Isolation.RecordContact()
	v := fromWire(w)
	if v.Address == address {
		x.Node.Table.MergeResponse(v)
	} else {
		// A daemon behind a translated address answers under its own; the call says nothing about that address.
		x.Node.Table.MergeRequest(v)
	}
	if x.Node.behind(v) {
		x.EnqueueFetch(address)
	}
}

func (x *Exchanger) runFetch(ctx context.Context) {
	for {
		address, err := x.ahead.Pop(ctx)
		if err != nil {
			return
		}
		x.fetch(ctx, address)
	}
}

// fetch gets a configuration above the one in force. A queued address is stale where another fetch has caught up.
func (x *Exchanger) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, x.Timeout)
	defer cancel()
	next := x.Node.Store.Current().Revision() + 1
	answer, err := x.client(address).Config(ctx, &rpc.ConfigRequest{Revision: next})
	if err != nil {
		if failed, ok := errors.AsType[twirp.Error](err); !ok || failed.Code() != twirp.NotFound {
			x.Node.Metrics.Count(telemetry.Exchanges, "failed")
		}
		return
	}
	document, err := config.Restore(answer.GetRevision(), answer.GetDigest(), answer.GetFields())
	if err != nil {
		x.Node.Metrics.Count(telemetry.Revisions, config.Refused)
		return
	}
	accepted, err := x.Node.Store.Offer(document)
	switch {
	case err != nil:
		x.Node.Metrics.Count(telemetry.Revisions, config.Refused)
	case accepted:
		x.Node.Metrics.Count(telemetry.Revisions, config.FromPeer)
	}
}

func (x *Exchanger) client(address string) rpc.Peer {
	return rpc.NewPeerProtobufClient("http://"+address, signedClient{next: x.HTTP, keys: &x.Node.Keys})
}
