package daemon

import (
	"context"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"radishhollow/core/config"
)

// revisionLogger logs each configuration that comes into force, whatever its source.
type revisionLogger struct {
	documents *config.Store
	log       *logrus.Logger
}

func newRevisionLogger(documents *config.Store, log *logrus.Logger) *revisionLogger {
	return &revisionLogger{documents: documents, log: log}
}

// Run logs until ctx ends. If configurations follow each other quickly, it may log only the last one.
func (r *revisionLogger) Run(ctx context.Context) error {
	var logged config.Document
	for {
		changed := r.documents.Changed()
		// A document that replaces one of the same revision was read in a later era of the store.
		if current := r.documents.Current(); current.Revision() > logged.Revision() || current.Digest() != logged.Digest() {
			r.log.WithFields(logrus.Fields{
				"revision": current.Revision(), "before": logged.Revision(), "era": current.Era(),
			}).Info("configuration in force")
			logged = current
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}
