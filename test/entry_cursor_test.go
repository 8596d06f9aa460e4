package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
	"radishhollow/test/harness"
)

// Guards against a cursor that opens another workspace's stream, another prompt's output or a connection to an address
// of a caller's choice. The engines are paused, so that a request that contacts one doesn't get its error.
func TestEntryRefusedCursors(t *testing.T) {
	parallel(t)
	d := launch(t, entries(2))
	ask := harness.Ask{Prompt: "long report", MaxTokens: 200}
	first := d.Ask(t, 0, ask)
	first.Await(t, 10)
	position, text := first.Position(t), first.Reply().Cursor
	first.Close()
	runs := started(t, d, 0) + started(t, d, 1)
	sign := func(key string, expiry time.Time) string {
		c := position
		c.Expiry = expiry.Unix()
		return generation.CursorCodec{Keys: [][]byte{[]byte(key)}}.Encode(c)
	}
	// The altered character stays in the alphabet, so that only the signature can show the change.
	altered, replacement := []byte(text), byte('A')
	if altered[len(altered)/2] == replacement {
		replacement = 'B'
	}
	altered[len(altered)/2] = replacement
	real, later := string(harness.CursorKey()), time.Now().Add(time.Hour)
	d.Engine(0).Pause(t)
	d.Engine(1).Pause(t)
	for _, tt := range []struct {
		code, cursor, workspace string
		ids                     []uint32
	}{
		{code: "cursor-forged", cursor: sign("another key", later)},
		{code: "cursor-forged", cursor: string(altered)},
		{code: "cursor-expired", cursor: sign(real, time.Now().Add(-time.Hour))},
		{code: "cursor-malformed", cursor: text[:8]},
		{code: "cursor-foreign-workspace", cursor: text, workspace: "small"},
		{code: "cursor-other-prompt", cursor: text, ids: []uint32{1, 2, 3}},
	} {
		bad := ask
		bad.Cursor, bad.Workspace, bad.IDs = tt.cursor, tt.workspace, tt.ids
		r := d.Ask(t, 1, bad).Wait(t)
		require.Equal(t, tt.code, r.Code)
		require.Less(t, r.Longest, harness.WaitBound)
	}
	d.Engine(0).Continue()
	d.Engine(1).Continue()
	require.Equal(t, runs, started(t, d, 0)+started(t, d, 1))
	require.Zero(t, stats(t, d, 0).Attached+stats(t, d, 1).Attached)
}

// Guards against generations and resumes that cost key-value calls.
func TestEntryWithoutKeyValueCalls(t *testing.T) {
	parallel(t)
	d := launch(t, entries(2))
	calls := func() (total int) {
		var counts map[string]int
		harness.Get(t, d.Platform(), "/calls", &counts)
		for _, kind := range []string{"get", "put", "delete", "list", "watch", "grant", "revoke"} {
			total += counts[kind]
		}
		return total
	}
	before, resumes := calls(), 30
	for i := range resumes {
		ask := harness.Ask{Prompt: fmt.Sprintf("report %d", i), MaxTokens: 8}
		first := d.Ask(t, 0, ask)
		first.Await(t, 2)
		first.Close()
		repeat(t, d, 1, ask, first.Reply()).RequireWhole(t, spec)
	}
	// The daemons' own control calls go on meanwhile.
	require.Less(t, calls()-before, resumes/2)
}
