package route_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a frozen endpoint that looks well because its last report is good, and against one that counts as
// stalled after it has reported again.
func TestStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := table(2, nil)
		first, second := listing(0).Address, listing(1).Address
		require.False(t, tab.Stalled(first))
		tab.SetUnreachable(first, "1")
		require.True(t, tab.Stalled(first))
		require.False(t, tab.Stalled(second))
		tab.Update(report(0, 2, 0))
		require.False(t, tab.Stalled(first))
		time.Sleep(1100 * time.Millisecond)
		require.True(t, tab.Stalled(second))
		require.False(t, tab.Stalled("127.0.0.1:1"))
	})
}
