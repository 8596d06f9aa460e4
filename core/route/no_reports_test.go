package route_test

import (
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/route"
)

// tableWithoutReports returns a table of endpoints that send no load reports: three in each of the places a and b.
func tableWithoutReports(change func(*route.Policy)) *route.Table {
	p := route.DefaultPolicy()
	p.SampleSize, p.ResumeSampleSize, p.SubsetSize = 0, 0, 0
	p.UnreachableTTL = 500 * time.Millisecond
	if change != nil {
		change(&p)
	}
	t := route.New("daemon", p)
	var list []route.Listing
	for i := range 6 {
		list = append(list, route.Listing{
			Address: fmt.Sprintf("10.0.0.%d:80", i), Incarnation: fmt.Sprint(i), Place: string(rune('a' + i%2)),
			Kind: route.KindModel, Name: "m", Slots: 10,
		})
	}
	t.Sync(list)
	return t
}

func pick(t *testing.T, tab *route.Table, criteria route.Criteria) route.Choice {
	t.Helper()
	criteria.Kind, criteria.Name = route.KindModel, "m"
	choice, err := tab.Pick(t.Context(), criteria)
	require.NoError(t, err)
	return choice
}

// Guards against prompts queueing on one engine while others are idle, if engines send no reports. Load pattern: a
// burst of long prompts on one daemon.
func TestPromptsSpreadWithoutReports(t *testing.T) {
	tab := tableWithoutReports(nil)
	used := map[string]int{}
	for range 6 {
		used[pick(t, tab, route.Criteria{PromptTokens: 8000}).Address()]++
	}
	require.Len(t, used, 6)
}

// Guards against counting a prompt as prefill work of an engine after its prefill is done.
func TestPrefillDoneRemovesPromptFromLoad(t *testing.T) {
	tab := tableWithoutReports(nil)
	var choices []route.Choice
	for range 6 {
		choices = append(choices, pick(t, tab, route.Criteria{PromptTokens: 8000}))
	}
	choices[3].PrefillDone()
	require.Equal(t, choices[3].Address(), pick(t, tab, route.Criteria{PromptTokens: 8000}).Address())
	for _, c := range choices {
		c.Release()
		c.PrefillDone()
	}
}

// Guards against a resume in the place whose engines have just failed together, and against a resume that bypasses the
// engine with a copy of the run's KV cache.
func TestResumeAvoidsFailedPlace(t *testing.T) {
	tab := tableWithoutReports(nil)
	for range 20 {
		c := pick(t, tab, route.Criteria{AvoidPlace: "a"})
		require.Equal(t, "b", c.Place())
		c.Release()
		c = pick(t, tab, route.Criteria{AvoidPlace: "a", PreferredAddress: "10.0.0.2:80"})
		require.Equal(t, "10.0.0.2:80", c.Address(), "the preferred address takes precedence over the avoided place")
		c.Release()
	}
	c := pick(t, tab, route.Criteria{PreferredAddress: "10.0.0.2:80", Exclude: map[string]bool{"10.0.0.2:80": true}})
	require.NotEqual(t, "10.0.0.2:80", c.Address())
}

// Guards against a second prefill of a reconnected caller's prompt on another engine. Load pattern: the callers of a
// daemon that stops reconnect to other daemons.
func TestAffinityIsSharedByDaemons(t *testing.T) {
	p := func(p *route.Policy) { p.AffinityTolerance = 0.03 }
	same := 0
	for i := range 100 {
		criteria := route.Criteria{PromptTokens: 8000, AffinityKey: fmt.Sprint("prompt-", i)}
		first, second := pick(t, tableWithoutReports(p), criteria), pick(t, tableWithoutReports(p), criteria)
		if first.Address() == second.Address() {
			same++
		}
	}
	require.Equal(t, 100, same)
	tab := tableWithoutReports(p)
	criteria := route.Criteria{PromptTokens: 8000, AffinityKey: "hot"}
	first, second := pick(t, tab, criteria), pick(t, tab, criteria)
	require.NotEqual(t, first.Address(), second.Address(), "a frequent prompt does not overload one engine")
}

