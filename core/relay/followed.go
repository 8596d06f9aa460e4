package relay

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/clock"
	"radishhollow/core/kv"
)

// followed is the state of one prefix.
type followed struct {
	replica Replica
	// mu guards the fields below.
	mu           sync.Mutex
	askedAt      time.Time
	lastFailure  time.Time
	pausedUntil  time.Time
	reads        bool
	confirmed    bool // the last relayed answer had the digest of the replica
	verifyDirect bool // the next list must come from the key-value service
}

func (f *followed) awaitBatch(ctx context.Context) error {
	f.mu.Lock()
	pause := time.Until(f.pausedUntil)
	f.mu.Unlock()
	return clock.Sleep(ctx, pause)
}

// pauseUntil delays the next watch at the key-value service.
func (f *followed) pauseUntil(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pausedUntil = until
}

// recordError records a failed call to the key-value service. A CompactedError or an EraEndedError is a response.
func (f *followed) recordError(err error) {
	f.setConfirmed(false)
	_, compacted := errors.AsType[kv.CompactedError](err)
	if _, ended := errors.AsType[kv.EraEndedError](err); !compacted && !ended {
		f.recordFailure(time.Now())
	}
}

func (f *followed) recordFailure(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.lastFailure) {
		f.lastFailure = at
	}
}

func (f *followed) setConfirmed(confirmed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmed = confirmed
}

func (f *followed) isConfirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

func (f *followed) setVerifyDirect(verify bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.verifyDirect = verify
}

func (f *followed) takeVerifyDirect() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	verify := f.verifyDirect
	f.verifyDirect = false
	return verify
}
