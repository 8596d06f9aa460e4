package generation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
)

// Guards against a cost preference that does not wait longer for an engine than the latency preference.
func TestTimeoutsForPreference(t *testing.T) {
	latency, cost := generation.TimeoutsFor("latency"), generation.TimeoutsFor("cost")
	for range 20 {
		latency.ObserveGap(30 * time.Millisecond)
		cost.ObserveGap(30 * time.Millisecond)
	}
	require.Greater(t, cost.ChunkTimeout(), latency.ChunkTimeout())
}
