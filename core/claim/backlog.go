package claim

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/clock"
	"radishhollow/core/kv"
)

const (
	// maxBacklogRecords and maxBacklogBytes, which counts only the bodies of responses, limit the memory used during a
	// long outage of the key-value service. A record that is dropped stays open, so later requests with its key get
	// outcome-unknown, which is accurate.
	maxBacklogRecords = 10_000
	maxBacklogBytes   = 16 << 20
	// The intervals between passes and between writes keep the write rate of a daemon's backlog to a fraction of the
	// rate limit of the key-value service.
	passInterval    = time.Second
	maxPassInterval = 30 * time.Second
	writeInterval   = 20 * time.Millisecond
	// finalPassTimeout limits the duration of the final pass, which Run makes after its context has ended.
	finalPassTimeout = 5 * time.Second
)

// pendingWrite is a record that is still to be written to the key-value service.
type pendingWrite struct {
	storageKey string
	record     record
	addedAt    time.Time
	// restored is set if the record was stored before, at writtenAt, and the key-value service may have lost it.
	restored  bool
	writtenAt time.Time
}

// backlog holds the records that could not be written, by claim ID.
type backlog struct {
	mu     sync.Mutex
	writes map[string]pendingWrite
	bytes  int // total size of the bodies
}

// add adds a pending write unless the backlog is full or holds one of the same claim. A response whose body would
// exceed maxBacklogBytes is omitted from the record.
func (b *backlog) add(w pendingWrite) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.writes == nil {
		b.writes = make(map[string]pendingWrite)
	}
	if _, ok := b.writes[w.record.ClaimID]; ok || len(b.writes) >= maxBacklogRecords {
		return
	}
	if b.bytes+len(w.record.Body) > maxBacklogBytes {
		w.record.Body, w.record.Header, w.record.Omitted = nil, nil, true
	}
	w.addedAt = time.Now()
	b.bytes += len(w.record.Body)
	b.writes[w.record.ClaimID] = w
}

// replace adds a write in place of an earlier one of the same claim.
func (b *backlog) replace(w pendingWrite) {
	b.mu.Lock()
	if earlier, ok := b.writes[w.record.ClaimID]; ok && earlier.restored {
		w.restored, w.writtenAt = true, earlier.writtenAt
	}
	b.mu.Unlock()
	b.remove(w.record.ClaimID)
	b.add(w)
}

// dropOlder removes the writes that were added longer ago than the given age.
func (b *backlog) dropOlder(age time.Duration) {
	for _, w := range b.list() {
		if ageOf(w.addedAt) > age {
			b.remove(w.record.ClaimID)
		}
	}
}

func (b *backlog) remove(claimID string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes -= len(b.writes[claimID].record.Body)
	delete(b.writes, claimID)
}

func (b *backlog) find(claimID string) (record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.writes[claimID]
	return w.record, ok
}

// released reports whether the backlog holds the release of a claim, under which no call will ever be sent.
func (b *backlog) released(claimID string) bool {
	rec, ok := b.find(claimID)
	return ok && rec.State == stateNotRun
}

func (b *backlog) list() []pendingWrite {
	b.mu.Lock()
	defer b.mu.Unlock()
	writes := make([]pendingWrite, 0, len(b.writes))
	for _, w := range b.writes {
		writes = append(writes, w)
	}
	return writes
}

// Run retries the writes of records that Claim, Finish and Release could not write. When ctx ends, it makes a final
// pass before it returns, because the records that are left are lost with the process. In a planned stop of a daemon
// Run ends before the callers' requests are drained, so records that are added during the drain are not retried.
func (r *Recorder) Run(ctx context.Context) error {
	interval, era := passInterval, r.eras.current()
	for {
		if err := r.sleepUntilPass(ctx, interval, era); err != nil {
			finalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalPassTimeout)
			defer cancel()
			_ = r.reconcileAll(finalCtx)
			return err
		}
		era = r.eras.current()
		r.rewriteRestored(ctx)
		if r.reconcileAll(ctx) == nil {
			interval = passInterval
		} else {
			interval = min(2*interval, maxPassInterval)
		}
	}
}

// sleepUntilPass sleeps for an interval, or until a later era of the key-value service than the given one is seen.
func (r *Recorder) sleepUntilPass(ctx context.Context, interval time.Duration, era uint64) error {
	for slept := time.Duration(0); slept < interval && r.eras.current() == era; slept += passInterval {
		if err := clock.Sleep(ctx, passInterval); err != nil {
			return err
		}
		r.checkEra()
		r.eras.recent.dropOlder(recentPeriod)
	}
	return nil
}

// reconcileAll makes one pass over the backlog. It stops when the key-value service is unavailable, because the next
// write would most likely fail as well. After any error a record is kept for the next pass, until it has been in the
// backlog for Recorder.Expiry.
func (r *Recorder) reconcileAll(ctx context.Context) error {
	for _, w := range r.backlog.list() {
		err := r.reconcile(ctx, w)
		if _, unavailable := errors.AsType[kv.UnavailableError](err); unavailable && ageOf(w.addedAt) < r.expiry() {
			return err
		}
		if err == nil || ageOf(w.addedAt) >= r.expiry() {
			r.backlog.remove(w.record.ClaimID)
		}
		if err := clock.Sleep(ctx, writeInterval); err != nil {
			return err
		}
	}
	return nil
}

// reconcile reads the key and writes the pending record unless it is already stored or another claim holds the key. If
// the key does not exist, creating the record also prevents a delayed write of the open record from taking effect.
func (r *Recorder) reconcile(ctx context.Context, w pendingWrite) error {
	entry, err := r.get(ctx, w.storageKey)
	if _, notFound := errors.AsType[kv.NotFoundError](err); notFound {
		return r.putRecord(ctx, w, kv.Revision{})
	}
	if err != nil {
		return err
	}
	found, err := decode(w.storageKey, entry.Value())
	if err != nil {
		return err
	}
	if !w.replaces(found) {
		return nil
	}
	return r.putRecord(ctx, w, entry.Revision())
}

// replaces reports whether a pending record is written over the stored one. A record that was stored before replaces one
// of another claim that is not finished: the key-value service has brought back a claim that had been released.
func (w pendingWrite) replaces(found record) bool {
	if found.ClaimID != w.record.ClaimID {
		return w.restored && w.record.State != stateNotRun && found.State != stateFinished && found.Digest == w.record.Digest
	}
	// A record in the backlog may be older than what the claim has written since.
	return found.State == stateOpen && w.record.State != stateOpen
}

func (r *Recorder) putRecord(ctx context.Context, w pendingWrite, revision kv.Revision) error {
	data, err := w.record.encode()
	if err != nil {
		return err
	}
	lease, err := r.lease(ctx)
	if err != nil {
		return err
	}
	_, err = r.put(ctx, w.storageKey, data, revision, lease)
	if lost, ok := errors.AsType[kv.LeaseLostError](err); ok {
		r.leases.invalidate(lost.Lease)
	}
	return err
}
