package claim

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

// leaseFor is how long one lease takes new records; one lease per hour spares a grant for each claim. It is added to the
// life of a lease, so that a record that is written at its end lives for Keeper.Expiry as well.
const leaseFor = time.Hour

// lease returns the lease for a record that is written now.
func (k *Keeper) lease(ctx context.Context) (string, error) {
	return k.leases.current(ctx, func(ctx context.Context) (string, error) {
		ctx, cancel := context.WithTimeout(ctx, k.callTimeout())
		defer cancel()
		return k.Store.Grant(ctx, k.expiry()+leaseFor)
	})
}

// expiry is the age at which a record may have ended with its lease, which also ends the work on it.
func (k *Keeper) expiry() time.Duration { return cmp.Or(k.Expiry, DefaultExpiry) }

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

func (l *leases) current(ctx context.Context, ask func(context.Context) (string, error)) (string, error) {
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
		l.request(context.WithoutCancel(ctx), ask, g)
	}
	select {
	case <-g.done:
		return g.id, g.err
	case <-ctx.Done():
		return "", errors.Trace(ctx.Err())
	}
}

// request counts the lease's age from before the call, because the platform may grant it at any time during it.
func (l *leases) request(ctx context.Context, ask func(context.Context) (string, error), g *grant) {
	since := time.Now()
	g.id, g.err = ask(ctx)
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
