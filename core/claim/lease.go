package claim

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/kv"
)

const (
	// leaseFor is how long one lease takes new records; one lease per hour spares a grant for each claim.
	leaseFor = time.Hour
)

// leases holds the lease that new records are written under. Concurrent callers share one grant.
type leases struct {
	mu    sync.Mutex
	id    string
	since time.Time
	grant *grant
}

type grant struct {
	done chan struct{}
	id   string
	err  error
}

// current returns the lease for a new record. A record that is written at the end of leaseFor still lives for life.
func (l *leases) current(ctx context.Context, store kv.Store, timeout, life time.Duration) (string, error) {
	l.mu.Lock()
	if l.id != "" && ageOf(l.since) < leaseFor {
		defer l.mu.Unlock()
		return l.id, nil
	}
	g, first := l.grant, false
	if g == nil {
		g, first = &grant{done: make(chan struct{})}, true
		l.grant = g
	}
	l.mu.Unlock()
	if first {
		l.request(context.WithoutCancel(ctx), store, g, timeout, life)
	}
	select {
	case <-g.done:
		return g.id, g.err
	case <-ctx.Done():
		return "", errors.Trace(ctx.Err())
	}
}

// request counts the lease's age from before the call, because the platform may grant it at any time during it.
func (l *leases) request(ctx context.Context, store kv.Store, g *grant, timeout, life time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	since := time.Now()
	g.id, g.err = store.Grant(ctx, life+leaseFor)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grant = nil
	if g.err == nil {
		l.id, l.since = g.id, since
	}
	close(g.done)
}

// drop forgets a lease that the platform no longer knows.
func (l *leases) drop(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = ""
	}
}
