package test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/test/harness"
)

// Guards against a daemon that reports ready before it has its first load reports. Its first requests were refused with
// no-endpoint or, because its capacity was still 1, with overloaded.
func TestReadyServesAtOnce(t *testing.T) {
	parallel(t)
	d := engineDeployment(4)
	d.Model = "briefing@1+crew@3"
	d.Start(t)
	d.Model = "briefing@1"
	d.ApplySheet(t, 0, d.Sheet(1, "adapter,crew,briefing,3,,,,,,,,,,,"))
	d.AwaitReady(t, 0)
	for n := 1; n <= 4; n++ {
		d.AddDaemon(t)
		d.AwaitReady(t, n)
		var group sync.WaitGroup
		responses := make([]harness.Response, 8)
		for i := range responses {
			group.Go(func() {
				request := harness.Request{Model: "briefing:crew", Prompt: fmt.Sprint("gate ", i), MaxTokens: 4}
				responses[i] = d.Generate(t, n, request).Wait(t)
			})
		}
		group.Wait()
		for _, r := range responses {
			require.Empty(t, r.ErrorCode)
			require.Equal(t, "length", r.FinishReason)
		}
	}
}
