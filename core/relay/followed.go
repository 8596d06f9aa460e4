package relay

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/clock"
	"radishhollow/core/kv"
	"radishhollow/core/transfer"
)

// followed is the state of one prefix.
type followed struct {
	replica Replica
	packer  packer
	// mu guards the fields below.
	mu           sync.Mutex
	askedAt      time.Time
	lastFailure  time.Time
	pausedUntil  time.Time
	reads        bool
	confirmed    bool // the last relayed answer had the digest of the replica
	verifyDirect bool // the next list must come from the key-value service
	// reportedEra is a later era than that of the replica which another daemon reported and which is still to be checked
	// with the key-value service, or 0.
	reportedEra uint64
	checkedAt   time.Time
	// receiving is the transfer of the current call, or nil.
	receiving *transfer.Transfer
	// cancelWatch ends the current watch.
	cancelWatch context.CancelFunc
}

// requestCheck ends the current watch, and makes the next one ask the key-value service at once, because the service may
// be in a later era than the replica. It does nothing within minInterval of the last check, so that a faulty daemon can't
// cause more calls.
func (f *followed) requestCheck(era uint64, minInterval time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era <= f.reportedEra || time.Since(f.checkedAt) < minInterval {
		return
	}
	f.reportedEra = era
	if f.cancelWatch != nil {
		f.cancelWatch()
	}
}

// takeCheck reports whether a check is due, which the caller then makes.
func (f *followed) takeCheck() bool {
	current, _ := f.replica.era()
	f.mu.Lock()
	defer f.mu.Unlock()
	due := f.reportedEra > current
	f.reportedEra = 0
	if due {
		f.checkedAt = time.Now()
	}
	return due
}

// beginWatch returns a context for a watch that ends when a check is requested. The caller must call the function that
// it returns.
func (f *followed) beginWatch(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWatch = cancel
	if f.reportedEra != 0 {
		cancel()
	}
	return ctx, cancel
}

// measure returns a context whose transfers count as received for the prefix. The caller must call the function that it
// returns at the end of the call.
func (f *followed) measure(ctx context.Context) (context.Context, func()) {
	ctx, t := transfer.New(ctx, transfer.Unlimited, transfer.Unlimited)
	f.setReceiving(t)
	return ctx, func() {
		f.setReceiving(nil)
		t.Close()
	}
}

func (f *followed) setReceiving(t *transfer.Transfer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receiving = t
}

func (f *followed) isReceiving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.receiving != nil && f.receiving.Progressed()
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
