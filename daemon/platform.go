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

var platformParts = fx.Provide(newPlatform, newKV, newInstances)

func newPlatform(s settings.Settings, m *telemetry.Metrics) *keyvalue.Client {
	return &keyvalue.Client{
		Address: s.Platform,
		HTTP:    keyvalue.NewHTTPClient(),
		Timeout: s.Timeouts.Platform.Duration,
		OnCall:   func(kind string) { m.Count(telemetry.KeyValueCalls, kind) },
	}
}

func newKV(client *keyvalue.Client) kv.Store { return client.Store() }

// instances reads the platform's instance list into the table of endpoints. During an outage the last list stays.
type instances struct {
	list     *keyvalue.InstanceList
	peers    *peer.Exchanger
	table    *route.Table
	reach    *member.IsolationDetector
	interval time.Duration
	log      *logrus.Logger
	failing  bool
}

func newInstances(
	s settings.Settings, client *keyvalue.Client, peers *peer.Exchanger, table *route.Table, reach *member.IsolationDetector,
	log *logrus.Logger,
) *instances {
	return &instances{
		list: &keyvalue.InstanceList{Client: client}, peers: peers, table: table, reach: reach,
		interval: s.Timeouts.InstancePoll.Duration, log: log,
	}
}

// Run polls until ctx ends.
func (i *instances) Run(ctx context.Context) error {
	ticker := time.NewTicker(i.interval)
	defer ticker.Stop()
	for {
		i.read(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

func (i *instances) read(ctx context.Context) {
	changed, err := i.list.Read(ctx)
	if err != nil {
		if !i.failing && ctx.Err() == nil {
			i.log.WithError(err).Warn("platform does not answer; keeping the last instance list")
		}
		i.failing = true
		i.readFromPeers(ctx)
		return
	}
	if i.failing {
		i.log.Info("platform answers again")
	}
	i.failing = false
	if changed {
		i.table.Sync(i.list.Endpoints())
	}
	i.reach.RecordContact()
}

// readFromPeers lets a daemon that starts during an outage work with the last list that a peer has read.
func (i *instances) readFromPeers(ctx context.Context) {
	if i.table.Synced() {
		return
	}
	if endpoints, _, known := i.peers.Instances(ctx, 0); known {
		i.table.Sync(endpoints)
		i.log.WithField("endpoints", len(endpoints)).Info("instance list taken from a peer")
	}
}