// Guards against more requests in flight to one endpoint than this daemon may have.
func TestMaxInFlight(t *testing.T) {
	tab := tableWithoutReports(nil)
	var last route.Choice
	for range 12 {
		last = pick(t, tab, route.Criteria{MaxInFlight: 2})
	}
	_, err := tab.Pick(t.Context(), route.Criteria{Kind: route.KindModel, Name: "m", MaxInFlight: 2})
	require.Error(t, err)
	last.Release()
	pick(t, tab, route.Criteria{MaxInFlight: 2})
}

// Guards against an endpoint that stays unused forever after one refused connection, if endpoints send no reports.
func TestUnreachableEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := tableWithoutReports(nil)
		tab.SetUnreachable("10.0.0.0:80", "0")
		used := func() bool {
			for range 60 {
				c := pick(t, tab, route.Criteria{})
				c.Release()
				if c.Address() == "10.0.0.0:80" {
					return true
				}
			}
			return false
		}
		require.False(t, used())
		time.Sleep(600 * time.Millisecond)
		require.True(t, used())
	})
}

// Guards against keeping the state of an endpoint that was restarted under the same incarnation.
func TestNewStartReplacesEndpoint(t *testing.T) {
	tab := tableWithoutReports(nil)
	tab.SetUnreachable("10.0.0.0:80", "0")
	list, _ := tab.Listings()
	for i := range list {
		list[i].StartedAtMS = 5
	}
	tab.Sync(list)
	c := pick(t, tab, route.Criteria{PreferredAddress: "10.0.0.0:80"})
	require.Equal(t, "10.0.0.0:80", c.Address())
	require.True(t, tab.HasIncarnation("10.0.0.0:80", "0"))
}

// Guards against queueing a prompt behind those of other daemons while engines are idle. Load pattern: many daemons
// with a few long prompts each.
func TestQueriedLoadShowsPromptsOfOtherDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := tableWithoutReports(func(p *route.Policy) {
			p.QueriedLoadTTL, p.QueriedLoadLag = 500*time.Millisecond, 200*time.Millisecond
		})
		criteria := route.Criteria{Kind: route.KindModel, Name: "m", PromptTokens: 8000, AffinityKey: "x"}
		candidates := tab.LoadQueryCandidates(criteria, 2)
		require.Len(t, candidates, 2)
		tab.RecordQueriedLoad(candidates[0], route.QueriedLoad{Running: 2, Prefilling: 2})
		tab.RecordQueriedLoad(candidates[1], route.QueriedLoad{Running: 3})
		criteria.QueriedAddresses = candidates
		c := pick(t, tab, criteria)
		require.Equal(t, candidates[1], c.Address(), "a pending prefill costs more than a larger batch")
		require.Equal(t, 3, c.Load(), "the load when the endpoint was picked")
		require.Zero(t, c.PrefillTokens())
		next := pick(t, tab, criteria)
		require.Equal(t, candidates[0], next.Address(), "requests sent since the load query are included")
		c.Release()
		next.Release()
		time.Sleep(time.Second)
		require.Equal(t, candidates, tab.LoadQueryCandidates(criteria, 2), "an expired load is ignored")
	})
}

// Guards against all daemons querying and picking the same few engines for all prompts without an affinity key.
func TestLoadQueryCandidatesWithoutAffinity(t *testing.T) {
	tab := tableWithoutReports(func(p *route.Policy) { p.AffinityTolerance = 0.03 })
	used := map[string]bool{}
	for range 60 {
		for _, address := range tab.LoadQueryCandidates(route.Criteria{Kind: route.KindModel, Name: "m", PromptTokens: 8000}, 2) {
			used[address] = true
		}
	}
	require.Len(t, used, 6)
}

// Guards against a request to an endpoint that has crashed and restarted at the same address, before the instance list
// shows it.
func TestQueriedLoadShowsNewStart(t *testing.T) {
	tab := tableWithoutReports(nil)
	list, _ := tab.Listings()
	for i := range list {
		list[i].StartedAtMS = 5
	}
	tab.Sync(list)
	tab.RecordQueriedLoad("10.0.0.0:80", route.QueriedLoad{StartedAtMS: 6})
	for range 60 {
		c := pick(t, tab, route.Criteria{})
		require.NotEqual(t, "10.0.0.0:80", c.Address())
		c.Release()
	}
}

