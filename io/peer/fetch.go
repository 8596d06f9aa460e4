package peer

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"

	"radishhollow/core/config"
	"radishhollow/core/pack"
	"radishhollow/core/transfer"
	"radishhollow/io/peer/rpc"
	"radishhollow/io/telemetry"
)

const (
	// maxQueuedFetches is the maximum number of peers in the fetch queue. A fetch from one of them is enough to catch up.
	maxQueuedFetches = 16
	// receivingCheckInterval is the time between checks whether a configuration is still arriving from elsewhere.
	receivingCheckInterval = 50 * time.Millisecond
)

// announcement is the news that a peer has a newer configuration than the one in force at that time.
type announcement struct {
	address string
	at      time.Time
	inForce uint64
}

// EnqueueFetch schedules a fetch of the configuration from a peer that has a newer one. It does nothing if the queue is
// full.
func (x *Exchanger) EnqueueFetch(address string) {
	x.initQueues()
	x.fetchQueue.TryPush(announcement{address: address, at: time.Now(), inForce: x.Node.Store.Current().Revision()})
}

func (x *Exchanger) runFetch(ctx context.Context) {
	for {
		announced, err := x.fetchQueue.Pop(ctx)
		if err != nil {
			return
		}
		if x.isStillNeeded(ctx, announced) {
			x.fetch(ctx, announced.address)
		}
	}
}

// isStillNeeded waits until an announced configuration should have arrived from elsewhere, and while one is arriving. It
// returns false if another one has come into force meanwhile; peers announce a newer one again.
func (x *Exchanger) isStillNeeded(ctx context.Context, announced announcement) bool {
	fetchAt := announced.at
	if announced.inForce != 0 {
		fetchAt = fetchAt.Add(x.FetchDelay)
	}
	for ctx.Err() == nil {
		changed := x.Node.Store.Changed()
		if x.Node.Store.Current().Revision() != announced.inForce {
			return false
		}
		pause := time.Until(fetchAt)
		if pause <= 0 {
			if x.Receiving == nil || !x.Receiving() {
				return true
			}
			pause = receivingCheckInterval
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return false
}

// fetch gets a configuration with a higher revision than the one in force. The peer returns NotFound, which
// is not counted as a failure, if this daemon has caught up with it since its address was queued.
func (x *Exchanger) fetch(ctx context.Context, address string) {
	ctx, t := transfer.New(ctx, x.Timeout, x.Timeout)
	defer t.Close()
	minRevision := x.Node.Store.Current().Revision() + 1
	response, err := x.client(address).Config(ctx, &rpc.ConfigRequest{Revision: minRevision, Packs: true})
	if x.OnTransfer != nil {
		x.OnTransfer(address, t, transfer.Cause(ctx, err))
	}
	if err != nil {
		if failed, ok := errors.AsType[twirp.Error](err); !ok || failed.Code() != twirp.NotFound {
			x.Node.Metrics.Count(telemetry.Exchanges, "failed")
		}
		return
	}
	fields := response.GetFields()
	if size := response.GetFieldsSize(); size > 0 {
		fields, err = pack.Decode(response.GetPackedFields(), nil, int(size))
	}
	var document config.Document
	if err == nil {
		document, err = config.DecodeFields(response.GetRevision(), response.GetDigest(), fields)
	}
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
