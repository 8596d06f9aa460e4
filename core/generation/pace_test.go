package generation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
)

// Guards against preferences that give an engine up at the same time.
func TestPaceOfPreference(t *testing.T) {
	latency, cost := generation.TimeoutsFor("latency"), generation.TimeoutsFor("cost")
	for range 20 {
		latency.Observe(30 * time.Millisecond)
		cost.Observe(30 * time.Millisecond)
	}
	require.Greater(t, cost.Deadline(), latency.Deadline())
}
