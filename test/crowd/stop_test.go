package crowd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a planned stop beside callers that nobody controls whose connections take the process's memory while it waits for
// their ends.
func TestCrowdInPlannedStop(t *testing.T) {
	for _, name := range []string{
		"heads over the limit", "heads without end", "whole heads of short lines", "pipelined heads", "pipelined heads of short lines",
		"chunk extensions without end", "callers that never read", "idle connections", "empty lines, then a request", "no body",
	} {
		t.Run(name, func(t *testing.T) {
			all := startForward(t)
			targets := []target{all["callers"]}
			process := targets[0].process
			g := gather(crowds()[name], targets)
			defer g.end()
			time.Sleep(crowdTime)
			process.Terminate()
			peak := 0
			for began := time.Now(); !process.Exited() && time.Since(began) < answerTimeout; time.Sleep(20 * time.Millisecond) {
				if held, running := memoryIfRunning(process.PID(), "VmHWM:"); running {
					peak = max(peak, held+unreadKB(t, targets))
				}
			}
			t.Logf("memory %d MB in the stop", peak>>10)
			require.True(t, process.Exited())
			require.NotZero(t, peak)
			require.Less(t, peak, memoryMB<<10, "KB of memory")
		})
	}
}
