package daemon

import (
	"context"
	"sync"
	"time"

	"go.uber.org/fx"

	"radishhollow/core/generation"
	"radishhollow/core/route"
	"radishhollow/io/engine"
	"radishhollow/io/telemetry"
)

// suspectTimeout bounds the wait for the load report that shows a silent endpoint alive. A frozen endpoint that wakes
// soon after the loss must not count as one that was alive.
const suspectTimeout = 500 * time.Millisecond

// suspects counts failovers from endpoints that were silent, but alive.
type suspects struct {
	load    func(ctx context.Context, address string) (route.Report, error)
	metrics *telemetry.Metrics

	mu sync.Mutex
	// pending holds the streams lost by silence since the report was asked for.
	pending map[suspect]int
	closed  bool
	group   sync.WaitGroup
}

type suspect struct{ address, incarnation string }

func newSuspects(lifecycle fx.Lifecycle, client *engine.Client, m *telemetry.Metrics) *suspects {
	s := &suspects{load: client.Load, metrics: m, pending: map[suspect]int{}}
	lifecycle.Append(fx.Hook{OnStop: func(context.Context) error { return s.Close() }})
	return s
}

// Add takes the loss of one stream by silence. The losses of one endpoint share a report.
func (s *suspects) Add(address, incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	key := suspect{address, incarnation}
	s.pending[key]++
	if s.pending[key] == 1 {
		s.group.Add(1)
		go s.run(key)
	}
}

// run asks for one report. A restarted endpoint has lost its streams, so that their failover was right.
func (s *suspects) run(key suspect) {
	defer s.group.Done()
	ctx, cancel := context.WithTimeout(context.Background(), suspectTimeout)
	defer cancel()
	report, err := s.load(ctx, key.address)
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.pending[key]
	delete(s.pending, key)
	if err == nil && report.Incarnation == key.incarnation {
		s.metrics.Add(telemetry.SpuriousFailovers, generation.ClassSilence, lost)
	}
}

// Close waits for reports that were asked for.
func (s *suspects) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.group.Wait()
	return nil
}
