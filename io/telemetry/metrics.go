// Package telemetry collects the counters and histograms of one daemon.
package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics is the set of one daemon. Several daemons of one process keep separate sets.
type Metrics struct {
	set *metrics.Set
}

// New returns an empty Metrics.
func New() *Metrics {
	return &Metrics{set: metrics.NewSet()}
}

// Count adds one to a counter with a class label. The class must come from a bounded set of values.
func (m *Metrics) Count(name, class string) {
	m.Add(name, class, 1)
}

// Add adds n to a counter with a class label.
func (m *Metrics) Add(name, class string, n int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("radishhollow_%s_total{class=%q}", name, class)).Add(n)
}

// Value returns a counter's value.
func (m *Metrics) Value(name, class string) uint64 {
	return m.set.GetOrCreateCounter(fmt.Sprintf("radishhollow_%s_total{class=%q}", name, class)).Get()
}

// Observe adds a duration to a histogram with a workspace label. The workspace must come from the sheet.
func (m *Metrics) Observe(name, workspace string, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("radishhollow_%s_seconds{workspace=%q}", name, workspace)).Update(d.Seconds())
}

// Gauge registers a callback that reads a current value.
func (m *Metrics) Gauge(name string, read func() float64) {
	m.set.GetOrCreateGauge("radishhollow_"+name, read)
}

// Write writes all metrics in the text format that Prometheus reads.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
