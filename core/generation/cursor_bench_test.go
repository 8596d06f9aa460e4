package generation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
)

// typicalCursor has ids, address and spec of the form that they have in a deployment.
var typicalCursor = generation.Cursor{
	Generation: "0b8e1c7e-6f0f-4f6e-9a3e-3f0f5f1d2c4b", Address: "10.20.130.140:8000",
	Incarnation: "5d2f9a1c-0d53-4e0c-8f8b-7a6c1e2d3b4f", Attempt: 2, Offset: 1234,
	Digest: generation.DigestOf([]uint32{1, 2, 3}), PromptDigest: generation.PromptDigest([]uint32{4, 5}),
	Spec: "briefing@12+crew@3", Workspace: "north", Expiry: 1_800_000_000,
}

func BenchmarkCursorEncode(b *testing.B) {
	codec := generation.CursorCodec{Keys: [][]byte{make([]byte, 32)}}
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		size = len(codec.Encode(typicalCursor))
	}
	b.ReportMetric(float64(size), "chars")
}

func BenchmarkCursorDecode(b *testing.B) {
	codec := generation.CursorCodec{Keys: [][]byte{make([]byte, 32)}}
	text := codec.Encode(typicalCursor)
	b.ReportAllocs()
	for b.Loop() {
		_, err := codec.Decode(text, "north", typicalCursor.PromptDigest, time.Unix(1_700_000_000, 0))
		require.NoError(b, err)
	}
}
