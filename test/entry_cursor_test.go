package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
	"radishhollow/test/harness"
)

// Guards against a cursor that gives access to the stream of another workspace, to the output of another prompt or to
// an address chosen by the caller. The engines are paused, so that a request that contacts one does not get the
// expected error.
func TestEntryRefusedCursors(t *testing.T) {
	parallel(t)
	d := startServing(t, twoDaemonDeployment(2))
	request := harness.Request{Prompt: "long report", MaxTokens: 200}
	first := d.Generate(t, 0, request)
	first.AwaitTokens(t, 10)
	decoded, encoded := first.LastCursor(t), first.Response().Cursor
	first.Close()
	startedBefore := startedCount(t, d, 0) + startedCount(t, d, 1)
	sign := func(key string, expiry time.Time) string {
		c := decoded
		c.Expiry = expiry.Unix()
		return generation.CursorCodec{Keys: [][]byte{[]byte(key)}}.Encode(c)
	}
	// The replacement is a valid character of the encoding, so that only the signature can reveal the change.
	altered, replacement := []byte(encoded), byte('A')
	if altered[len(altered)/2] == replacement {
		replacement = 'B'
	}
	altered[len(altered)/2] = replacement
	signingKey, validUntil := string(harness.CursorKey()), time.Now().Add(time.Hour)
	d.Engine(0).Pause(t)
	d.Engine(1).Pause(t)
	for _, tt := range []struct {
		code, cursor, workspace string
		ids                     []uint32
	}{
		{code: "cursor-forged", cursor: sign("another key", validUntil)},
		{code: "cursor-forged", cursor: string(altered)},
		{code: "cursor-expired", cursor: sign(signingKey, time.Now().Add(-time.Hour))},
		{code: "cursor-malformed", cursor: encoded[:8]},
		{code: "cursor-foreign-workspace", cursor: encoded, workspace: "small"},
		{code: "cursor-other-prompt", cursor: encoded, ids: []uint32{1, 2, 3}},
	} {
		refused := request
		refused.Cursor, refused.Workspace, refused.TokenPrompt = tt.cursor, tt.workspace, tt.ids
		r := d.Generate(t, 1, refused).Wait(t)
		require.Equal(t, tt.code, r.ErrorCode)
		require.Less(t, r.LongestWait, harness.WaitBound)
	}
	d.Engine(0).Continue()
	d.Engine(1).Continue()
	require.Equal(t, startedBefore, startedCount(t, d, 0)+startedCount(t, d, 1))
	require.Zero(t, engineStats(t, d, 0).Attached+engineStats(t, d, 1).Attached)
}

// Guards against generations and resumes that make calls to the key-value service.
func TestEntryWithoutKeyValueCalls(t *testing.T) {
	parallel(t)
	d := startServing(t, twoDaemonDeployment(2))
	calls := func() (total int) {
		var counts map[string]int
		harness.GetJSON(t, d.Platform(), "/calls", &counts)
		for _, kind := range []string{"get", "put", "delete", "list", "watch", "grant", "revoke"} {
			total += counts[kind]
		}
		return total
	}
	before, resumes := calls(), 30
	for i := range resumes {
		request := harness.Request{Prompt: fmt.Sprintf("report %d", i), MaxTokens: 8}
		first := d.Generate(t, 0, request)
		first.AwaitTokens(t, 2)
		first.Close()
		resumeAt(t, d, 1, request, first.Response()).RequireComplete(t, modelSpec)
	}
	// The bound is not zero, because the daemons make control calls during the test.
	require.Less(t, calls()-before, resumes/2)
}
