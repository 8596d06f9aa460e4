package route_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/core/route"
)

// Guards against a planned restart after which an endpoint gets no more work, because it comes back under the id and at the
// address under which it left. A row of the start that left, or of an earlier one, must not bring it back.
func TestRestartEndsAMark(t *testing.T) {
	for _, tt := range []struct {
		name          string
		before, after int64
		removed       bool
		usable        bool
	}{
		{"restarted", 5, 6, false, true},
		{"restarted after its row was removed", 5, 6, true, true},
		{"the same start", 5, 5, false, false},
		{"the same start after its row was removed", 5, 5, true, false},
		{"an earlier start", 5, 4, true, false},
		{"unknown starts", 0, 0, true, false},
		{"marked without a known start", 0, 6, true, false},
	} {
		for _, dead := range []bool{false, true} {
			t.Run(tt.name, func(t *testing.T) {
				policy := route.DefaultPolicy()
				policy.ListIsCurrent = true
				tab := route.New("daemon", policy)
				row := listing(0)
				row.StartedAtMS = tt.before
				tab.Sync([]route.Listing{row})
				if dead {
					tab.MarkDead(row.Address, row.Incarnation)
				} else {
					row.Leaving = true
					tab.Sync([]route.Listing{row})
				}
				require.False(t, tab.Usable(row.Address, row.Incarnation))
				if tt.removed {
					tab.Sync(nil)
				}
				row.Leaving, row.StartedAtMS = false, tt.after
				tab.Sync([]route.Listing{row})
				require.Equal(t, tt.usable, tab.Usable(row.Address, row.Incarnation))
			})
		}
	}
}
