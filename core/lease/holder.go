// Package lease elects one lease holder per place. Orders carry the fencing token of the holder that sends them.
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

// Defaults and limits of Holder.
const (
	DefaultTTL = 15 * time.Second
	// DefaultMargin covers clock drift and the time between a check and the send that follows it.
	DefaultMargin       = 3 * time.Second
	DefaultOrderTimeout = 10 * time.Second
	// watchTimeout is long because the platform counts each watch of an instance that waits for the lease as a call.
	watchTimeout = 30 * time.Second
	// maxJitter spreads the claims of the waiting instances when a lease ends.
	maxJitter     = 500 * time.Millisecond
	retryInterval = 500 * time.Millisecond
	// revokeTimeout limits the revocation of a lease, which also runs after ctx has ended.
	revokeTimeout = 2 * time.Second
)

// Classes of events that are passed to Observe.
const (
	ClassAcquired = "acquired"
	ClassLost     = "lost"
)

// Holder tries to acquire and keep the lease of a place. Its exported fields must be set before Run. Check is safe for
// concurrent use, also while Run runs.
type Holder struct {
	Store kv.Store
	Place string
	// Address identifies this instance to operators. It is stored in the value of the lease's key.
	Address string
	// TTL is the time to live of the platform lease. Zero means DefaultTTL.
	TTL time.Duration
	// Margin is how long before the end of the TTL the holder stops sending orders. Zero means DefaultMargin.
	Margin time.Duration
	// OrderTimeout is the longest time from the check before an order to the end of that order. Zero means
	// DefaultOrderTimeout.
	OrderTimeout time.Duration
	// Era returns the current era of the key-value service. If it is nil, the service is taken never to come back from an
	// older copy.
	Era func() uint64
	// Observe is called when the lease is acquired or lost. It may be nil.
	Observe func(class string)

	mu      sync.Mutex
	current heldLease
}

// heldLease is the state of the lease from one acquisition until its loss. The zero value means that no lease is held.
type heldLease struct {
	id         kv.Lease
	token      uint64
	acquiredAt time.Time
	// renewedAt is the time just before the last successful grant or renew call.
	renewedAt time.Time
}

// Key returns the key of a place's lease.
func Key(place string) string { return "leases/place/" + place }

// Check returns the fencing token if this instance may send an order now. It must be called immediately before each
// send. It fails with NotHolderError if this instance may not hold the lease. If fencing is false, the endpoint ignores
// the token, and Check also fails, with WaitingOutError, until the lease of an earlier holder, and an order sent at its
// end, must have ended.
func (h *Holder) Check(fencing bool) (uint64, error) {
	h.mu.Lock()
	held := h.current
	h.mu.Unlock()
	if !h.valid(held) {
		return 0, errors.Trace(NotHolderError{Place: h.Place})
	}
	// time.Since uses only the monotonic clock, so that a jump of the wall clock does not shorten the wait.
	if remaining := h.ttl() + h.orderTimeout() - time.Since(held.acquiredAt); !fencing && remaining > 0 {
		return 0, errors.Trace(WaitingOutError{Place: h.Place, Remaining: remaining})
	}
	return held.token, nil
}

// valid reports whether a lease is still held. A key-value service that has come back from an older copy has lost the
// lease, or gives it to another holder.
func (h *Holder) valid(held heldLease) bool {
	if h.Era != nil && h.Era() > held.id.Era() {
		return false
	}
	return held.token != 0 && h.withinTTL(held.renewedAt)
}

// withinTTL reports whether a lease that was renewed at renewedAt is still valid with the safety margin. It uses only
// this machine's clocks. Of the monotonic and the wall clock, the one with more elapsed time counts, because the
// monotonic clock stops while the machine is suspended.
func (h *Holder) withinTTL(renewedAt time.Time) bool {
	now := time.Now()
	age := max(now.Sub(renewedAt), now.Round(0).Sub(renewedAt.Round(0)))
	return age < h.ttl()-h.margin()
}

// Run acquires and renews the lease until ctx ends, and then revokes it.
func (h *Holder) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		held, err := h.acquire(ctx)
		if err == nil {
			h.setCurrent(held, ClassAcquired)
			h.renewUntilLost(ctx)
			h.setCurrent(heldLease{}, ClassLost)
			h.revoke(ctx, held.id)
		}
		_ = clock.Sleep(ctx, retryInterval)
	}
	return errors.Trace(ctx.Err())
}