// Guards against new work on an engine that is about to leave while others are as good, and against refusing work when
// all are about to leave. Load pattern: engines are replaced while the store is down.
func TestQueriedLoadAvoidsLeavingEngines(t *testing.T) {
	tab := tableWithoutReports(func(p *route.Policy) { p.QueriedLoadTTL = time.Minute })
	for i := range 5 {
		tab.RecordQueriedLoad(fmt.Sprintf("10.0.0.%d:80", i), route.QueriedLoad{Leaving: true})
	}
	c := pick(t, tab, route.Criteria{})
	require.Equal(t, "10.0.0.5:80", c.Address())
	tab.RecordQueriedLoad("10.0.0.5:80", route.QueriedLoad{Leaving: true})
	pick(t, tab, route.Criteria{})
}

// Guards against new work on an engine that is still slow after its start while others are as good. Load pattern:
// engines with empty caches are added under load.
func TestWarmUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := tableWithoutReports(nil)
		list, _ := tab.Listings()
		starting := list[0]
		starting.Address, starting.Incarnation, starting.WarmUp = "10.0.0.9:80", "9", 3*time.Second
		tab.Sync(append(list, starting))
		used := func() bool {
			for range 80 {
				c := pick(t, tab, route.Criteria{})
				c.Release()
				if c.Address() == starting.Address {
					return true
				}
			}
			return false
		}
		require.False(t, used())
		time.Sleep(3 * time.Second)
		require.True(t, used())
	})
}

// Guards against relying on a copy of a run's KV cache on an engine that has crashed or is leaving.
func TestUsable(t *testing.T) {
	tab := tableWithoutReports(nil)
	require.True(t, tab.Usable("10.0.0.0:80", "0"))
	require.False(t, tab.Usable("10.0.0.0:80", "other"), "another start")
	require.False(t, tab.Usable("10.9.9.9:80", "0"), "not listed")
	tab.MarkLeaving("10.0.0.0:80", "0")
	tab.MarkDead("10.0.0.1:80", "1")
	tab.SetAddressUnreachable("10.0.0.2:80")
	for i := range 3 {
		require.False(t, tab.Usable(fmt.Sprintf("10.0.0.%d:80", i), strconv.Itoa(i)))
	}
}

// Guards against a second prefill of a reconnected caller's prompt, because the engine that has it cached still reports
// the lost run. Load pattern: daemons are killed, and their callers reconnect to others at once.
func TestReconnectedCallersReuseTheirPrompt(t *testing.T) {
	tab := tableWithoutReports(func(p *route.Policy) { p.AffinityTolerance, p.QueriedLoadTTL = 0.03, time.Minute })
	criteria := route.Criteria{Kind: route.KindModel, Name: "m", PromptTokens: 8000, AffinityKey: "x"}
	criteria.QueriedAddresses = tab.LoadQueryCandidates(criteria, 3)
	affinityAddress := criteria.QueriedAddresses[0]
	c := pick(t, tab, criteria)
	require.Equal(t, affinityAddress, c.Address())
	c.Release()
	tab.RecordQueriedLoad(affinityAddress, route.QueriedLoad{Running: 1})
	c = pick(t, tab, criteria)
	require.NotEqual(t, affinityAddress, c.Address(), "a new prompt goes to an idle engine")
	c.Release()
	criteria.Reconnected = true
	require.Equal(t, affinityAddress, tab.LoadQueryCandidates(criteria, 3)[0])
	c = pick(t, tab, criteria)
	require.Equal(t, affinityAddress, c.Address())
	c.Release()
	tab.RecordQueriedLoad(affinityAddress, route.QueriedLoad{Running: 3, Prefilling: 3})
	c = pick(t, tab, criteria)
	require.NotEqual(t, affinityAddress, c.Address(), "waiting for other prompts takes longer than another prefill")
}
