// Package lease elects one lease holder per place, whose fencing token orders carry.
package lease

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"radishhollow/core/clock"
	"radishhollow/core/kv"
)

// Defaults of Holder.
const (
	DefaultTTL = 15 * time.Second
	// DefaultMargin covers differences in clock rate and the time between a check and the send that follows it.
	DefaultMargin       = 3 * time.Second
	DefaultLongestOrder = 10 * time.Second
	// watchFor is long because each watch of a follower is a counted call.
	watchFor = 30 * time.Second
	// maxJitter spreads the followers' claims when a lease ends.
	maxJitter  = 500 * time.Millisecond
	retryPause = 500 * time.Millisecond
	// callTimeout bounds the calls that follow the end of ctx.
	callTimeout = 2 * time.Second
)

// Classes that Observe is told.
const (
	ClassAcquired = "acquired"
	ClassLost     = "lost"
)

// Holder tries to hold the lease of a place. The fields are set before Run.
type Holder struct {
	Store kv.Store
	Place string
	// Address names this instance to operators.
	Address string
	// TTL is the time to live of the platform lease. Zero means DefaultTTL.
	TTL time.Duration
	// Margin is how long before the end of the TTL the holder stops acting. Zero means DefaultMargin.
	Margin time.Duration
	// OrderTimeout bounds the time from the check of an order to its end. Zero means DefaultLongestOrder.
	OrderTimeout time.Duration
	// Observe is told changes of state; it may be nil.
	Observe func(class string)

	mu     sync.Mutex
	tenure tenure
}

// tenure is one uninterrupted hold of the lease. The zero value holds nothing.
type tenure struct {
	lease string
	fence uint64
	since time.Time
	// renewed is the time before the last successful grant or renew call was sent.
	renewed time.Time
}

// Key returns the key of a place's lease.
func Key(place string) string { return "leases/place/" + place }

// Check returns the fencing token if this instance may act now. It must pass immediately before each send. For an
// endpoint that ignores the token, it passes only after the lease of an earlier holder and its longest order are over.
func (h *Holder) Check(fencing bool) (uint64, error) {
	h.mu.Lock()
	t := h.tenure
	h.mu.Unlock()
	if !h.holds(t) {
		return 0, errors.Trace(NotHolderError{Place: h.Place})
	}
	// The monotonic clock alone counts here: a jump of the wall clock must not shorten the wait.
	if rest := h.ttl() + h.longestOrder() - time.Since(t.since); !fencing && rest > 0 {
		return 0, errors.Trace(WaitingOutError{Place: h.Place, Rest: rest})
	}
	return t.fence, nil
}

func (h *Holder) holds(t tenure) bool { return t.fence != 0 && h.good(t.renewed) }

// good judges a lease by this machine's clocks only, and by the one that shows more time, because the monotonic clock
// stops while a machine is suspended.
func (h *Holder) good(renewed time.Time) bool {
	now := time.Now()
	age := max(now.Sub(renewed), now.Round(0).Sub(renewed.Round(0)))
	return age < h.ttl()-h.margin()
}

// Run claims and renews the lease until ctx ends, then gives it up.
func (h *Holder) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		t, err := h.acquire(ctx)
		if err == nil {
			h.set(t, ClassAcquired)
			h.hold(ctx)
			h.set(tenure{}, ClassLost)
			h.revoke(ctx, t.lease)
		}
		_ = clock.Sleep(ctx, retryPause)
	}
	return errors.Trace(ctx.Err())
}

// acquire waits until the key is absent and creates it under a new platform lease.
func (h *Holder) acquire(ctx context.Context) (tenure, error) {
	entry, err := h.Store.Get(ctx, Key(h.Place))
	if err == nil {
		_, _, err = h.Store.Watch(ctx, Key(h.Place), entry.Revision(), watchFor)
		if err == nil {
			err = clock.Sleep(ctx, rand.N(maxJitter))
		}
		if err == nil {
			err = errors.Trace(NotHolderError{Place: h.Place})
		}
		return tenure{}, err
	}
	if _, missing := errors.AsType[kv.NotFoundError](err); !missing {
		return tenure{}, err
	}
	t := tenure{renewed: time.Now()}
	if t.lease, err = h.Store.Grant(ctx, h.ttl()); err != nil {
		return tenure{}, err
	}
	if t.fence, err = h.claim(ctx, t); err != nil {
		h.revoke(ctx, t.lease)
		return tenure{}, err
	}
	t.since = time.Now()
	return t, nil
}

// claim creates the key. A lost answer is settled by reading back the unique value, as long as the lease is good.
func (h *Holder) claim(ctx context.Context, t tenure) (uint64, error) {
	value, err := json.Marshal(struct {
		Holder string `json:"holder"`
		Unique string `json:"unique"`
	}{h.Address, uuid.NewString()})
	if err != nil {
		return 0, errors.Trace(err)
	}
	for {
		revision, err := h.Store.Put(ctx, Key(h.Place), value, 0, t.lease)
		if err == nil {
			return revision, nil
		}
		if _, unavailable := errors.AsType[kv.UnavailableError](err); !unavailable {
			entry, getErr := h.Store.Get(ctx, Key(h.Place))
			if getErr == nil && string(entry.Value()) == string(value) {
				return entry.Revision(), nil
			}
			if _, lost := errors.AsType[kv.UnavailableError](getErr); !lost {
				return 0, err
			}
		}
		if !h.good(t.renewed) || clock.Sleep(ctx, retryPause) != nil {
			return 0, err
		}
	}
}

// hold renews the lease until it is lost, this instance's own clock says that it may be, or ctx ends.
func (h *Holder) hold(ctx context.Context) {
	for clock.Sleep(ctx, h.ttl()/5) == nil {
		h.mu.Lock()
		t := h.tenure
		h.mu.Unlock()
		if !h.holds(t) {
			return
		}
		before := time.Now()
		err := h.renew(ctx, t)
		if _, lost := errors.AsType[kv.LeaseLostError](err); lost {
			return
		}
		if err == nil {
			// The time before the call counts, so an answer that was held up extends nothing that is over.
			h.mu.Lock()
			h.tenure.renewed = before
			h.mu.Unlock()
		}
	}
}

func (h *Holder) renew(ctx context.Context, t tenure) error {
	ctx, cancel := context.WithDeadline(ctx, t.renewed.Add(h.ttl()-h.margin()))
	defer cancel()
	return h.Store.Renew(ctx, t.lease)
}

// revoke ends a lease early, so that its key does not keep others waiting. A failure costs only that wait.
func (h *Holder) revoke(ctx context.Context, lease string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	_ = h.Store.Revoke(ctx, lease)
}

func (h *Holder) set(t tenure, class string) {
	h.mu.Lock()
	h.tenure = t
	h.mu.Unlock()
	if h.Observe != nil {
		h.Observe(class)
	}
}

func (h *Holder) ttl() time.Duration          { return cmp.Or(h.TTL, DefaultTTL) }
func (h *Holder) margin() time.Duration       { return cmp.Or(h.Margin, DefaultMargin) }
func (h *Holder) longestOrder() time.Duration { return cmp.Or(h.OrderTimeout, DefaultLongestOrder) }
