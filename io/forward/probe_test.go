package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/route"
)

// Guards against prompts that wait some seconds at engines that are gone without a trace, and against probes of engines
// that just read a prompt. Load pattern: all engines of a place lose power while some of them have not answered yet.
func TestStalledBeforeTheFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		probed, answers := 0, []bool{}
		s := &Server{ConnectTimesOut: func(context.Context, string) bool {
			probed++
			return answers[probed-1]
		}}
		waiting := func(place string) *streamed {
			w := &streamed{server: s, ctx: t.Context(), choice: route.NewChoice("a", "1", place, nil)}
			w.probe.start()
			return w
		}
		here, there := waiting("p"), waiting("q")
		time.Sleep(probePause + time.Millisecond)
		require.False(t, here.stalled("a"))
		require.Zero(t, probed, "no reason for a probe")

		s.silences.note("p")
		answers = []bool{true, false}
		require.False(t, here.stalled("a"), "one lost packet is no loss")
		require.False(t, there.stalled("a"))
		require.False(t, here.stalled("a"))
		require.Equal(t, 2, probed, "the same silence is no reason for another probe")

		time.Sleep(probeEvery)
		answers = []bool{true, false, true, true, true, true}
		require.True(t, here.stalled("a"), "now and then without a reason")
		require.True(t, there.stalled("a"))
		require.Equal(t, 6, probed)
	})
}
