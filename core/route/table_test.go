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

func reasonOf(t *testing.T, tab *route.Table, need route.Criteria) route.Reason {
	t.Helper()
	_, err := tab.Pick(t.Context(), need)
	var failed route.NoEndpointError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, failure.NotRun, failure.Of(err).Outcome())
	return failed.Reason
}

var anyNeed = route.Criteria{Kind: route.KindModel, Name: "m"}

// Guards against work for an endpoint that is leaving, dead, excluded, or lacks the spec.
func TestFilters(t *testing.T) {
	tests := []struct {
		name   string
		need   route.Criteria
		change func(*route.Table)
		reason route.Reason
	}{
		{name: "unknown name", need: route.Criteria{Kind: route.KindModel, Name: "x"}, reason: route.ReasonUnlisted},
		{name: "other spec", need: route.Criteria{Kind: route.KindModel, Name: "m", Spec: "m@2"}, reason: route.ReasonSpec},
		{name: "other adapter", need: route.Criteria{Kind: route.KindModel, Name: "m", Adapter: "b"}, reason: route.ReasonSpec},
		{
			name: "excluded", reason: route.ReasonExcluded,
			need: route.Criteria{Kind: route.KindModel, Name: "m", Exclude: map[string]bool{listing(0).Address: true}},
		},
		{name: "leaving", need: anyNeed, reason: route.ReasonMarked, change: func(tab *route.Table) {
			tab.MarkLeaving(listing(0).Address, "1")
		}},
		{name: "dead", need: anyNeed, reason: route.ReasonMarked, change: func(tab *route.Table) {
			tab.MarkDead(listing(0).Address, "1")
		}},
		{name: "unreachable", need: anyNeed, reason: route.ReasonNotReady, change: func(tab *route.Table) {
			tab.SetUnreachable(listing(0).Address, "1")
		}},
		{name: "leaving by report", need: anyNeed, reason: route.ReasonMarked, change: func(tab *route.Table) {
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
			require.Equal(t, tt.reason, reasonOf(t, tab, tt.need))
		})
	}
	c, err := table(1, nil).Pick(t.Context(), route.Criteria{Kind: route.KindModel, Name: "m", Spec: "m@1+a@2"})
	require.NoError(t, err)
	require.Equal(t, listing(0).Address, c.Address())
}

// Guards against a mark on an old incarnation stopping the new one, and a lagging list restoring the old one.
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
	c, err := tab.Pick(t.Context(), anyNeed)
	require.NoError(t, err)
	require.Equal(t, "2", c.Incarnation())
	tab.Update(report(0, 9, 0))
	require.True(t, tab.HasIncarnation(address, "2"))
}

// Guards against a dead mark that outlives a pause, and against a leaving mark that a report takes back.
func TestMarksEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := table(1, nil)
		address := listing(0).Address
		tab.MarkDead(address, "1")
		tab.Update(report(0, 2, 0))
		require.False(t, tab.Alive(address), "a report already under way does not clear the mark")
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
		require.False(t, tab.Alive(address), "no report for longer than AliveFor")
	})
}

// Guards against peers that renew one another's marks for ever, or mark an endpoint that has reported since.
func TestAdoptedMarks(t *testing.T) {
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
		c, err := b.Pick(t.Context(), anyNeed)
		require.NoError(t, err)
		require.Equal(t, address, c.Address(), "the other one is still leaving")
	})
}

// Guards against marks of many incarnations taking unbounded memory.
func TestMarksAreBounded(t *testing.T) {
	tab := table(1, func(p *route.Policy) { p.MaxMarks = 10 })
	for i := range 100 {
		tab.MarkLeaving(listing(0).Address, fmt.Sprint(i+10))
	}
	require.Len(t, tab.Marks(), 10)
}

// Guards against all work going to the endpoint whose lagging report looks emptiest.
func TestOwnWorkCountsBeforeReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := table(2, func(p *route.Policy) { p.Candidates, p.Headroom = 0, 0 })
		tab.Update(report(0, 2, 4))
		for range 3 {
			counts := make(map[string]int)
			var choices []route.Choice
			for range 10 {
				c, err := tab.Pick(t.Context(), anyNeed)
				require.NoError(t, err)
				counts[c.Address()]++
				choices = append(choices, c)
			}
			require.Equal(t, 3, counts[listing(0).Address], "released work is given back once")
			for _, c := range choices {
				c.Release()
				c.Release()
			}
		}
	})
}

