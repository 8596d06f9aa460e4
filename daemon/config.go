package daemon

import (
	"github.com/google/uuid"
	"go.uber.org/fx"

	"radishhollow/core/config"
	"radishhollow/core/kv"
	"radishhollow/core/member"
	"radishhollow/io/operator"
	"radishhollow/io/peer"
	"radishhollow/io/settings"
	"radishhollow/io/telemetry"
)

var configProviders = fx.Provide(newSyncer, newWriter, newOperator)

func newConfigStore() *config.Store { return &config.Store{} }

func newSyncer(
	s settings.Settings, store kv.Store, documents *config.Store, isolation *member.IsolationDetector, m *telemetry.Metrics,
) *config.Syncer {
	return &config.Syncer{
		KV: store, Store: documents,
		PollInterval: s.Timeouts.ConfigPoll.Duration, WatchWait: s.Timeouts.WatchWait.Duration,
		Count:     func(class string) { m.Count(telemetry.Revisions, class) },
		OnContact: isolation.RecordContact,
	}
}

func newWriter(store kv.Store, documents *config.Store) *config.Writer {
	return &config.Writer{KV: store, InForce: documents.Current, NewID: uuid.NewString}
}

func newOperator(s settings.Settings, node *peer.Node, writer *config.Writer) *operator.Server {
	return &operator.Server{KeyDigest: s.OperatorKeyDigest, Node: node, Writer: writer}
}
