package claim

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/kv"
)

// leaseReusePeriod is how long one lease is used for new records; one lease per hour avoids a grant for each claim. It
// is added to the TTL of the lease, so that a record that is written at the end of the period also lives for
// Recorder.Expiry.
const leaseReusePeriod = time.Hour

// lease returns the lease for a record that is to be written now.
func (r *Recorder) lease(ctx context.Context) (kv.Lease, error) {
	return r.leases.current(ctx, func(ctx context.Context) (kv.Lease, error) {
		ctx, cancel := context.WithTimeout(ctx, r.callTimeout())
		defer cancel()
		return r.Store.Grant(ctx, r.expiry()+leaseReusePeriod)
	})
}

// expiry returns the age at which a record may have expired with its lease. Pending writes of that age are dropped.
func (r *Recorder) expiry() time.Duration { return cmp.Or(r.Expiry, DefaultExpiry) }

// leaseCache holds the lease that new records are attached to. Concurrent claims share one grant call.
type leaseCache struct {
	mu          sync.Mutex
	id          kv.Lease
	requestedAt time.Time
	pending     *grantCall
}

// grantCall is a call in progress that grants a lease. Its results are valid once done is closed.
type grantCall struct {
	done chan struct{}
	id   kv.Lease
	err  error
}

// current returns the cached lease, or grants a new one if there is none or it is older than leaseReusePeriod.
func (l *leaseCache) current(ctx context.Context, grantLease func(context.Context) (kv.Lease, error)) (kv.Lease, error) {
	l.mu.Lock()
	if !l.id.IsZero() && ageOf(l.requestedAt) < leaseReusePeriod {
		defer l.mu.Unlock()
		return l.id, nil
	}
	g, first := l.pending, false
	if g == nil {
		g, first = &grantCall{done: make(chan struct{})}, true
		l.pending = g
	}
	l.mu.Unlock()
	if first {
		// Concurrent claims share the call, so it continues if this claim is canceled.
		l.request(context.WithoutCancel(ctx), grantLease, g)
	}
	select {
	case <-g.done:
		return g.id, g.err
	case <-ctx.Done():
		return kv.Lease{}, errors.Trace(ctx.Err())
	}
}

// request grants a lease. Its age counts from before the call, because the key-value service may grant the lease at any
// time during the call.
func (l *leaseCache) request(ctx context.Context, grantLease func(context.Context) (kv.Lease, error), g *grantCall) {
	requestedAt := time.Now()
	g.id, g.err = grantLease(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = nil
	if g.err == nil {
		l.id, l.requestedAt = g.id, requestedAt
	}
	close(g.done)
}

// invalidate removes a lease that no longer exists in the key-value service.
func (l *leaseCache) invalidate(id kv.Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = kv.Lease{}
	}
}
