package engine_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/engine"
)

func generate(spec string, prompt []uint32, first uint32, n int) []uint32 {
	ids := append(slices.Clone(prompt), first)
	for len(ids) < len(prompt)+n {
		ids = append(ids, engine.NextToken(spec, ids))
	}
	return ids[len(prompt):]
}

// Guards against a Verify that accepts an output with missing or repeated tokens, or with tokens of two generations.
func TestVerify(t *testing.T) {
	const spec, other = "briefing@1", "briefing@2"
	const firstA, firstB = 1<<24 + 5, 1<<24 + 6
	prompt := engine.Tokenize("write a brief about the harbour")
	a := generate(spec, prompt, firstA, 20)
	b := generate(spec, prompt, firstB, 20)
	prefix := slices.Concat(prompt, a[:9])
	tests := []struct {
		name   string
		output []uint32
		offset int
	}{
		{name: "whole", output: a, offset: -1},
		{name: "empty", output: nil, offset: -1},
		{name: "first missing", output: a[1:], offset: 0},
		{name: "only the first missing of two", output: a[1:2], offset: 0},
		{name: "one missing", output: slices.Concat(a[:7], a[8:]), offset: 7},
		{name: "one repeated", output: slices.Concat(a[:7], a[6:]), offset: 7},
		{name: "run repeated", output: slices.Concat(a, a), offset: 20},
		{name: "two generations spliced", output: slices.Concat(a[:9], b[9:]), offset: 9},
		{name: "first of another generation", output: slices.Concat(b[:1], a[1:]), offset: 1},
		{name: "another version", output: slices.Concat(a[:9], []uint32{engine.NextToken(other, prefix)}), offset: 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := engine.Verify(spec, prompt, tt.output)
			if tt.offset < 0 {
				require.NoError(t, err)
				return
			}
			var wrong engine.TokenError
			require.ErrorAs(t, err, &wrong)
			require.Equal(t, tt.offset, wrong.Offset)
		})
	}
}

// Guards against block hashes that differ from the documented format, which would turn every cache hit into a miss.
func TestBlockHash(t *testing.T) {
	ids := make([]uint32, engine.BlockTokens)
	first := engine.BlockHash(0, ids)
	// The first block of zero ids is hashed as 72 zero bytes: 8 for the previous hash and 4 for each of 16 ids.
	require.Equal(t, zeroBlockHash, first)
	require.NotEqual(t, first, engine.BlockHash(first, ids))
}