// acquire creates the key under a new platform lease. If the key exists, acquire waits for a change and returns
// NotHolderError.
func (h *Holder) acquire(ctx context.Context) (heldLease, error) {
	entry, err := h.Store.Get(ctx, Key(h.Place))
	if err == nil {
		_, _, err = h.Store.Watch(ctx, Key(h.Place), entry.Revision(), watchTimeout)
		if err == nil {
			err = clock.Sleep(ctx, rand.N(maxJitter))
		}
		if err == nil {
			err = errors.Trace(NotHolderError{Place: h.Place})
		}
		return heldLease{}, err
	}
	if _, missing := errors.AsType[kv.NotFoundError](err); !missing {
		return heldLease{}, err
	}
	held := heldLease{renewedAt: time.Now()}
	if held.id, err = h.Store.Grant(ctx, h.ttl()); err != nil {
		return heldLease{}, err
	}
	if held.token, err = h.claim(ctx, held); err != nil {
		h.revoke(ctx, held.id)
		return heldLease{}, err
	}
	held.acquiredAt = time.Now()
	return held, nil
}

// claim creates the key and returns the fencing token of its revision. If the response to the write is lost, claim
// retries and reads back the unique value to learn whether the write took effect, as long as the lease is valid.
func (h *Holder) claim(ctx context.Context, held heldLease) (uint64, error) {
	value, err := json.Marshal(struct {
		Holder string `json:"holder"`
		Unique string `json:"unique"`
	}{h.Address, uuid.NewString()})
	if err != nil {
		return 0, errors.Trace(err)
	}
	for {
		revision, err := h.Store.Put(ctx, Key(h.Place), value, kv.Revision{}, held.id)
		if err == nil {
			return fencingToken(revision), nil
		}
		if _, unavailable := errors.AsType[kv.UnavailableError](err); !unavailable {
			entry, getErr := h.Store.Get(ctx, Key(h.Place))
			if getErr == nil && string(entry.Value()) == string(value) {
				return fencingToken(entry.Revision()), nil
			}
			if _, getUnavailable := errors.AsType[kv.UnavailableError](getErr); !getUnavailable {
				return 0, err
			}
		}
		if !h.withinTTL(held.renewedAt) || clock.Sleep(ctx, retryInterval) != nil {
			return 0, err
		}
	}
}

// eraShift is the position of the era in a fencing token. It leaves room for a trillion revisions of an era.
const eraShift = 40

// fencingToken returns a number that rises with the revisions of all eras, because endpoints compare only numbers.
func fencingToken(revision kv.Revision) uint64 { return revision.Era()<<eraShift | revision.Number() }

// renewUntilLost renews the lease until it is lost, may have expired by this instance's own clocks, or ctx ends.
func (h *Holder) renewUntilLost(ctx context.Context) {
	for clock.Sleep(ctx, h.ttl()/5) == nil {
		h.mu.Lock()
		held := h.current
		h.mu.Unlock()
		if !h.valid(held) {
			return
		}
		sentAt := time.Now()
		err := h.renew(ctx, held)
		if _, lost := errors.AsType[kv.LeaseLostError](err); lost {
			return
		}
		if err == nil {
			// The time before the call is used so that a delayed response does not extend an expired lease.
			h.mu.Lock()
			h.current.renewedAt = sentAt
			h.mu.Unlock()
		}
	}
}

func (h *Holder) renew(ctx context.Context, held heldLease) error {
	ctx, cancel := context.WithDeadline(ctx, held.renewedAt.Add(h.ttl()-h.margin()))
	defer cancel()
	return h.Store.Renew(ctx, held.id)
}

// revoke ends a lease early, so that other instances need not wait for it to expire. If the call fails, they wait for
// the TTL.
func (h *Holder) revoke(ctx context.Context, id kv.Lease) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	_ = h.Store.Revoke(ctx, id)
}

func (h *Holder) setCurrent(held heldLease, class string) {
	h.mu.Lock()
	h.current = held
	h.mu.Unlock()
	if h.Observe != nil {
		h.Observe(class)
	}
}

func (h *Holder) ttl() time.Duration          { return cmp.Or(h.TTL, DefaultTTL) }
func (h *Holder) margin() time.Duration       { return cmp.Or(h.Margin, DefaultMargin) }
func (h *Holder) orderTimeout() time.Duration { return cmp.Or(h.OrderTimeout, DefaultOrderTimeout) }
