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

// silent returns a table of endpoints that do not report their load: three in each of the places a and b.
func silent(change func(*route.Policy)) *route.Table {
	p := route.DefaultPolicy()
	p.Candidates, p.ResumeCandidates, p.SubsetSize = 0, 0, 0
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

func pick(t *testing.T, tab *route.Table, need route.Criteria) route.Choice {
	t.Helper()
	need.Kind, need.Name = route.KindModel, "m"
	choice, err := tab.Pick(t.Context(), need)
	require.NoError(t, err)
	return choice
}

// Guards against prompts that pile up on one engine while others are idle, where engines report nothing. Load pattern:
// a burst of long prompts on one daemon.
func TestPromptsSpreadWithoutReports(t *testing.T) {
	tab := silent(nil)
	used := map[string]int{}
	for range 6 {
		used[pick(t, tab, route.Criteria{PromptTokens: 8000}).Address()]++
	}
	require.Len(t, used, 6)
}

// Guards against an engine that counts as busy with a prompt which it has read already.
func TestBegunReleasesThePrompt(t *testing.T) {
	tab := silent(nil)
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

// Guards against a resume that goes to the place whose engines have just failed together, or past the engine that holds
// a copy of the run's memory.
func TestResumePlaces(t *testing.T) {
	tab := silent(nil)
	for range 20 {
		c := pick(t, tab, route.Criteria{AvoidPlace: "a"})
		require.Equal(t, "b", c.Place())
		c.Release()
		c = pick(t, tab, route.Criteria{AvoidPlace: "a", PreferredAddress: "10.0.0.2:80"})
		require.Equal(t, "10.0.0.2:80", c.Address(), "the copy is worth more than the place")
		c.Release()
	}
	c := pick(t, tab, route.Criteria{PreferredAddress: "10.0.0.2:80", Exclude: map[string]bool{"10.0.0.2:80": true}})
	require.NotEqual(t, "10.0.0.2:80", c.Address())
}

// Guards against a returning caller's prompt that is read again on another engine. Load pattern: callers of a daemon
// that stops come back at the others.
func TestAffinityIsSharedByDaemons(t *testing.T) {
	p := func(p *route.Policy) { p.AffinityTolerance = 0.03 }
	hits := 0
	for i := range 100 {
		need := route.Criteria{PromptTokens: 8000, AffinityKey: fmt.Sprint("prompt-", i)}
		first, second := pick(t, silent(p), need), pick(t, silent(p), need)
		if first.Address() == second.Address() {
			hits++
		}
	}
	require.Equal(t, 100, hits)
	tab := silent(p)
	need := route.Criteria{PromptTokens: 8000, AffinityKey: "hot"}
	first, second := pick(t, tab, need), pick(t, tab, need)
	require.NotEqual(t, first.Address(), second.Address(), "a hot prompt crowds no engine")
}

// Guards against more connections to one endpoint than this daemon's part.
func TestMaxInFlight(t *testing.T) {
	tab := silent(nil)
	var last route.Choice
	for range 12 {
		last = pick(t, tab, route.Criteria{MaxInFlight: 2})
	}
	_, err := tab.Pick(t.Context(), route.Criteria{Kind: route.KindModel, Name: "m", MaxInFlight: 2})
	require.Error(t, err)
	last.Release()
	pick(t, tab, route.Criteria{MaxInFlight: 2})
}

// Guards against an endpoint that stays unused for ever after one refused connection, where none reports.
func TestUnreachableEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := silent(nil)
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

// Guards against state of before that stays with an endpoint which has started again under its id.
func TestBornReplaces(t *testing.T) {
	tab := silent(nil)
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

// Guards against a prompt that is queued behind those of other daemons while engines are idle. Load pattern: many daemons
// that each place few long prompts.
func TestPeekShowsThePromptsOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := silent(func(p *route.Policy) { p.ProbeTTL, p.ProbeLag = 500*time.Millisecond, 200*time.Millisecond })
		need := route.Criteria{Kind: route.KindModel, Name: "m", PromptTokens: 8000, AffinityKey: "x"}
		asked := tab.ProbeCandidates(need, 2)
		require.Len(t, asked, 2)
		tab.RecordProbe(asked[0], route.LoadProbe{Running: 2, Prefilling: 2})
		tab.RecordProbe(asked[1], route.LoadProbe{Running: 3})
		need.CandidateAddresses = asked
		c := pick(t, tab, need)
		require.Equal(t, asked[1], c.Address(), "a prompt before it is worse than a fuller batch")
		require.Equal(t, 3, c.Load(), "what was known when it was chosen")
		require.Zero(t, c.PrefillTokens())
		next := pick(t, tab, need)
		require.Equal(t, asked[0], next.Address(), "what was sent since the peek counts")
		c.Release()
		next.Release()
		time.Sleep(time.Second)
		require.Equal(t, asked, tab.ProbeCandidates(need, 2), "an old peek counts no longer")
	})
}

