package route_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/failure"
	"radishhollow/core/route"
)

func listing(i int) route.Listing {
	return route.Listing{
		Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Incarnation: "1", Place: fmt.Sprint(i % 4),
		Kind: route.KindModel, Name: "m",
	}
}

func listings(n int) []route.Listing {
	var list []route.Listing
	for i := range n {
		list = append(list, listing(i))
	}
	return list
}

func report(i int, sequence uint64, running int) route.Report {
	return route.Report{
		Address: listing(i).Address, Incarnation: "1", State: route.StateReady, Sequence: sequence, Running: running,
		Slots: 10, CacheBlocks: 1000, PrefillRate: 3000, TokenGap: 20 * time.Millisecond, Role: "mixed",
		Specs: []string{"m@1", "m@1+a@2"},
	}
}

func table(n int, change func(*route.Policy)) *route.Table {
	p := route.DefaultPolicy()
	if change != nil {
		change(&p)
	}
	t := route.New("daemon", p)
	t.Sync(listings(n))
	for i := range n {
		t.Update(report(i, 1, 0))
	}
	return t
}

func pickFailure(t *testing.T, tab *route.Table, criteria route.Criteria) route.Reason {
	t.Helper()
	_, err := tab.Pick(t.Context(), criteria)
	var failed route.NoEndpointError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, failure.NotRun, failure.Of(err).Outcome())
	return failed.Reason
}

var anyEndpoint = route.Criteria{Kind: route.KindModel, Name: "m"}

// Guards against sending work to an endpoint that is leaving, dead or excluded, or lacks the spec.
func TestFilters(t *testing.T) {
	tests := []struct {
		name     string
		criteria route.Criteria
		change   func(*route.Table)
		reason   route.Reason
	}{
		{name: "unknown name", criteria: route.Criteria{Kind: route.KindModel, Name: "x"}, reason: route.ReasonUnlisted},
		{
			name: "other spec", criteria: route.Criteria{Kind: route.KindModel, Name: "m", Spec: "m@2"},
			reason: route.ReasonSpecNotLoaded,
		},
		{
			name: "other adapter", criteria: route.Criteria{Kind: route.KindModel, Name: "m", Adapter: "b"},
			reason: route.ReasonSpecNotLoaded,
		},
		{
			name: "excluded", reason: route.ReasonExcluded,
			criteria: route.Criteria{Kind: route.KindModel, Name: "m", Exclude: map[string]bool{listing(0).Address: true}},
		},
		{name: "leaving", criteria: anyEndpoint, reason: route.ReasonMarked, change: func(tab *route.Table) {
			tab.MarkLeaving(listing(0).Address, "1")
		}},
		{name: "dead", criteria: anyEndpoint, reason: route.ReasonMarked, change: func(tab *route.Table) {
			tab.MarkDead(listing(0).Address, "1")
		}},
		{name: "unreachable", criteria: anyEndpoint, reason: route.ReasonNotReady, change: func(tab *route.Table) {
			tab.SetUnreachable(listing(0).Address, "1")
		}},
		{name: "leaving by report", criteria: anyEndpoint, reason: route.ReasonMarked, change: func(tab *route.Table) {
			r := report(0, 2, 0)
			r.State = route.StateLeaving
			tab.Update(r)
			tab.Update(report(0, 3, 0))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tab := table(1, nil)
			if tt.change != nil {
				tt.change(tab)
			}
			require.Equal(t, tt.reason, pickFailure(t, tab, tt.criteria))
		})
	}
	c, err := table(1, nil).Pick(t.Context(), route.Criteria{Kind: route.KindModel, Name: "m", Spec: "m@1+a@2"})
	require.NoError(t, err)
	require.Equal(t, listing(0).Address, c.Address())
}

// Guards against a mark on an old incarnation stopping work on the new one, and against a lagging list restoring the
// old one.
func TestIncarnations(t *testing.T) {
	tab := table(1, nil)
	address := listing(0).Address
	tab.MarkLeaving(address, "1")
	r := report(0, 1, 0)
	r.Incarnation = "2"
	tab.Update(r)
	require.True(t, tab.HasIncarnation(address, "2"))
	tab.Sync(listings(1))
	require.False(t, tab.HasIncarnation(address, "1"))
	c, err := tab.Pick(t.Context(), anyEndpoint)
	require.NoError(t, err)
	require.Equal(t, "2", c.Incarnation())
	tab.Update(report(0, 9, 0))
	require.True(t, tab.HasIncarnation(address, "2"))
}

