package daemon

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"radishhollow/core/config"
	"radishhollow/core/kv"
	"radishhollow/core/member"
	"radishhollow/core/route"
	"radishhollow/io/telemetry"
)

func newTestEndpointList() *endpointList {
	log := logrus.New()
	log.SetOutput(io.Discard)
	policy := route.DefaultPolicy()
	policy.ListIsCurrent = true
	return &endpointList{
		follower: &kv.Follower{Prefix: "e/"},
		parse: func(e kv.Entry) (route.Listing, error) {
			return route.Listing{
				Address: "10.0.0.1:" + string(e.Value()), Incarnation: e.Key()[2:], Kind: route.KindService, Name: "s",
				Revision: e.Revision(),
			}, nil
		},
		table: route.New("d", policy), isolation: &member.IsolationDetector{Timeout: time.Minute}, metrics: telemetry.New(),
		log: log, configs: &config.Store{},
		registrations: map[string]route.Listing{}, missing: map[string]absence{},
	}
}

func entry(key, port string) kv.Entry {
	return kv.NewEntry("e/"+key, []byte(port), kv.NewRevision(0, 1), false)
}

func countEndpoints(l *endpointList) int {
	l.dropOverdue()
	listings, _ := l.table.Listings()
	return len(listings)
}

// Guards against sending work to an endpoint that is gone, and against removing a live endpoint because of an outage of
// the store. Once, registrations of endpoints that were gone stayed for 2.5 s, beyond the limit of 2 s.
func TestEndpointListAroundAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestEndpointList()
		l.apply([]kv.Entry{entry("1", "1"), entry("2", "2"), entry("3", "3")}, kv.NewRevision(0, 5), true)
		l.apply([]kv.Entry{kv.NewEntry("e/3", nil, kv.NewRevision(0, 6), true)}, kv.NewRevision(0, 6), false)
		require.Equal(t, 2, countEndpoints(l), "without an outage, an endpoint is removed at once")
		l.recordFailure(kv.UnavailableError{Call: "watch"})
		time.Sleep(time.Second)
		l.apply([]kv.Entry{entry("1", "1")}, kv.NewRevision(0, 9), true)
		require.Equal(t, 2, countEndpoints(l), "a registration that expired in the outage is kept for a while")
		time.Sleep(time.Second)
		l.apply([]kv.Entry{entry("2", "2")}, kv.NewRevision(0, 10), false)
		time.Sleep(time.Second)
		require.Equal(t, 2, countEndpoints(l))
		l.apply([]kv.Entry{kv.NewEntry("e/2", nil, kv.NewRevision(0, 11), true)}, kv.NewRevision(0, 11), false)
		time.Sleep(reregistrationGrace)
		require.Equal(t, 1, countEndpoints(l), "an endpoint that does not return is removed")
	})
}

// Guards against a grace period for endpoints that left while only this daemon could not reach the store.
func TestEndpointListTakenFromAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestEndpointList()
		l.apply([]kv.Entry{entry("1", "1"), entry("2", "2")}, kv.NewRevision(0, 5), true)
		l.recordFailure(kv.UnavailableError{Call: "watch"})
		listings, _, _ := l.Listings()
		l.replaceFromPeer(listings, kv.NewRevision(0, 7))
		l.replaceFromPeer(nil, kv.NewRevision(0, 6))
		require.Equal(t, 2, countEndpoints(l), "an older list changes nothing")
		l.apply([]kv.Entry{entry("1", "1")}, kv.NewRevision(0, 9), true)
		require.Equal(t, 1, countEndpoints(l))
	})
}

// Guards against a malformed registration that removes other registrations, or whose key keeps its previous one.
func TestEndpointListDropsMalformedRegistrations(t *testing.T) {
	l := newTestEndpointList()
	l.apply([]kv.Entry{entry("1", "1"), entry("2", "2")}, kv.NewRevision(0, 5), true)
	parse := l.parse
	l.parse = func(e kv.Entry) (route.Listing, error) {
		if string(e.Value()) == "bad" {
			return route.Listing{}, kv.NotFoundError{Key: e.Key()}
		}
		return parse(e)
	}
	l.apply([]kv.Entry{entry("2", "bad"), entry("9", "bad")}, kv.NewRevision(0, 6), false)
	require.Equal(t, 1, countEndpoints(l))
}

// Guards against giving peers a registration that is kept only for the grace period after an outage. A peer that takes
// the list over would keep it indefinitely.
func TestEndpointListForPeersHasNoMissingEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestEndpointList()
		l.apply([]kv.Entry{entry("1", "1"), entry("2", "2")}, kv.NewRevision(0, 5), true)
		l.recordFailure(kv.UnavailableError{Call: "watch"})
		l.apply([]kv.Entry{entry("1", "1")}, kv.NewRevision(0, 9), true)
		listings, _, _ := l.Listings()
		require.Len(t, listings, 1)
		kept, _ := l.table.Listings()
		require.Len(t, kept, 2)
	})
}

// Guards against addressing an endpoint by the incarnation of its predecessor. It happens if a daemon starts while the
// store still has the registrations of crashed engines beside those of their successors at the same addresses. A daemon
// that took the old registrations for the successors got status 421 for as long as it ran.
func TestEndpointListTakesTheNewestOfAnAddress(t *testing.T) {
	for range 50 {
		l := newTestEndpointList()
		crashed, successor := kv.NewEntry("e/old", []byte("1"), kv.NewRevision(0, 3), false), kv.NewEntry("e/new", []byte("1"), kv.NewRevision(0, 8), false)
		l.apply([]kv.Entry{successor, crashed}, kv.NewRevision(0, 9), true)
		require.True(t, l.table.HasIncarnation("10.0.0.1:1", "new"))
		listings, _, _ := l.Listings()
		require.Len(t, listings, 1)
		l.apply([]kv.Entry{kv.NewEntry("e/old", nil, kv.NewRevision(0, 10), true)}, kv.NewRevision(0, 10), false)
		require.True(t, l.table.HasIncarnation("10.0.0.1:1", "new"))
		l.apply([]kv.Entry{kv.NewEntry("e/old", []byte("1"), kv.NewRevision(0, 11), false)}, kv.NewRevision(0, 11), false)
		require.True(t, l.table.HasIncarnation("10.0.0.1:1", "old"), "the latest registration applies, even under an earlier ID")
	}
}
