package daemon

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"radishhollow/core/kv"
	"radishhollow/core/member"
	"radishhollow/core/route"
	"radishhollow/io/keyvalue"
	"radishhollow/io/peer"
	"radishhollow/io/settings"
	"radishhollow/io/telemetry"
)

var platformProviders = fx.Provide(newPlatformClient, newKVStore, newInstancePoller)

func newPlatformClient(s settings.Settings, m *telemetry.Metrics, log *logrus.Logger) *keyvalue.Client {
	client := &keyvalue.Client{
		Address: s.Platform,
		HTTP:    keyvalue.NewHTTPClient(),
		Timeout: s.Timeouts.Platform.Duration,
		OnCall:  func(kind string) { m.Count(telemetry.KeyValueCalls, kind) },
	}
	reportEras(client, m, log)
	return client
}

func newKVStore(client *keyvalue.Client) kv.Store { return client.Store() }

// instancePoller polls the platform's instance list into the routing table. During an outage of the platform, it keeps
// the last list.
type instancePoller struct {
	list      *keyvalue.InstanceList
	peers     *peer.Exchanger
	table     *route.Table
	isolation *member.IsolationDetector
	interval  time.Duration
	log       *logrus.Logger
	// failing is set while the platform does not answer.
	failing bool
}

func newInstancePoller(
	s settings.Settings, client *keyvalue.Client, peers *peer.Exchanger, table *route.Table,
	isolation *member.IsolationDetector, log *logrus.Logger,
) *instancePoller {
	return &instancePoller{
		list: &keyvalue.InstanceList{Client: client}, peers: peers, table: table, isolation: isolation,
		interval: s.Timeouts.InstancePoll.Duration, log: log,
	}
}

// Run polls until ctx ends.
func (p *instancePoller) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

func (p *instancePoller) poll(ctx context.Context) {
	changed, err := p.list.Read(ctx)
	if err != nil {
		if !p.failing && ctx.Err() == nil {
			p.log.WithError(err).Warn("platform does not answer; keeping the last instance list")
		}
		p.failing = true
		p.readFromPeers(ctx)
		return
	}
	if p.failing {
		p.log.Info("platform answers again")
	}
	p.failing = false
	if changed {
		// A whole list, such as the first one of a new history, replaces the table's list at once, even if it has fewer
		// endpoints.
		p.table.Sync(p.list.Endpoints())
	}
	p.isolation.RecordContact()
}

// readFromPeers takes the instance list from a peer, so that a daemon that starts during an outage can serve.
func (p *instancePoller) readFromPeers(ctx context.Context) {
	if p.table.Synced() {
		return
	}
	if endpoints, _, known := p.peers.Instances(ctx, kv.Revision{}); known {
		p.table.Sync(endpoints)
		p.log.WithField("endpoints", len(endpoints)).Info("instance list received from a peer")
	}
}
