package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/config"
	"radishhollow/core/kv"
	"radishhollow/core/route"
)

// offerService puts a configuration in force that has one service.
func offerService(t *testing.T, l *endpointList, revision uint64, name string) {
	t.Helper()
	_, err := l.configs.Offer(config.NewDocument(revision, config.Fields{Services: []config.Service{{Name: name}}}))
	require.NoError(t, err)
}

// newTwoServiceList returns a list of registrations whose service is their value.
func newTwoServiceList() *endpointList {
	l := newTestEndpointList()
	l.parse = func(e kv.Entry) (route.Listing, error) {
		return route.Listing{
			Address: "10.0.0.1:1", Incarnation: e.Key()[2:], Kind: route.KindService, Name: string(e.Value()), Revision: e.Revision(),
		}, nil
	}
	return l
}

// Guards against another writer's registration of an unknown service that takes the place of the endpoint at its
// address, so that the endpoint gets no requests.
func TestEndpointListKeepsAnEndpointBesideAnUnknownService(t *testing.T) {
	for range 50 {
		l := newTwoServiceList()
		offerService(t, l, 1, "orders")
		endpoint := kv.NewEntry("e/endpoint", []byte("orders"), kv.NewRevision(0, 3), false)
		unknown := kv.NewEntry("e/unknown", []byte("node-metrics"), kv.NewRevision(0, 8), false)
		l.apply([]kv.Entry{endpoint, unknown}, kv.NewRevision(0, 9), true)
		require.True(t, l.table.HasIncarnation("10.0.0.1:1", "endpoint"))
		l.apply([]kv.Entry{kv.NewEntry("e/unknown", []byte("node-metrics"), kv.NewRevision(0, 10), false)}, kv.NewRevision(0, 10), false)
		require.True(t, l.table.HasIncarnation("10.0.0.1:1", "endpoint"))
		listings, _, _ := l.Listings()
		require.Len(t, listings, 1)
		require.Equal(t, "endpoint", listings[0].Incarnation, "peers must not learn the other one")
		l.apply([]kv.Entry{kv.NewEntry("e/unknown", nil, kv.NewRevision(0, 11), true)}, kv.NewRevision(0, 11), false)
		require.True(t, l.table.HasIncarnation("10.0.0.1:1", "endpoint"))
	}
}

// Guards against an endpoint that stays displaced although the configuration has come to know its service, or no longer
// knows the other one.
func TestEndpointListFollowsTheServicesOfTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTwoServiceList()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go l.runConfigChanges(ctx)
		l.apply([]kv.Entry{
			kv.NewEntry("e/1", []byte("orders"), kv.NewRevision(0, 3), false),
			kv.NewEntry("e/2", []byte("search"), kv.NewRevision(0, 4), false),
		}, kv.NewRevision(0, 9), true)
		for revision, service := range []string{"orders", "search", "orders"} {
			offerService(t, l, uint64(revision+1), service)
			time.Sleep(time.Second)
			require.True(t, l.table.HasIncarnation("10.0.0.1:1", map[string]string{"orders": "1", "search": "2"}[service]))
		}
	})
}
