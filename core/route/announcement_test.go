package route_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/route"
)

// announcedListing returns a listing of the service or model n at 10.0.0.1 with a port.
func announcedListing(port string, kind route.Kind, startedAtMS int64) route.Listing {
	return route.Listing{
		Address: "10.0.0.1:" + port, Incarnation: "i-" + port, Kind: kind, Name: "n", Slots: 4, StartedAtMS: startedAtMS,
	}
}

func newAnnouncedTable(kind route.Kind) (*route.Table, []route.Listing) {
	policy := route.DefaultPolicy()
	policy.ListIsCurrent, policy.SampleSize, policy.UnreachableTTL = true, 0, 600*time.Millisecond
	table := route.New("d", policy)
	list := []route.Listing{announcedListing("1", kind, 100), announcedListing("2", kind, 100)}
	table.Sync(list)
	return table, list
}

func mustList(t *testing.T, table *route.Table, port string) route.Choice {
	t.Helper()
	choice, listed := table.Listed("10.0.0.1:" + port)
	require.True(t, listed)
	return choice
}

// requireUnused checks that no way to choose an endpoint leads to the one at port 1.
func requireUnused(t *testing.T, table *route.Table, kind route.Kind) {
	t.Helper()
	const address = "10.0.0.1:1"
	for _, criteria := range []route.Criteria{
		{}, {Resume: true}, {PreferredAddress: address}, {Resume: true, PreferredAddress: address}, {AffinityKey: "k"},
		{AffinityKey: "k", Reconnected: true}, {QueriedAddresses: []string{address}}, {ExcludeSilent: true},
		{Exclude: map[string]bool{"10.0.0.1:2": true}}, {PromptTokens: 8000},
	} {
		criteria.Kind, criteria.Name = kind, "n"
		for range 10 {
			choice, err := table.Pick(t.Context(), criteria)
			if err == nil {
				require.NotEqual(t, address, choice.Address(), "%+v", criteria)
				choice.Release()
			}
		}
		require.NotContains(t, table.LoadQueryCandidates(criteria, 3), address)
	}
	require.False(t, table.Usable(address, "i-1"))
}

// Guards against an endpoint that has announced that it leaves and gets work again: after a registration that still says
// that it is ready, an entry that lapses and returns, or a success or a failure there.
func TestLeavingAnnouncementLastsUntilTheNextStart(t *testing.T) {
	for _, kind := range []route.Kind{route.KindService, route.KindModel} {
		synctest.Test(t, func(t *testing.T) {
			table, list := newAnnouncedTable(kind)
			choice := mustList(t, table, "1")
			require.True(t, table.RecordAnnouncement(choice, route.Announcement{Leaving: true}).Leaving)
			require.False(t, table.RecordAnnouncement(choice, route.Announcement{Leaving: true}).Leaving, "no news")
			requireUnused(t, table, kind)
			leaving, resting := table.CountAnnounced()
			require.Equal(t, []int{1, 0}, []int{leaving, resting})
			table.Sync(list)
			requireUnused(t, table, kind)
			table.Sync(list[1:])
			time.Sleep(time.Hour)
			table.Sync(list)
			requireUnused(t, table, kind)
			table.RecordResult(choice, route.ResultOK)
			table.SetSilent(choice.Address())
			requireUnused(t, table, kind)
			table.RecordQueriedLoad(choice.Address(), route.QueriedLoad{StartedAtMS: 100})
			requireUnused(t, table, kind)
			table.Sync([]route.Listing{announcedListing("1", kind, 200), list[1]})
			require.True(t, table.Usable(choice.Address(), "i-1"), "it has started again")
			require.False(t, table.RecordAnnouncement(choice, route.Announcement{Leaving: true, Rest: time.Minute}).Leaving)
			require.True(t, table.Usable(choice.Address(), "i-1"), "a late answer of the earlier start changes nothing")
		})
	}
}