// Guards against three engines that are asked and used by all daemons for all prompts that nothing identifies.
func TestCandidatesWithoutAffinity(t *testing.T) {
	tab := silent(func(p *route.Policy) { p.AffinityTolerance = 0.03 })
	used := map[string]bool{}
	for range 60 {
		for _, address := range tab.ProbeCandidates(route.Criteria{Kind: route.KindModel, Name: "m", PromptTokens: 8000}, 2) {
			used[address] = true
		}
	}
	require.Len(t, used, 6)
}

// Guards against a request to an endpoint that has crashed and started again at its address, before the
// list tells.
func TestPeekShowsAnotherStart(t *testing.T) {
	tab := silent(nil)
	list, _ := tab.Listings()
	for i := range list {
		list[i].StartedAtMS = 5
	}
	tab.Sync(list)
	tab.RecordProbe("10.0.0.0:80", route.LoadProbe{StartedAtMS: 6})
	for range 60 {
		c := pick(t, tab, route.Criteria{})
		require.NotEqual(t, "10.0.0.0:80", c.Address())
		c.Release()
	}
}

// Guards against new work on an engine that is about to leave while others are as good, and against none at all where
// all say so. Load pattern: engines are replaced while the store is down.
func TestPeekPrefersEnginesThatStay(t *testing.T) {
	tab := silent(func(p *route.Policy) { p.ProbeTTL = time.Minute })
	for i := range 5 {
		tab.RecordProbe(fmt.Sprintf("10.0.0.%d:80", i), route.LoadProbe{Leaving: true})
	}
	c := pick(t, tab, route.Criteria{})
	require.Equal(t, "10.0.0.5:80", c.Address())
	tab.RecordProbe("10.0.0.5:80", route.LoadProbe{Leaving: true})
	pick(t, tab, route.Criteria{})
}

// Guards against new work on an engine that is still slow after its start while others are as good. Load pattern: empty
// engines are added under load.
func TestSlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := silent(nil)
		list, _ := tab.Listings()
		fresh := list[0]
		fresh.Address, fresh.Incarnation, fresh.WarmUp = "10.0.0.9:80", "9", 3*time.Second
		tab.Sync(append(list, fresh))
		used := func() bool {
			for range 80 {
				c := pick(t, tab, route.Criteria{})
				c.Release()
				if c.Address() == fresh.Address {
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

// Guards against a copy of a run's memory that is believed to be at an engine that has crashed or leaves.
func TestUsable(t *testing.T) {
	tab := silent(nil)
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

// Guards against a prompt that is read again for a caller that comes back, because the engine that holds it still reports
// the run that was lost. Load pattern: daemons are killed, and their callers come back at others at once.
func TestReturnedCallersFindTheirPrompt(t *testing.T) {
	tab := silent(func(p *route.Policy) { p.AffinityTolerance, p.ProbeTTL = 0.03, time.Minute })
	need := route.Criteria{Kind: route.KindModel, Name: "m", PromptTokens: 8000, AffinityKey: "x"}
	need.CandidateAddresses = tab.ProbeCandidates(need, 3)
	named := need.CandidateAddresses[0]
	c := pick(t, tab, need)
	require.Equal(t, named, c.Address())
	c.Release()
	tab.RecordProbe(named, route.LoadProbe{Running: 1})
	c = pick(t, tab, need)
	require.NotEqual(t, named, c.Address(), "a new prompt goes where nothing runs")
	c.Release()
	need.Reconnected = true
	require.Equal(t, named, tab.ProbeCandidates(need, 3)[0])
	c = pick(t, tab, need)
	require.Equal(t, named, c.Address())
	c.Release()
	tab.RecordProbe(named, route.LoadProbe{Running: 3, Prefilling: 3})
	c = pick(t, tab, need)
	require.NotEqual(t, named, c.Address(), "waiting for other prompts takes longer than reading this one again")
}
