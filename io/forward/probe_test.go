package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/route"
)

// Guards against prompts that wait for seconds at engines whose hosts have failed without closing their connections,
// and against probes of engines that are only busy with a prefill. Load pattern: all engines of a place lose power
// while some of them have not sent their first event.
func TestStalledBeforeTheFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		connectAttempts, silent := 0, []bool{}
		s := &Server{ConnectTimesOut: func(context.Context, string) bool {
			connectAttempts++
			return silent[connectAttempts-1]
		}}
		newHandler := func(place string) *streamHandler {
			h := &streamHandler{server: s, ctx: t.Context(), attemptState: attemptState{choice: route.NewChoice("a", "1", place, nil)}}
			h.probeLimiter.reset()
			return h
		}
		sameHandler, otherHandler := newHandler("p"), newHandler("q")
		time.Sleep(suspectProbeInterval + time.Millisecond)
		require.False(t, sameHandler.stalled("a"))
		require.Zero(t, connectAttempts, "no engine of the place has gone silent")

		s.silenceTimes.record("p")
		silent = []bool{true, false}
		require.False(t, sameHandler.stalled("a"), "one connection attempt without a response may be packet loss")
		require.False(t, otherHandler.stalled("a"))
		require.False(t, sameHandler.stalled("a"))
		require.Equal(t, 2, connectAttempts, "the same silence causes only one probe")

		time.Sleep(probeInterval)
		silent = []bool{true, false, true, true, true, true}
		require.True(t, sameHandler.stalled("a"), "a probe is due after probeInterval without any silence")
		require.True(t, otherHandler.stalled("a"))
		require.Equal(t, 6, connectAttempts)
	})
}
