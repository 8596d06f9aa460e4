package telemetry_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/io/telemetry"
)

// Guards against daemons in one process that share their metrics.
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

// Guards against buckets in a format that the usual quantile functions cannot read.
func TestBuckets(t *testing.T) {
	m := telemetry.New()
	m.Observe(telemetry.ResumeLatency, "north", 400*time.Millisecond)
	var out strings.Builder
	m.WritePrometheus(&out)
	require.Contains(t, out.String(), `radishhollow_resume_latency_seconds_bucket{workspace="north",le="0.5"} 1`)
	require.Contains(t, out.String(), `radishhollow_resume_latency_seconds_bucket{workspace="north",le="0.35"} 0`)
}

// Guards against a gauge that keeps the value of its creation.
func TestGauge(t *testing.T) {
	m, value := telemetry.New(), 1.0
	m.Gauge(telemetry.QuarantinedParts, func() float64 { return value })
	value = 3
	var out strings.Builder
	m.WritePrometheus(&out)
	require.Contains(t, out.String(), "radishhollow_quarantined_parts 3")
}

func BenchmarkObserve(b *testing.B) {
	m := telemetry.New()
	for b.Loop() {
		m.Observe(telemetry.TokenGap, "north", time.Millisecond)
	}
}
