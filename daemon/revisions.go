package daemon

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"radishhollow/core/config"
	"radishhollow/io/settings"
)

// revisionLogger logs each configuration that comes into force, whatever its source, and each that does not come into
// force within the bound although other daemons have it.
type revisionLogger struct {
	documents *config.Store
	freshness *config.Freshness
	bound     time.Duration
	log       *logrus.Logger
}

func newFreshness(documents *config.Store) *config.Freshness {
	return &config.Freshness{Store: documents}
}

func newRevisionLogger(s settings.Settings, documents *config.Store, freshness *config.Freshness, log *logrus.Logger) *revisionLogger {
	return &revisionLogger{documents: documents, freshness: freshness, bound: s.Forward.ConfigBound.Duration, log: log}
}

// Run logs until ctx ends. If configurations follow each other quickly, it may log only the last one.
func (r *revisionLogger) Run(ctx context.Context) error {
	var logged config.Document
	var loggedBehind uint64
	ticker := time.NewTicker(r.bound)
	defer ticker.Stop()
	for {
		changed := r.documents.Changed()
		current := r.documents.Current()
		// A document that replaces one of the same revision was read in a later era of the store.
		if current.Revision() > logged.Revision() || current.Digest() != logged.Digest() {
			r.log.WithFields(logrus.Fields{
				"revision": current.Revision(), "before": logged.Revision(), "era": current.Era(),
			}).Info("configuration in force")
			logged = current
		}
		if announced, age, behind := r.freshness.Behind(); behind && age >= r.bound && announced != loggedBehind {
			r.log.WithFields(logrus.Fields{
				"revision": current.Revision(), "announced": announced, "ms": age.Milliseconds(),
			}).Warn("configuration is behind")
			loggedBehind = announced
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}
