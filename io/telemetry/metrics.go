// Package telemetry collects the counters and histograms of one daemon and writes its log.
package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// bucketBounds returns the upper bounds of the histograms' buckets in seconds. They are dense around the targets: 67 ms
// between tokens, 0.35 s to the first token, and 0.5 s, 1.5 s and 3 s for a resume.
func bucketBounds() []float64 {
	return []float64{
		0.001, 0.0025, 0.005, 0.01, 0.02, 0.035, 0.05, 0.067, 0.1, 0.15, 0.25, 0.35, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 30,
	}
}

// Metrics is the set of metrics of one daemon. Several daemons in one process have separate sets. It is safe for
// concurrent use.
type Metrics struct {
	set *metrics.Set
	// The caches avoid formatting a metric name for every token.
	counters   sync.Map // series to *metrics.Counter
	histograms sync.Map // series to *metrics.PrometheusHistogram
}

// series identifies one counter or histogram.
type series struct {
	name  string
	label string
}

// New returns an empty Metrics.
func New() *Metrics {
	return &Metrics{set: metrics.NewSet()}
}

// Count increments a counter with a class label. The class must come from a limited set of values.
func (m *Metrics) Count(name, class string) {
	m.counter(name, class).Inc()
}

// Add adds n to a counter with a class label.
func (m *Metrics) Add(name, class string, n int) {
	m.counter(name, class).Add(n)
}

// Value returns a counter's value.
func (m *Metrics) Value(name, class string) uint64 {
	return m.counter(name, class).Get()
}

// Observe records a duration in a histogram with a workspace label. The workspace must come from the sheet, so that the
// number of labels is limited.
func (m *Metrics) Observe(name, workspace string, d time.Duration) {
	m.histogram(name, workspace).Update(d.Seconds())
}

// Gauge adds a gauge whose value is read by the function whenever the metrics are written. A second gauge of the same
// name is ignored.
func (m *Metrics) Gauge(name string, read func() float64) {
	m.set.GetOrCreateGauge("radishhollow_"+name, read)
}

// WritePrometheus writes all metrics in the text format that Prometheus reads.
func (m *Metrics) WritePrometheus(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (m *Metrics) counter(name, class string) *metrics.Counter {
	key := series{name: name, label: class}
	if found, ok := m.counters.Load(key); ok {
		return found.(*metrics.Counter)
	}
	counter := m.set.GetOrCreateCounter(fmt.Sprintf("radishhollow_%s_total{class=%q}", name, class))
	m.counters.Store(key, counter)
	return counter
}

func (m *Metrics) histogram(name, workspace string) *metrics.PrometheusHistogram {
	key := series{name: name, label: workspace}
	if found, ok := m.histograms.Load(key); ok {
		return found.(*metrics.PrometheusHistogram)
	}
	fullName := fmt.Sprintf("radishhollow_%s_seconds{workspace=%q}", name, workspace)
	histogram := m.set.GetOrCreatePrometheusHistogramExt(fullName, bucketBounds())
	m.histograms.Store(key, histogram)
	return histogram
}
