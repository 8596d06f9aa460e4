package daemon

import (
	"context"
	"slices"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"radishhollow/io/peer"
	"radishhollow/io/settings"
)

// Reloads delivers the settings that are reloaded while the daemon runs. A nil channel delivers none.
type Reloads <-chan settings.Settings

// reloader applies the peer keys of reloaded settings.
type reloader struct {
	reloads Reloads
	keys    []string
	node    *peer.Node
	log     *logrus.Logger
}

// reloadDeps holds the dependencies of a reloader.
type reloadDeps struct {
	fx.In

	Settings settings.Settings
	Reloads  Reloads `optional:"true"`
	Node     *peer.Node
	Log      *logrus.Logger
}

func newReloader(d reloadDeps) *reloader {
	return &reloader{reloads: d.Reloads, keys: d.Settings.PeerKeys, node: d.Node, log: d.Log}
}

// Run applies reloaded settings until ctx ends.
func (r *reloader) Run(ctx context.Context) error {
	for {
		select {
		case s := <-r.reloads:
			r.apply(s)
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

func (r *reloader) apply(s settings.Settings) {
	if slices.Equal(s.PeerKeys, r.keys) {
		return
	}
	keys, err := decodeKeys("peer-keys", s.PeerKeys)
	if err != nil {
		r.log.WithError(err).Warn("keys of peers are refused; the last ones stay in force")
		return
	}
	r.keys = s.PeerKeys
	r.node.Keys.Set(keys)
	r.log.WithField("keys", len(keys)).Info("keys of peers are in force")
}