// Guards against counting work twice once a report includes it, and after it ends.
func TestReportFoldsCorrections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := table(1, func(p *route.Policy) { p.Headroom = 0.5 })
		var choices []route.Choice
		for range 5 {
			c, err := tab.Pick(t.Context(), anyNeed)
			require.NoError(t, err)
			choices = append(choices, c)
		}
		require.Equal(t, route.ReasonHeadroom, reasonOf(t, tab, anyNeed))
		tab.Update(report(0, 2, 0))
		require.Equal(t, route.ReasonHeadroom, reasonOf(t, tab, anyNeed), "the report may be older than the work")
		time.Sleep(time.Second)
		tab.Update(report(0, 3, 4))
		c, err := tab.Pick(t.Context(), anyNeed)
		require.NoError(t, err)
		require.Equal(t, route.ReasonHeadroom, reasonOf(t, tab, anyNeed))
		choices[0].Release()
		_, err = tab.Pick(t.Context(), anyNeed)
		require.NoError(t, err)
		c.Release()
		resume := anyNeed
		resume.Resume = true
		for range 5 {
			_, err = tab.Pick(t.Context(), resume)
			require.NoError(t, err, "a resume may use the headroom")
		}
	})
}

// Guards against new prompts on decode-only engines, and against refusing them where nothing else exists.
func TestRoles(t *testing.T) {
	tab := table(2, nil)
	decode := report(0, 2, 0)
	decode.Role = "decode"
	tab.Update(decode)
	tab.Update(report(1, 2, 5))
	c, err := tab.Pick(t.Context(), anyNeed)
	require.NoError(t, err)
	require.Equal(t, listing(1).Address, c.Address())
	tab.MarkLeaving(listing(1).Address, "1")
	c, err = tab.Pick(t.Context(), anyNeed)
	require.NoError(t, err)
	require.Equal(t, listing(0).Address, c.Address())
}

// Guards against a subset that misses a place, moves with unrelated changes, or blocks when it has no candidate.
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
	c, err := tab.Pick(t.Context(), anyNeed)
	require.NoError(t, err)
	require.False(t, subset[c.Address()])
	require.Len(t, tab.PollTargets(), 9, "an endpoint with work is polled outside the subset too")
	c.Release()
	require.Len(t, tab.PollTargets(), 8)
}

// Guards against an open circuit that takes work, a lost probe that blocks it for ever, and late results.
func TestBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := table(1, nil)
		c, err := tab.Pick(t.Context(), anyNeed)
		require.NoError(t, err)
		for range 3 {
			tab.RecordResult(route.NewChoice(c.Address(), "0", "", nil), route.ResultFailed)
		}
		for range 3 {
			_, err = tab.Pick(t.Context(), anyNeed)
			require.NoError(t, err)
			tab.RecordResult(c, route.ResultFailed)
		}
		require.Equal(t, route.ReasonCircuit, reasonOf(t, tab, anyNeed))
		time.Sleep(time.Second)
		probe, err := tab.Pick(t.Context(), anyNeed)
		require.NoError(t, err)
		require.Equal(t, route.ReasonCircuit, reasonOf(t, tab, anyNeed))
		probe.Release()
		probe, err = tab.Pick(t.Context(), anyNeed)
		require.NoError(t, err)
		tab.RecordResult(probe, route.ResultOK)
		_, err = tab.Pick(t.Context(), anyNeed)
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

// Guards against an index that misses a prefix because of a lost event, or trusts an old incarnation or old entry.
func TestPrefixEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := table(10, nil)
		need := route.Criteria{Kind: route.KindModel, Name: "m", Prompt: prompt(1, 1600), MaxTokens: 10}
		var events []route.CacheEvent
		for i, block := range route.Blocks(need.Prompt) {
			if i%5 != 3 {
				events = append(events, route.CacheEvent{Kind: route.CacheStored, Block: block})
			}
		}
		tab.ApplyCacheEvents(listing(7).Address, "1", events)
		tab.ApplyCacheEvents(listing(8).Address, "0", events)
		tab.ApplyCacheEvents(listing(3).Address, "1", events[:8])
		for range 5 {
			c, err := tab.Pick(t.Context(), need)
			require.NoError(t, err)
			require.Equal(t, listing(7).Address, c.Address())
			c.Release()
		}
		time.Sleep(3 * time.Minute)
		others := 0
		for range 20 {
			need.Prompt = prompt(1, 1600)
			c, err := tab.Pick(t.Context(), need)
			require.NoError(t, err)
			if c.Address() != listing(7).Address {
				others++
			}
			c.Release()
		}
		require.Positive(t, others, "expired entries attract no work")
	})
}

// Guards against a cancelled caller reserving load.
func TestPickCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := table(1, nil).Pick(ctx, anyNeed)
	require.ErrorIs(t, err, context.Canceled)
}
