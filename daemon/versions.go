package daemon

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"radishhollow/core/config"
	"radishhollow/core/kv"
	"radishhollow/core/route"
	"radishhollow/core/version"
	"radishhollow/io/keyvalue"
	"radishhollow/io/peer"
	"radishhollow/io/telemetry"
)

const (
	// minRetention and maxRetention bound the time for which streams may be taken up again. Below the maximum, the leases of
	// records stay within ten minutes, the longest that the platform grants.
	minRetention = 30 * time.Second
	maxRetention = 5 * time.Minute
	// retentionFactor multiplies the longest time limit of a service's routes: a stream may be taken up at the end of its time, and
	// then gets that time once more.
	retentionFactor = 2
)

// newVersions returns the register of the versions that have begun streams. The daemons exchange its histories.
func newVersions(
	store kv.Store, client *keyvalue.Client, documents *config.Store, table *route.Table, peers *peer.Exchanger, m *telemetry.Metrics,
	log *logrus.Logger,
) *version.Register {
	streams := &streamServices{documents: documents}
	register := &version.Register{
		Store: store, Services: streams.names, Listed: table.VersionCounts, Retention: streams.retention, Era: client.Eras.Current,
		Count: func(event string) { m.Count(telemetry.StreamVersions, event) },
		OnNews: func(report version.Report) {
			log.WithFields(logrus.Fields{
				"service": report.Service, "base": report.Base, "others": report.Others, "revision": report.Revision.String(),
			}).Info("versions of a service")
			peers.TriggerExchange()
		},
		OnError: func(err error) { log.WithError(err).Warn("versions of streams are not recorded") },
	}
	// fx constructs all components before the first OnStart, so the node does not serve yet.
	peers.Node.Histories = register.Reports
	peers.Node.MergeHistories = func(reports []version.Report) {
		if register.Merge(reports) {
			peers.TriggerExchange()
		}
	}
	return register
}

// streamServices knows the services of the configuration whose streams callers may take up again. It is safe for concurrent
// use.
type streamServices struct {
	documents *config.Store

	mu sync.Mutex
	// revision is that of the configuration of which timeouts holds, by service, the longest time limit of a route.
	revision uint64
	timeouts map[string]time.Duration
	list     []string
}

func (s *streamServices) names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update()
	return s.list
}

func (s *streamServices) retention(service string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update()
	return min(max(retentionFactor*s.timeouts[service], minRetention), maxRetention)
}

// update reads the routes of a new configuration. The caller must hold mu.
func (s *streamServices) update() {
	document := s.documents.Current()
	if document.Revision() == s.revision {
		return
	}
	s.revision, s.timeouts, s.list = document.Revision(), map[string]time.Duration{}, nil
	for _, r := range document.Fields().Routes {
		if r.Kind != config.KindStream || !r.Resumable {
			continue
		}
		for _, split := range r.Split {
			if _, known := s.timeouts[split.Service]; !known {
				s.list = append(s.list, split.Service)
			}
			s.timeouts[split.Service] = max(s.timeouts[split.Service], r.Timeout())
		}
	}
	slices.Sort(s.list)
}
