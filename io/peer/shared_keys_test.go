package peer

import (
	"math/bits"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against keys that no daemon writes for as long as each of them draws the others: a daemon that starts in that
// time creates keys which those that run do not know. Checks in quick succession must not lead to a write by each daemon.
func TestSharedKeysAreWrittenAfterFewChecks(t *testing.T) {
	for _, daemons := range []int{0, 1, 2, 5, 118, 5000} {
		t.Run(strconv.Itoa(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeKV()
				keys := sharedKeys{store: f.store(), keys: &Keys{}, draw: func(n int) int { return n - 1 }}
				seconds := 0
				for ; len(storedKeys(t, f)) == 0 && seconds < 100; seconds++ {
					for range 20 {
						keys.rotateIfDue(t.Context(), daemons)
					}
					time.Sleep(time.Second)
				}
				want := bits.Len(uint(max(daemons-1, 0)))
				require.LessOrEqual(t, seconds, want+1)
				require.GreaterOrEqual(t, seconds, want)
			})
		})
	}
}
