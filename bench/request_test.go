package bench

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
)

// Guards against a change of the cursor format after which the bench finds no affected requests and reports no waits.
func TestMarkAffected(t *testing.T) {
	key, err := hex.DecodeString(cursorKey)
	require.NoError(t, err)
	text := generation.CursorCodec{Keys: [][]byte{key}}.Encode(generation.Cursor{
		Generation: "0b3f4c1e-9d41-4f8e-8d2b-6f4d1c5a7e90", Address: "127.0.0.1:9000", Incarnation: "i", Spec: "m@1",
		Workspace: "north", Expiry: time.Now().Add(time.Hour).Unix(),
	})
	a := &request{workspace: "north", cursor: text}
	a.markAffected([]string{"127.0.0.1:9001"})
	require.False(t, a.affected)
	a.markAffected([]string{"127.0.0.1:9001", "127.0.0.1:9000"})
	require.True(t, a.affected)
}

// Guards against quantiles that treat the cumulative counts of buckets as separate counts.
func TestQuantile(t *testing.T) {
	var buckets []bucket
	for _, line := range []string{
		`x_bucket{workspace="a",le="0.1"} 90`, `x_bucket{workspace="a",le="0.5"} 99`,
		`x_bucket{workspace="a",le="3"} 100`, `x_bucket{workspace="a",le="+Inf"} 100`, `x_sum{workspace="a"} 9`,
	} {
		if b, ok := parseBucket(line, "x_bucket{"); ok {
			buckets = append(buckets, b)
		}
	}
	require.Len(t, buckets, 3)
	require.InDelta(t, 100, quantile(buckets, 100, 0.5), 1e-9)
	require.InDelta(t, 500, quantile(buckets, 100, 0.95), 1e-9)
	require.InDelta(t, 3000, quantile(buckets, 100, 1), 1e-9)
}
