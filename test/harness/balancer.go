package harness

import (
	"sync"
	"testing"
	"time"
)

const (
	// checkInterval is the time between two readiness checks of a daemon. It is below the drain delay in DefaultSettings,
	// so that the balancer notices a draining daemon while it still accepts connections.
	checkInterval     = 50 * time.Millisecond
	readyCheckTimeout = 500 * time.Millisecond
)

// Balancer selects ready daemons round-robin, as the platform's load balancer does. It is safe for concurrent use.
type Balancer struct {
	deployment *Deployment

	mu    sync.Mutex
	ready []bool // result of the last check, by daemon
	last  int
}

// StartBalancer returns a Balancer that polls the readiness of all daemons until the test ends.
func (d *Deployment) StartBalancer(t testing.TB) *Balancer {
	t.Helper()
	b := &Balancer{deployment: d, ready: make([]bool, len(d.settings))}
	var group sync.WaitGroup
	for i := range d.settings {
		b.update(t, i)
		group.Go(func() { b.runChecks(t, i) })
	}
	t.Cleanup(group.Wait)
	return b
}

func (b *Balancer) runChecks(t testing.TB, i int) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			b.update(t, i)
		case <-t.Context().Done():
			return
		}
	}
}

func (b *Balancer) update(t testing.TB, i int) {
	ready := b.deployment.IsReady(t, i)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[i] = ready
}

// Pick returns the index of the next ready daemon. If no daemon is ready, it returns the index that it returned last.
func (b *Balancer) Pick() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.ready {
		b.last = (b.last + 1) % len(b.ready)
		if b.ready[b.last] {
			break
		}
	}
	return b.last
}

// IsReady reports whether daemon i was ready at its last check.
func (b *Balancer) IsReady(i int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready[i]
}
