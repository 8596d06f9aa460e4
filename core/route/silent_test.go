package route

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// Guards against an endpoint that has failed, is full or must be avoided and is chosen because it is also silent, and
// against one that is only silent and is not chosen although there is no other.
func TestEndpointsThatAreOnlySilent(t *testing.T) {
	silences := func(tab *Table, c Choice) {
		for range 3 {
			tab.RecordResult(c, ResultSilent)
		}
	}
	for _, tt := range []struct {
		name     string
		apply    func(tab *Table, c Choice)
		exclude  bool
		eligible bool
	}{
		{name: "silent streams", apply: silences, eligible: true},
		{name: "silent to a query", apply: func(tab *Table, c Choice) { tab.SetSilent(c.Address()) }, eligible: true},
		{name: "both", apply: func(tab *Table, c Choice) { silences(tab, c); tab.SetSilent(c.Address()) }, eligible: true},
		{name: "silent, for a move", apply: silences, exclude: true},
		{name: "one failure among silences", apply: func(tab *Table, c Choice) {
			tab.RecordResult(c, ResultFailed)
			silences(tab, c)
		}},
		{name: "silent and full", apply: func(tab *Table, c Choice) {
			silences(tab, c)
			tab.RecordResult(c, ResultRefused)
		}},
		{name: "unreachable, then silent", apply: func(tab *Table, c Choice) {
			tab.SetUnreachable(c.Address(), c.Incarnation())
			tab.SetSilent(c.Address())
		}},
		{name: "silent, then unreachable", apply: func(tab *Table, c Choice) {
			tab.SetSilent(c.Address())
			tab.SetUnreachable(c.Address(), c.Incarnation())
		}},
		{name: "silent, then responding", apply: func(tab *Table, c Choice) {
			tab.SetSilent(c.Address())
			tab.RecordQueriedLoad(c.Address(), QueriedLoad{})
		}, exclude: true, eligible: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			policy := DefaultPolicy()
			policy.UnreachableTTL, policy.BreakerMinOpen, policy.BreakerMaxOpen = time.Minute, time.Minute, time.Minute
			tab := New("d", policy)
			tab.Sync([]Listing{{Address: "a", Incarnation: "1", Kind: KindModel, Name: "m", Slots: 4}})
			criteria := Criteria{Kind: KindModel, Name: "m"}
			choice, err := tab.Pick(t.Context(), criteria)
			require.NoError(t, err)
			choice.Release()
			tt.apply(tab, choice)
			criteria.ExcludeSilent = tt.exclude
			choice, err = tab.Pick(t.Context(), criteria)
			if !tt.eligible {
				_, none := errors.AsType[NoEndpointError](err)
				require.True(t, none)
				return
			}
			require.NoError(t, err)
			choice.Release()
		})
	}
}
