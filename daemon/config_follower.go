package daemon

import (
	"github.com/sirupsen/logrus"

	"radishhollow/core/config"
	"radishhollow/core/kv"
	"radishhollow/core/member"
	"radishhollow/io/settings"
	"radishhollow/io/telemetry"
	"radishhollow/platform"
)

// configFollower keeps the configuration and the orders of roll-outs up to date with the store. The Follower lists and watches; of the Syncer, only
// Offer is used.
type configFollower struct {
	follower *kv.Follower
	syncer   *config.Syncer
}

func newConfigFollower(
	s settings.Settings, store kv.Store, documents *config.Store, rollouts *rollouts, isolation *member.IsolationDetector,
	m *telemetry.Metrics, log *logrus.Logger,
) *configFollower {
	syncer := &config.Syncer{
		Store: documents, Decode: platform.DecodeConfig,
		Count:    func(class string) { m.Count(telemetry.Revisions, class) },
		OnReject: func(err error) { log.WithError(err).Warn("configuration rejected; keeping the previous one") },
	}
	return &configFollower{syncer: syncer, follower: &kv.Follower{
		Store: store, Prefix: platform.ConfigPrefix, WatchWait: s.Timeouts.WatchWait.Duration,
		RelistInterval: s.Timeouts.ConfigPoll.Duration,
		Apply: func(entries []kv.Entry, revision kv.Revision, full bool) {
			isolation.RecordContact()
			// The orders come first, so that no request is sent by a configuration whose roll-outs are not known.
			rollouts.applyOrders(entries, revision, full)
			for _, entry := range entries {
				if entry.Key() != platform.ConfigKey || entry.Deleted() {
					continue
				}
				class := config.FromWatch
				if full {
					class = config.FromPoll
				}
				syncer.Offer(entry, class)
				rollouts.evaluate()
			}
		},
	}}
}
