package generation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
)

// Guards against a cursor that gives access to another workspace's stream or to the output of another prompt, and
// against a rotated key that is no longer accepted.
func TestCursorCodec(t *testing.T) {
	now := time.Unix(1000, 0)
	prompt := generation.PromptDigest([]uint32{1, 2})
	cursor := generation.Cursor{
		Generation: "g", Address: "127.0.0.1:1", Attempt: 2, Offset: 3, PromptDigest: prompt, Workspace: "north",
		Digest: generation.DigestOf([]uint32{4}), Expiry: 2000,
	}
	old := generation.CursorCodec{Keys: [][]byte{[]byte("old")}}
	text := old.Encode(cursor)
	rotated := generation.CursorCodec{Keys: [][]byte{[]byte("new"), []byte("old")}}
	got, err := rotated.Decode(text, "north", prompt, now)
	require.NoError(t, err)
	require.Equal(t, cursor, got)

	tests := []struct {
		kind      generation.CursorErrorKind
		codec     generation.CursorCodec
		text      string
		workspace string
		prompt    generation.Digest
		now       time.Time
	}{
		{generation.CursorMalformed, rotated, "%%", "north", prompt, now},
		{generation.CursorMalformed, rotated, text[:20], "north", prompt, now},
		{generation.CursorForged, rotated, text[:len(text)-4] + "AAAA", "north", prompt, now},
		{generation.CursorForged, generation.CursorCodec{Keys: [][]byte{[]byte("new")}}, text, "north", prompt, now},
		{generation.CursorExpired, rotated, text, "north", prompt, time.Unix(2001, 0)},
		{generation.CursorForeignWorkspace, rotated, text, "south", prompt, now},
		{generation.CursorOtherPrompt, rotated, text, "north", generation.PromptDigest(nil), now},
	}
	for _, tt := range tests {
		_, err := tt.codec.Decode(tt.text, tt.workspace, tt.prompt, tt.now)
		require.Equal(t, generation.CursorError{Kind: tt.kind}, err)
	}
}

// Guards against a resume from token ids that differ from the delivered ones.
func TestResumeLogChecksDigest(t *testing.T) {
	cursor := generation.Cursor{Offset: 2, Spec: "m@1", Digest: generation.DigestOf([]uint32{4, 5})}
	_, err := generation.ResumeLog(cursor, nil, []uint32{4, 6})
	require.ErrorAs(t, err, &generation.DigestError{})
	l, err := generation.ResumeLog(cursor, nil, []uint32{4, 5})
	require.NoError(t, err)
	require.True(t, l.CanResumeElsewhere())
}