// Guards against a successor at the same address that is taken for the endpoint that has left.
func TestLeavingAnnouncementDoesNotConcernASuccessor(t *testing.T) {
	table, list := newAnnouncedTable(route.KindService)
	choice := mustList(t, table, "1")
	successor := announcedListing("1", route.KindService, 300)
	successor.Incarnation = "i-3"
	table.Sync([]route.Listing{successor, list[1]})
	table.RecordAnnouncement(choice, route.Announcement{Leaving: true, Rest: time.Minute})
	require.True(t, table.Usable("10.0.0.1:1", "i-3"))
	require.False(t, table.Resting("10.0.0.1:1"))
}

// Guards against requests that reach an endpoint while it rests, and against one that stays unused after its rest.
func TestRestingEndpointIsUnused(t *testing.T) {
	for _, kind := range []route.Kind{route.KindService, route.KindModel} {
		synctest.Test(t, func(t *testing.T) {
			table, list := newAnnouncedTable(kind)
			choice := mustList(t, table, "1")
			require.Equal(t, 5*time.Second, table.RecordAnnouncement(choice, route.Announcement{Rest: 5 * time.Second}).Rest)
			for range 50 {
				requireUnused(t, table, kind)
				require.True(t, table.Resting(choice.Address()))
				table.RecordResult(choice, route.ResultOK)
				table.RecordResult(choice, route.ResultRefused)
				table.SetSilent(choice.Address())
				table.Sync(list[1:])
				table.Sync(list)
				require.Zero(t, table.RecordAnnouncement(choice, route.Announcement{Rest: time.Second}).Rest, "no news")
				time.Sleep(99 * time.Millisecond)
			}
			time.Sleep(2 * time.Second)
			require.True(t, table.Usable(choice.Address(), "i-1"))
			require.False(t, table.Resting(choice.Address()))
		})
	}
}

// Guards against a rest that ends with a shorter one announced later, or with the mark of a dead endpoint, and against one
// that outlives the start that asked for it.
func TestRestEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, list := newAnnouncedTable(route.KindService)
		choice := mustList(t, table, "1")
		table.RecordAnnouncement(choice, route.Announcement{Rest: 10 * time.Second})
		table.RecordAnnouncement(choice, route.Announcement{Rest: time.Second})
		time.Sleep(9 * time.Second)
		require.True(t, table.Resting(choice.Address()))
		table.MarkDead(choice.Address(), choice.Incarnation())
		table.Sync([]route.Listing{announcedListing("1", route.KindService, 200), list[1]})
		require.False(t, table.Resting(choice.Address()))
		choice = mustList(t, table, "1")
		table.RecordAnnouncement(choice, route.Announcement{Rest: 1000 * time.Hour})
		time.Sleep(route.MaxRest + 2*time.Second)
		require.True(t, table.Usable(choice.Address(), "i-1"), "a rest is bounded")
	})
}

// Guards against callers who wait although all endpoints rest, or who all come back at the same time.
func TestAllEndpointsRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, _ := newAnnouncedTable(route.KindService)
		table.RecordAnnouncement(mustList(t, table, "1"), route.Announcement{Rest: 20 * time.Second})
		table.RecordAnnouncement(mustList(t, table, "2"), route.Announcement{Rest: 8 * time.Second})
		_, err := table.Pick(t.Context(), route.Criteria{Kind: route.KindService, Name: "n"})
		resting, ok := errors.AsType[route.RestingError](err)
		require.True(t, ok)
		require.GreaterOrEqual(t, resting.Left, 8*time.Second)
		require.Less(t, resting.Left, 10*time.Second)
		seen := map[time.Duration]bool{}
		for range 100 {
			after := resting.RetryAfter()
			require.GreaterOrEqual(t, after, resting.Left)
			seen[after.Truncate(100*time.Millisecond)] = true
		}
		require.Greater(t, len(seen), 10)
	})
}
