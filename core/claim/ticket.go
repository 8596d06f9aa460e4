package claim

import (
	"cmp"
	"context"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/clock"
	"radishhollow/core/failure"
	"radishhollow/core/kv"
)

// minWatchWait prevents a busy loop of watches that return immediately.
const minWatchWait = 10 * time.Millisecond

// Ticket is the result of a claim. It either owns the key, which allows its holder to send the call, or refers to the
// earlier request that holds the key.
type Ticket struct {
	recorder   *Recorder
	storageKey string
	record     record
	revision   kv.Revision
	claimedAt  time.Time
	owned      bool
}

// Owned reports whether the ticket owns the key, so that its holder may send the call.
func (t Ticket) Owned() bool { return t.owned }

// Check must succeed immediately before each send. It fails if the daemon was paused for so long that the record may
// have expired, or if the key-value service may have lost the record by coming back from an older copy. The age is
// measured with the monotonic and the wall clock, because the monotonic clock stops while the machine is suspended.
func (t Ticket) Check() error {
	age := ageOf(t.claimedAt)
	if !t.owned || age > cmp.Or(t.recorder.SendWithin, DefaultSendWithin) {
		return errors.Trace(TicketExpiredError{Age: age})
	}
	return t.recorder.checkTicketEra(t.revision)
}

// Finish records the outcome of a call; the outcome NotRun releases the key. It waits for the writes, about
// Recorder.Timeout at most. If they fail, the record stays open until Recorder.Run writes it.
func (t Ticket) Finish(ctx context.Context, result Result) error {
	if result.Outcome == failure.NotRun {
		return t.Release(ctx)
	}
	return t.write(ctx, t.record.finish(result))
}

// Release records that the call was not executed, so that a later request with the same digest can claim the key again.
// The holder must not send the call after Release, even if Release fails.
func (t Ticket) Release(ctx context.Context) error {
	return t.write(ctx, t.record.release())
}

// write writes the record even if the caller cancels, because later requests with the key depend on it. A record that
// cannot be written is added to the backlog.
func (t Ticket) write(ctx context.Context, rec record) error {
	r := t.recorder
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cmp.Or(r.Timeout, DefaultTimeout))
	defer cancel()
	w := pendingWrite{storageKey: t.storageKey, record: rec}
	err := r.putRecord(ctx, w, t.revision)
	for range maxWrites - 1 {
		if err == nil || clock.Sleep(ctx, retryDelay) != nil {
			break
		}
		err = r.reconcile(ctx, w)
	}
	if err != nil {
		r.backlog.replace(w)
	}
	r.remember(w)
	return err
}

// Await waits until the outcome of the request that holds the key is recorded or in the backlog of this Recorder, and
// returns it. It fails with ReleasedError or OmittedError if the record holds no response to replay, and with
// OutcomeUnknownError if the recorded outcome is unknown, if the record no longer exists or belongs to a different
// request, or when ctx or Recorder.AwaitTimeout ends. Until then it repeats a watch that fails with another error.
func (t Ticket) Await(ctx context.Context) (Result, error) {
	r := t.recorder
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(r.AwaitTimeout, DefaultAwaitTimeout))
	defer cancel()
	delay := retryDelay
	for {
		if rec, ok := r.backlog.find(t.record.ClaimID); ok {
			return rec.replay()
		}
		if t.record.State != stateOpen {
			return t.record.replay()
		}
		next, err := t.watch(ctx)
		if _, notFound := errors.AsType[kv.NotFoundError](err); notFound {
			return Result{}, errors.Trace(OutcomeUnknownError{Cause: err})
		}
		if err == nil {
			t, delay = next, retryDelay
		}
		if t.record.State != stateOpen {
			continue
		}
		if ctx.Err() != nil || clock.Sleep(ctx, delay) != nil {
			return Result{}, errors.Trace(OutcomeUnknownError{Cause: err})
		}
		delay *= 2
	}
}

// watch waits for one change of the record and returns the updated ticket. If the record expired or was created again
// for a different call, it says nothing about the request that this ticket refers to, and watch returns NotFoundError.
// If the key was claimed again for the same call, the ticket follows the new record.
func (t Ticket) watch(ctx context.Context) (Ticket, error) {
	deadline, _ := ctx.Deadline()
	wait := max(time.Until(deadline), minWatchWait)
	entries, _, err := t.recorder.Store.Watch(ctx, t.storageKey, t.revision, wait)
	if err != nil {
		return t, err
	}
	for _, entry := range entries {
		if entry.Key() != t.storageKey || !entry.Revision().After(t.revision) {
			continue
		}
		if entry.Deleted() {
			return t, errors.Trace(kv.NotFoundError{Key: t.storageKey})
		}
		found, err := decode(t.storageKey, entry.Value())
		if err != nil {
			return t, err
		}
		if found.Digest != t.record.Digest {
			return t, errors.Trace(kv.NotFoundError{Key: t.storageKey})
		}
		t.record, t.revision = found, entry.Revision()
	}
	return t, nil
}

// ageOf returns the time since the given time, measured with the monotonic and the wall clock of this machine,
// whichever is longer.
func ageOf(since time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
