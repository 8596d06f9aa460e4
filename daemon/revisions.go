package daemon

import (
	"context"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"radishhollow/core/config"
)

// revisionLogger logs each configuration that comes into force, whatever its source.
type revisionLogger struct {
	store *config.Store
	log   *logrus.Logger
}

func newRevisionLogger(store *config.Store, log *logrus.Logger) *revisionLogger {
	return &revisionLogger{store: store, log: log}
}

// Run logs until ctx ends. If configurations follow each other quickly, it may log only the last one.
func (r *revisionLogger) Run(ctx context.Context) error {
	var logged uint64
	for {
		changed := r.store.Changed()
		if revision := r.store.Current().Revision(); revision > logged {
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
