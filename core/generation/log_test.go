package generation_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
)

// Guards against each kind of chunk that does not continue the generation, and against a refused chunk that changes
// the log.
func TestLogAccept(t *testing.T) {
	build := func(id string, attempt, offset int, ids []uint32, text string, finish generation.Finish) generation.Chunk {
		return generation.NewChunk(id, attempt, fakeSpec, offset, ids, text, finish)
	}
	other := generation.NewChunk(fakeID, 2, generation.NewSpec("m", "2", "", ""), 4, []uint32{5}, " w5", "")
	tests := []struct {
		name  string
		chunk generation.Chunk
		want  any
	}{
		{"other generation", build("x", 2, 4, []uint32{5}, " w5", ""), &generation.CrossedError{}},
		{"older attempt", build(fakeID, 1, 4, []uint32{5}, " w5", ""), &generation.CrossedError{}},
		{"later attempt", build(fakeID, 3, 4, []uint32{5}, " w5", ""), &generation.CrossedError{}},
		{"other ids", build(fakeID, 2, 2, []uint32{3, 9, 5}, "", ""), &generation.CrossedError{}},
		{"earlier end", build(fakeID, 2, 2, []uint32{3}, "", generation.FinishStop), &generation.CrossedError{}},
		{"negative offset", build(fakeID, 2, -1, []uint32{5}, "", ""), &generation.CrossedError{}},
		{"other spec", other, &generation.SpecError{}},
		{"gap", build(fakeID, 2, 5, []uint32{6}, "", ""), &generation.GapError{}},
		{"text without a cut", build(fakeID, 2, 1, []uint32{2, 3, 4, 5}, " w2 w3 w4 w5", ""), &generation.OverlapError{}},
		{"text that differs", build(fakeID, 2, 2, []uint32{3, 4, 5}, " x w4 w5", ""), &generation.OverlapError{}},
		{"overlap", build(fakeID, 2, 2, []uint32{3, 4, 5}, " w3 w4 w5", ""), nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := generation.NewLog(fakeID, nil)
			l.Raise()
			l.Raise()
			for _, c := range []generation.Chunk{
				build(fakeID, 2, 0, []uint32{1, 2}, " w1 w2", ""), build(fakeID, 2, 2, []uint32{3, 4}, " w3 w4", ""),
			} {
				_, fresh, err := l.Accept(c)
				require.NoError(t, err)
				require.True(t, fresh)
			}
			part, fresh, err := l.Accept(tt.chunk)
			if tt.want != nil {
				require.ErrorAs(t, err, tt.want)
				require.Equal(t, []uint32{1, 2, 3, 4}, l.Delivered())
				require.Equal(t, generation.NotFinished, l.Finish())
				return
			}
			require.NoError(t, err)
			require.True(t, fresh)
			require.Equal(t, " w5", part.Text())
			require.Equal(t, generation.DigestOf([]uint32{1, 2, 3, 4, 5}), l.Digest())
		})
	}
}
