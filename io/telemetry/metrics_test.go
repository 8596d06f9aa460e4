package telemetry_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/io/telemetry"
)

// Guards against daemons of one process mixing their figures.
func TestSetsAreSeparate(t *testing.T) {
	a, b := telemetry.New(), telemetry.New()
	a.Count(telemetry.Requests, "ok")
	a.Observe(telemetry.TokenGap, "north", time.Second)
	require.EqualValues(t, 1, a.Value(telemetry.Requests, "ok"))
	require.Zero(t, b.Value(telemetry.Requests, "ok"))

	var out strings.Builder
	a.WritePrometheus(&out)
	require.Contains(t, out.String(), `radishhollow_token_gap_seconds_count{workspace="north"} 1`)
}

// Guards against buckets that the usual quantile functions cannot read.
func TestBuckets(t *testing.T) {
	m := telemetry.New()
	m.Observe(telemetry.ResumeLatency, "north", 400*time.Millisecond)
	var out strings.Builder
	m.WritePrometheus(&out)
	require.Contains(t, out.String(), `radishhollow_resume_latency_seconds_bucket{workspace="north",le="0.5"} 1`)
	require.Contains(t, out.String(), `radishhollow_resume_latency_seconds_bucket{workspace="north",le="0.35"} 0`)
}

func BenchmarkObserve(b *testing.B) {
	m := telemetry.New()
	for b.Loop() {
		m.Observe(telemetry.TokenGap, "north", time.Millisecond)
	}
}
