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

// Exchanger calls random peers. Use NewExchanger.
type Exchanger struct {
	node     *Node
	http     rpc.HTTPClient
	seeds    []string
	interval time.Duration
	fanout   int
	timeout  time.Duration
	ahead    *ring.Ring[string]
	news     chan struct{}
}

// Options are the settings of an Exchanger.
type Options struct {
	// Seeds are addresses that are called beside those in the table.
	Seeds []string
	// Interval is the mean pause between exchanges.
	Interval time.Duration
	// Fanout is the number of peers in each exchange.
	Fanout int
	// Timeout bounds one call.
	Timeout time.Duration
}

// NewExchanger returns an Exchanger. HTTPClient makes a suitable client.
func NewExchanger(node *Node, client rpc.HTTPClient, o Options) *Exchanger {
	return &Exchanger{
		node: node, http: client, seeds: o.Seeds, interval: o.Interval, fanout: o.Fanout, timeout: o.Timeout,
		ahead: ring.New[string](maxAhead), news: make(chan struct{}, 1),
	}
}

// Ahead asks for the configuration of a peer that has a newer one.
func (x *Exchanger) Ahead(address string) { x.ahead.TryPush(address) }

// News brings the next exchange forward, for example after a new mark.
func (x *Exchanger) News() {
	select {
	case x.news <- struct{}{}:
	default:
	}
}

// Run exchanges and fetches until ctx ends.
func (x *Exchanger) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { x.runFetch(ctx) })
	group.Go(func() { x.runExchange(ctx) })
	group.Wait()
	return ctx.Err()
}

func (x *Exchanger) runExchange(ctx context.Context) {
	for ctx.Err() == nil {
		changed := x.node.Store.Changed()
		x.round(ctx)
		if !x.wait(ctx, changed) {
			return
		}
	}
}

// wait ends after the interval, or after a fraction of it where there is news.
func (x *Exchanger) wait(ctx context.Context, changed <-chan struct{}) bool {
	early := time.NewTimer(x.interval / urgency)
	defer early.Stop()
	select {
	case <-early.C:
	case <-ctx.Done():
		return false
	}
	rest := time.NewTimer(x.interval*3/4 + rand.N(x.interval/2+1) - x.interval/urgency)
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
	list := append(x.node.Table.Addresses(), x.seeds...)
	slices.Sort(list)
	list = slices.Compact(list)
	list = slices.DeleteFunc(list, func(address string) bool { return address == x.node.Address })
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(x.fanout, len(list))]
}

func (x *Exchanger) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, x.timeout)
	defer cancel()
	w, err := x.client(address).Exchange(ctx, toWire(x.node.view()))
	if err != nil || !valid(w) {
		x.node.Metrics.Count(telemetry.Exchanges, "failed")
		return
	}
	x.node.Metrics.Count(telemetry.Exchanges, "ok")
	x.node.Reach.Contact()
	v := fromWire(w)
	if v.Address == address {
		x.node.Table.Answer(v)
	} else {
		// A daemon behind a translated address answers under its own; the call says nothing about that address.
		x.node.Table.Receive(v)
	}
	if x.node.behind(v) {
		x.Ahead(address)
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
	ctx, cancel := context.WithTimeout(ctx, x.timeout)
	defer cancel()
	next := x.node.Store.Current().Revision() + 1
	answer, err := x.client(address).Config(ctx, &rpc.ConfigRequest{Revision: next})
	if err != nil {
		if failed, ok := errors.AsType[twirp.Error](err); !ok || failed.Code() != twirp.NotFound {
			x.node.Metrics.Count(telemetry.Exchanges, "failed")
		}
		return
	}
	document, err := config.Restore(answer.GetRevision(), answer.GetDigest(), answer.GetFields())
	if err != nil {
		x.node.Metrics.Count(telemetry.Revisions, config.Refused)
		return
	}
	accepted, err := x.node.Store.Offer(document)
	switch {
	case err != nil:
		x.node.Metrics.Count(telemetry.Revisions, config.Refused)
	case accepted:
		x.node.Metrics.Count(telemetry.Revisions, config.FromPeer)
	}
}

func (x *Exchanger) client(address string) rpc.Peer {
	return rpc.NewPeerProtobufClient("http://"+address, x.http)
}
