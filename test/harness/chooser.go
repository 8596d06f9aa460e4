package harness

import (
	"sync"
	"testing"
	"time"
)

const (
	// checkInterval is the pause between two readiness checks, below the drain delay of the tests' settings.
	checkInterval     = 50 * time.Millisecond
	readyCheckTimeout = 500 * time.Millisecond
)

// Chooser picks ready daemons in turn, as the platform's load balancer does.
type Chooser struct {
	deployment *Deployment

	mu    sync.Mutex
	ready []bool
	next  int
}

// Balance returns a Chooser that checks the readiness of all daemons until the test ends.
func (d *Deployment) Balance(t testing.TB) *Chooser {
	t.Helper()
	c := &Chooser{deployment: d, ready: make([]bool, len(d.settings))}
	var group sync.WaitGroup
	for i := range d.settings {
		c.check(t, i)
		group.Go(func() { c.run(t, i) })
	}
	t.Cleanup(group.Wait)
	return c
}

func (c *Chooser) run(t testing.TB, i int) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.check(t, i)
		case <-t.Context().Done():
			return
		}
	}
}

func (c *Chooser) check(t testing.TB, i int) {
	ready := c.deployment.Ready(t, i)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready[i] = ready
}

// Pick returns the next ready daemon, or the next one of all where none is ready.
func (c *Chooser) Pick() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range c.ready {
		c.next = (c.next + 1) % len(c.ready)
		if c.ready[c.next] {
			break
		}
	}
	return c.next
}

// IsReady tells the last known readiness of daemon i.
func (c *Chooser) IsReady(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready[i]
}
