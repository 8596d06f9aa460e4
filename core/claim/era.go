package claim

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/clock"
	"radishhollow/core/kv"
)

const (
	// DefaultSettleTime covers the time until each daemon has reached a key-value service that has come back, and has
	// written its records again.
	DefaultSettleTime = 10 * time.Second
	// recentPeriod is the age of the writes that the service may lose when it comes back from an older copy, with a
	// margin.
	recentPeriod = 2 * time.Minute
	// rewriteWorkers is the number of records that are written again at the same time.
	rewriteWorkers = 8
	// rewriteDelay is the delay before a record is written once more.
	rewriteDelay = 100 * time.Millisecond
)

// eraState tracks the era of the key-value service as a Recorder sees it.
type eraState struct {
	mu      sync.Mutex
	known   bool
	era     uint64
	beganAt time.Time
	// recent holds the records written in the last recentPeriod.
	recent backlog
}

// observe returns the records to write again if the era is a new one. The first era that is observed is not new.
func (e *eraState) observe(era uint64) []pendingWrite {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known && era <= e.era {
		return nil
	}
	began := e.known && e.era != 0
	e.known, e.era = true, era
	if !began {
		return nil
	}
	e.beganAt = time.Now()
	writes := e.recent.list()
	for i := range writes {
		writes[i].restored, writes[i].writtenAt = true, writes[i].addedAt
	}
	return writes
}

// settling returns the time left in which records of the last era may still be missing.
func (e *eraState) settling(settleTime time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.beganAt.IsZero() {
		return 0
	}
	return max(settleTime-ageOf(e.beganAt), 0)
}

func (e *eraState) current() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era
}

// checkEra looks for a new era, and adds the recent records to the backlog if there is one.
func (r *Recorder) checkEra() {
	if r.Era == nil {
		return
	}
	before := r.eras.current()
	writes := r.eras.observe(r.Era())
	for _, w := range writes {
		r.backlog.add(w)
	}
	if after := r.eras.current(); before != 0 && after != before && r.OnEra != nil {
		r.OnEra(before, after, len(writes))
	}
}

// checkSettled fails with OutcomeUnknownError while a record of an earlier request may be missing because the
// key-value service has come back from an older copy.
func (r *Recorder) checkSettled() error {
	r.checkEra()
	if left := r.eras.settling(cmp.Or(r.SettleTime, DefaultSettleTime)); left > 0 {
		return errors.Trace(OutcomeUnknownError{Cause: SettlingError{Remaining: left}})
	}
	return nil
}

// remember keeps a written record, to write it again if the key-value service loses it.
func (r *Recorder) remember(w pendingWrite) {
	if r.Era != nil {
		r.eras.recent.replace(w)
	}
}

// rewriteRestored writes the records again that the key-value service may have lost, until all are written or the settle
// time is over. The records that were written last are the most likely to be lost and come first.
func (r *Recorder) rewriteRestored(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.eras.settling(cmp.Or(r.SettleTime, DefaultSettleTime)))
	defer cancel()
	var writes []pendingWrite
	for _, w := range r.backlog.list() {
		if w.restored {
			writes = append(writes, w)
		}
	}
	slices.SortFunc(writes, func(a, b pendingWrite) int { return b.writtenAt.Compare(a.writtenAt) })
	queue := make(chan pendingWrite, len(writes))
	for _, w := range writes {
		queue <- w
	}
	close(queue)
	var group sync.WaitGroup
	for range min(rewriteWorkers, len(writes)) {
		group.Go(func() { r.runRewrites(ctx, queue) })
	}
	group.Wait()
}

// runRewrites writes the queued records. It repeats a write that the key-value service does not answer or refuses, as it
// does above its rate limit, while all daemons write their records again.
func (r *Recorder) runRewrites(ctx context.Context, queue <-chan pendingWrite) {
	for w := range queue {
		err := r.reconcile(ctx, w)
		for err != nil && clock.Sleep(ctx, rewriteDelay) == nil {
			err = r.reconcile(ctx, w)
		}
		if err != nil {
			return
		}
		r.backlog.remove(w.record.ClaimID)
	}
}

// checkTicketEra fails if the record of a ticket may have been lost since it was written.
func (r *Recorder) checkTicketEra(revision kv.Revision) error {
	if r.Era == nil {
		return nil
	}
	if current := r.Era(); current > revision.Era() {
		return errors.Trace(kv.EraEndedError{Era: revision.Era(), Current: current})
	}
	return nil
}
