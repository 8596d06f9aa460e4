package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/fx"

	"radishhollow/core/generation"
	"radishhollow/core/guard"
	"radishhollow/core/route"
	"radishhollow/io/engine"
	"radishhollow/io/telemetry"
)

// aliveReportTimeout limits the wait for the load report that shows that a silent endpoint is alive. An endpoint that
// was frozen and resumes soon after the loss must not count as alive.
const aliveReportTimeout = 500 * time.Millisecond

// spuriousFailovers counts failovers from endpoints that were silent but alive.
type spuriousFailovers struct {
	load    func(ctx context.Context, address string) (route.Report, error)
	metrics *telemetry.Metrics

	mu sync.Mutex
	// pending holds the number of streams lost by silence for each incarnation whose load report is awaited.
	pending map[incarnationKey]int
	closed  bool
	checks  sync.WaitGroup
}

type incarnationKey struct{ address, incarnation string }

func newSpuriousFailovers(lifecycle fx.Lifecycle, client *engine.Client, m *telemetry.Metrics) *spuriousFailovers {
	s := &spuriousFailovers{load: client.Load, metrics: m, pending: map[incarnationKey]int{}}
	lifecycle.Append(fx.Hook{OnStop: func(context.Context) error { return s.Close() }})
	return s
}

// Add records a stream that was lost by silence. Losses of one incarnation share a load report until it arrives.
func (s *spuriousFailovers) Add(address, incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	key := incarnationKey{address, incarnation}
	s.pending[key]++
	if s.pending[key] == 1 {
		s.checks.Add(1)
		go s.runCheck(key)
	}
}

// runCheck requests one load report. If the endpoint was restarted, it lost its streams, so their failover was
// justified.
func (s *spuriousFailovers) runCheck(key incarnationKey) {
	defer s.checks.Done()
	ctx, cancel := context.WithTimeout(context.Background(), aliveReportTimeout)
	defer cancel()
	var report route.Report
	err := guard.Call(func() (err error) {
		report, err = s.load(ctx, key.address)
		return err
	}, nil)
	if _, panicked := errors.AsType[guard.PanicError](err); panicked {
		s.metrics.Count(telemetry.Panics, "spurious-failovers")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.pending[key]
	delete(s.pending, key)
	if err == nil && report.Incarnation == key.incarnation {
		s.metrics.Add(telemetry.SpuriousFailovers, generation.ClassSilence, lost)
	}
}

// Close waits for the load reports that are being requested. Later calls of Add do nothing.
func (s *spuriousFailovers) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.checks.Wait()
	return nil
}
