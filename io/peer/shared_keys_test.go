package peer

import (
	"math/bits"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against keys that no daemon writes for as long as each of them draws the others: a daemon that starts in that
// time creates keys which those that run do not know.
func TestSharedKeysAreWrittenAfterFewChecks(t *testing.T) {
	for _, daemons := range []int{0, 1, 2, 5, 118, 5000} {
		t.Run(strconv.Itoa(daemons), func(t *testing.T) {
			f := newFakeKV()
			keys := sharedKeys{store: f.store(), keys: &Keys{}, draw: func(n int) int { return n - 1 }}
			checks := 0
			for ; len(storedKeys(t, f)) == 0 && checks < 100; checks++ {
				keys.rotateIfDue(t.Context(), daemons)
			}
			require.LessOrEqual(t, checks, bits.Len(uint(daemons))+1)
		})
	}
}