// Guards against a dead mark that outlives a pause, and against a report that clears a leaving mark.
func TestMarksEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := table(1, nil)
		address := listing(0).Address
		tab.MarkDead(address, "1")
		tab.Update(report(0, 2, 0))
		require.False(t, tab.Alive(address), "a report sent before the mark does not clear it")
		time.Sleep(time.Second)
		tab.Update(report(0, 3, 0))
		require.True(t, tab.Alive(address))
		require.Empty(t, tab.Marks())
		tab.MarkLeaving(address, "1")
		tab.MarkDead(address, "1")
		time.Sleep(time.Second)
		tab.Update(report(0, 4, 0))
		require.Len(t, tab.Marks(), 1)
		require.False(t, tab.Marks()[0].Dead())
		time.Sleep(4 * time.Second)
		require.False(t, tab.Alive(address), "no report for longer than AliveReportAge")
	})
}

// Guards against peers that renew one another's marks indefinitely, or mark an endpoint that has reported since.
func TestMergedMarks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := table(2, nil), table(2, nil)
		address := listing(0).Address
		time.Sleep(time.Second)
		a.MarkDead(address, "1")
		a.MarkLeaving(listing(1).Address, "1")
		for second := range 120 {
			for _, pair := range [][2]*route.Table{{a, b}, {b, a}} {
				for _, m := range pair[0].Marks() {
					pair[1].MergeMark(m.Address(), m.Incarnation(), m.Dead(), m.Age())
				}
			}
			if second == 0 {
				require.Len(t, b.Marks(), 2)
			}
			time.Sleep(time.Second)
		}
		require.Empty(t, a.Marks())
		require.Empty(t, b.Marks())
		b.Update(report(0, 2, 0))
		b.MergeMark(address, "1", true, time.Second)
		require.True(t, b.Alive(address))
		c, err := b.Pick(t.Context(), anyEndpoint)
		require.NoError(t, err)
		require.Equal(t, address, c.Address(), "the other endpoint is still leaving")
	})
}

// Guards against unbounded memory use by the marks of many incarnations.
func TestMarksAreBounded(t *testing.T) {
	tab := table(1, func(p *route.Policy) { p.MaxMarks = 10 })
	for i := range 100 {
		tab.MarkLeaving(listing(0).Address, fmt.Sprint(i+10))
	}
	require.Len(t, tab.Marks(), 10)
}

// Guards against sending all work to the endpoint with the lowest load in a lagging report.
func TestOwnLoadCountsBeforeReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := table(2, func(p *route.Policy) { p.SampleSize, p.Headroom = 0, 0 })
		tab.Update(report(0, 2, 4))
		for range 3 {
			counts := make(map[string]int)
			var choices []route.Choice
			for range 10 {
				c, err := tab.Pick(t.Context(), anyEndpoint)
				require.NoError(t, err)
				counts[c.Address()]++
				choices = append(choices, c)
			}
			require.Equal(t, 3, counts[listing(0).Address], "a second Release has no effect")
			for _, c := range choices {
				c.Release()
				c.Release()
			}
		}
	})
}

// Guards against counting requests twice once a report includes them, and against counting them after they end.
func TestReportReplacesCorrections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := table(1, func(p *route.Policy) { p.Headroom = 0.5 })
		var choices []route.Choice
		for range 5 {
			c, err := tab.Pick(t.Context(), anyEndpoint)
			require.NoError(t, err)
			choices = append(choices, c)
		}
		require.Equal(t, route.ReasonHeadroom, pickFailure(t, tab, anyEndpoint))
		tab.Update(report(0, 2, 0))
		require.Equal(t, route.ReasonHeadroom, pickFailure(t, tab, anyEndpoint), "the report may be older than the requests")
		time.Sleep(time.Second)
		tab.Update(report(0, 3, 4))
		c, err := tab.Pick(t.Context(), anyEndpoint)
		require.NoError(t, err)
		require.Equal(t, route.ReasonHeadroom, pickFailure(t, tab, anyEndpoint))
		choices[0].Release()
		_, err = tab.Pick(t.Context(), anyEndpoint)
		require.NoError(t, err)
		c.Release()
		resume := anyEndpoint
		resume.Resume = true
		for range 5 {
			_, err = tab.Pick(t.Context(), resume)
			require.NoError(t, err, "a resume may use the headroom")
		}
	})
}

