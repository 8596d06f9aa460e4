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

// peerKeyReloader applies the peer keys of reloaded settings, which the command line reads and passes on.
type peerKeyReloader struct {
	reloads Reloads
	keys    []string
	node    *peer.Node
	log     *logrus.Logger
}

// peerKeyReloaderDeps holds the dependencies of a peerKeyReloader.
type peerKeyReloaderDeps struct {
	fx.In

	Settings settings.Settings
	Reloads  Reloads `optional:"true"`
	Node     *peer.Node
	Log      *logrus.Logger
}

func newPeerKeyReloader(d peerKeyReloaderDeps) *peerKeyReloader {
	return &peerKeyReloader{reloads: d.Reloads, keys: d.Settings.PeerKeys, node: d.Node, log: d.Log}
}

// Run applies reloaded settings until ctx ends.
func (r *peerKeyReloader) Run(ctx context.Context) error {
	for {
		select {
		case s := <-r.reloads:
			r.apply(s)
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

func (r *peerKeyReloader) apply(s settings.Settings) {
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
