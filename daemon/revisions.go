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
	var logged uint64
	for {
		changed := r.documents.Changed()
		if revision := r.documents.Current().Revision(); revision > logged {
			r.log.WithFields(logrus.Fields{"revision": revision, "before": logged}).Info("configuration in force")
			logged = revision
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}
