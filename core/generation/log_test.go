package generation_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
)

// Guards against accepting a chunk that does not continue the generation, one kind per case, and against a refused
// chunk that changes the log.
func TestLogAccept(t *testing.T) {
	newChunk := func(id string, attempt, offset int, ids []uint32, text string, finish generation.Finish) generation.Chunk {
		return generation.NewChunk(id, attempt, fakeSpec, offset, ids, text, finish)
	}
	other := generation.NewChunk(fakeID, 2, generation.NewSpec("m", "2", "", ""), 4, []uint32{5}, " w5", "")
	tests := []struct {
		name  string
		chunk generation.Chunk
		want  any
	}{
		{"other generation", newChunk("x", 2, 4, []uint32{5}, " w5", ""), &generation.CrossedError{}},
		{"older attempt", newChunk(fakeID, 1, 4, []uint32{5}, " w5", ""), &generation.CrossedError{}},
		{"later attempt", newChunk(fakeID, 3, 4, []uint32{5}, " w5", ""), &generation.CrossedError{}},
		{"other ids", newChunk(fakeID, 2, 2, []uint32{3, 9, 5}, "", ""), &generation.CrossedError{}},
		{"earlier end", newChunk(fakeID, 2, 2, []uint32{3}, "", generation.FinishStop), &generation.CrossedError{}},
		{"negative offset", newChunk(fakeID, 2, -1, []uint32{5}, "", ""), &generation.CrossedError{}},
		{"other spec", other, &generation.SpecChangedError{}},
		{"gap", newChunk(fakeID, 2, 5, []uint32{6}, "", ""), &generation.GapError{}},
		{"overlap at unknown text offset", newChunk(fakeID, 2, 1, []uint32{2, 3, 4, 5}, " w2 w3 w4 w5", ""), &generation.OverlapError{}},
		{"overlap with other text", newChunk(fakeID, 2, 2, []uint32{3, 4, 5}, " x w4 w5", ""), &generation.OverlapError{}},
		{"overlap", newChunk(fakeID, 2, 2, []uint32{3, 4, 5}, " w3 w4 w5", ""), nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := generation.NewLog(fakeID, nil)
			l.NextAttempt()
			l.NextAttempt()
			for _, c := range []generation.Chunk{
				newChunk(fakeID, 2, 0, []uint32{1, 2}, " w1 w2", ""), newChunk(fakeID, 2, 2, []uint32{3, 4}, " w3 w4", ""),
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
