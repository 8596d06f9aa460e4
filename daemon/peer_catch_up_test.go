package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/config"
	"radishhollow/core/kv"
	"radishhollow/core/member"
)

// Guards against a daemon that starts while the store has an older configuration than its peers, and is ready with it
// before it has heard from them, and against a daemon that is never ready because its peers are lost.
func TestStartWaitsForTheConfigurationOfPeers(t *testing.T) {
	const address = "10.0.0.2:1"
	offer := func(d *Drain, revision uint64) {
		_, err := d.documents.Offer(config.NewDocument(revision, config.Fields{}))
		require.NoError(t, err)
	}
	heard := func(d *Drain, revision uint64) {
		d.peers.members.MergeResponse(member.View{Address: address, Incarnation: "1", Revision: revision})
	}
	for name, test := range map[string]struct {
		listed []member.Member
		era    uint64
		step   func(d *Drain)
		ready  bool
	}{
		"no peers":                        {nil, 1, func(*Drain) {}, true},
		"no peers at a store without era": {nil, 0, func(*Drain) {}, true},
		"no peers at a restored store":    {nil, 2, func(*Drain) {}, false},
		"peer registers at a restored store": {nil, 2, func(d *Drain) {
			d.peers.members.SetListed([]member.Member{{Address: address}})
			heard(d, 19)
		}, true},
		"peer not heard":                  {[]member.Member{{Address: address}}, 1, func(*Drain) {}, false},
		"peer has the same configuration": {[]member.Member{{Address: address}}, 1, func(d *Drain) { heard(d, 19) }, true},
		"peer has an older configuration": {[]member.Member{{Address: address}}, 1, func(d *Drain) { heard(d, 18) }, true},
		"peer has a newer configuration":  {[]member.Member{{Address: address}}, 1, func(d *Drain) { heard(d, 20) }, false},
		"newer configuration fetched": {[]member.Member{{Address: address}}, 1, func(d *Drain) {
			heard(d, 20)
			offer(d, 20)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newTestEndpointList()
				d := &Drain{documents: &config.Store{}, table: l.table, isolation: l.isolation}
				d.peers = &peerCatchUp{
					startedAt: time.Now(), documents: d.documents,
					members: &member.Table{Self: "10.0.0.1:1", PeerExpiry: time.Minute, MarkExpiry: time.Minute},
				}
				l.apply(nil, kv.NewRevision(1, 1), true)
				offer(d, 19)
				d.checkInitialized()
				require.False(t, d.Ready(), "the list of daemons has not been read")
				d.peers.members.SetListed(test.listed)
				d.peers.recordList(kv.NewRevision(test.era, 1))
				test.step(d)
				d.checkInitialized()
				require.Equal(t, test.ready, d.Ready())
				time.Sleep(maxPeerCatchUp)
				d.checkInitialized()
				require.True(t, d.Ready())
			})
		})
	}
}