// Guards against new prompts on decode-only engines, and against refusing them if there is no other engine.
func TestRoles(t *testing.T) {
	tab := table(2, nil)
	decode := report(0, 2, 0)
	decode.Role = "decode"
	tab.Update(decode)
	tab.Update(report(1, 2, 5))
	c, err := tab.Pick(t.Context(), anyEndpoint)
	require.NoError(t, err)
	require.Equal(t, listing(1).Address, c.Address())
	tab.MarkLeaving(listing(1).Address, "1")
	c, err = tab.Pick(t.Context(), anyEndpoint)
	require.NoError(t, err)
	require.Equal(t, listing(0).Address, c.Address())
}

// Guards against a subset that lacks a place, changes with unrelated endpoints, or prevents picks when none of it is
// eligible.
func TestSubset(t *testing.T) {
	tab := table(40, func(p *route.Policy) { p.SubsetSize = 8 })
	places := make(map[string]int)
	before := make(map[string]bool)
	for _, target := range tab.PollTargets() {
		before[target.Address()] = true
	}
	for i := range 40 {
		if before[listing(i).Address] {
			places[listing(i).Place]++
		}
	}
	require.Equal(t, map[string]int{"0": 2, "1": 2, "2": 2, "3": 2}, places)
	tab.Sync(listings(44))
	same := 0
	for _, target := range tab.PollTargets() {
		if before[target.Address()] {
			same++
		}
	}
	require.GreaterOrEqual(t, same, 5)
	subset := make(map[string]bool)
	for _, target := range tab.PollTargets() {
		subset[target.Address()] = true
		tab.MarkDead(target.Address(), "1")
	}
	c, err := tab.Pick(t.Context(), anyEndpoint)
	require.NoError(t, err)
	require.False(t, subset[c.Address()])
	require.Len(t, tab.PollTargets(), 9, "an endpoint with work is polled even outside the subset")
	c.Release()
	require.Len(t, tab.PollTargets(), 8)
}

// Guards against an open circuit that admits work, a lost trial request that keeps it open forever, and late results.
func TestBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := table(1, nil)
		c, err := tab.Pick(t.Context(), anyEndpoint)
		require.NoError(t, err)
		for range 3 {
			tab.RecordResult(route.NewChoice(c.Address(), "0", "", nil), route.ResultFailed)
		}
		for range 3 {
			_, err = tab.Pick(t.Context(), anyEndpoint)
			require.NoError(t, err)
			tab.RecordResult(c, route.ResultFailed)
		}
		require.Equal(t, route.ReasonCircuitOpen, pickFailure(t, tab, anyEndpoint))
		time.Sleep(time.Second)
		trial, err := tab.Pick(t.Context(), anyEndpoint)
		require.NoError(t, err)
		require.Equal(t, route.ReasonCircuitOpen, pickFailure(t, tab, anyEndpoint))
		trial.Release()
		trial, err = tab.Pick(t.Context(), anyEndpoint)
		require.NoError(t, err)
		tab.RecordResult(trial, route.ResultOK)
		_, err = tab.Pick(t.Context(), anyEndpoint)
		require.NoError(t, err)
	})
}

func prompt(seed uint32, n int) []uint32 {
	ids := make([]uint32, n)
	for i := range ids {
		ids[i] = seed*100000 + uint32(i)
	}
	return ids
}

// Guards against an index that misses a prefix because of a lost event, or uses events of an old incarnation or expired
// entries.
func TestPrefixEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := table(10, nil)
		criteria := route.Criteria{Kind: route.KindModel, Name: "m", Prompt: prompt(1, 1600), MaxTokens: 10}
		var events []route.CacheEvent
		for i, block := range route.BlockHashes(criteria.Prompt) {
			if i%5 != 3 {
				events = append(events, route.CacheEvent{Kind: route.CacheStored, Block: block})
			}
		}
		tab.ApplyCacheEvents(listing(7).Address, "1", events)
		tab.ApplyCacheEvents(listing(8).Address, "0", events)
		tab.ApplyCacheEvents(listing(3).Address, "1", events[:8])
		for range 5 {
			c, err := tab.Pick(t.Context(), criteria)
			require.NoError(t, err)
			require.Equal(t, listing(7).Address, c.Address())
			c.Release()
		}
		time.Sleep(3 * time.Minute)
		others := 0
		for range 20 {
			criteria.Prompt = prompt(1, 1600)
			c, err := tab.Pick(t.Context(), criteria)
			require.NoError(t, err)
			if c.Address() != listing(7).Address {
				others++
			}
			c.Release()
		}
		require.Positive(t, others, "expired entries do not attract requests")
	})
}

// Guards against reserving load for a canceled request.
func TestPickCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := table(1, nil).Pick(ctx, anyEndpoint)
	require.ErrorIs(t, err, context.Canceled)
}
