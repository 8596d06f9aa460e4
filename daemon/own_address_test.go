package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
	"radishhollow/core/route"
	"radishhollow/io/settings"
)

// Guards against an endpoint at one of this daemon's own addresses, also where a peer's list contains it or the address
// is written in another form.
func TestOwnAddressesAreNoEndpoints(t *testing.T) {
	l := newTestEndpointList()
	l.own = newOwnAddresses(settings.Settings{
		Listen: "0.0.0.0:1", PeerListen: "10.0.0.1:2", OperatorListen: "10.0.0.1:3", ReadinessListen: "[::]:4",
	})
	l.apply([]kv.Entry{entry("1", "1"), entry("2", "2"), entry("3", "3"), entry("4", "4"), entry("5", "5")}, kv.NewRevision(0, 5), true)
	require.Equal(t, 1, countEndpoints(l))
	l.replaceFromPeer([]route.Listing{
		{Address: "10.0.0.1:1", Incarnation: "1"}, {Address: "[::ffff:10.0.0.1]:2", Incarnation: "2"}, {Address: "10.0.0.2:1", Incarnation: "3"},
	}, kv.NewRevision(0, 9))
	require.Equal(t, 1, countEndpoints(l))
}
