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

// minWatch keeps a watch that returns at once from being repeated without a pause.
const minWatch = 10 * time.Millisecond

// Ticket is the result of a claim: the right to send, or a reference to the earlier request that holds the key.
type Ticket struct {
	keeper   *Keeper
	key      string
	record   record
	revision uint64
	since    time.Time
	owned    bool
}

// Owned tells whether the holder of the ticket may send.
func (t Ticket) Owned() bool { return t.owned }

// Check must pass immediately before each send. It fails on a daemon that was paused so long that its record may have
// expired; both clocks of this machine are read, because the monotonic one stops while a machine is suspended.
func (t Ticket) Check() error {
	age := ageOf(t.since)
	if !t.owned || age > cmp.Or(t.keeper.SendWithin, DefaultSendWithin) {
		return errors.Trace(TicketExpiredError{Age: age})
	}
	return nil
}

// Finish records the outcome of a call that was sent. After an error the record stays open until Run writes it.
func (t Ticket) Finish(ctx context.Context, outcome Recorded) error {
	if outcome.Outcome == failure.NotRun {
		return t.Release(ctx)
	}
	return t.write(ctx, t.record.finish(outcome))
}

// Release records that the call did not run, so that a later arrival may claim the key anew. The holder must not send
// after it, whatever the result.
func (t Ticket) Release(ctx context.Context) error {
	return t.write(ctx, t.record.release())
}

func (t Ticket) write(ctx context.Context, rec record) error {
	k := t.keeper
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cmp.Or(k.Timeout, DefaultTimeout))
	defer cancel()
	j := job{key: t.key, record: rec}
	err := k.putRecord(ctx, j, t.revision)
	for range attempts - 1 {
		if err == nil || clock.Sleep(ctx, retryDelay) != nil {
			break
		}
		err = k.settle(ctx, j)
	}
	if err != nil {
		k.backlog.add(j)
	}
	return err
}

// Await waits for the outcome of the request that holds the key and returns it as recorded.
func (t Ticket) Await(ctx context.Context) (Recorded, error) {
	k := t.keeper
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(k.AwaitFor, DefaultAwaitFor))
	defer cancel()
	delay := retryDelay
	for {
		if rec, ok := k.backlog.find(t.record.Unique); ok {
			return rec.replay()
		}
		if t.record.State != stateOpen {
			return t.record.replay()
		}
		next, err := t.watch(ctx)
		if _, gone := errors.AsType[kv.NotFoundError](err); gone {
			return Recorded{}, errors.Trace(OutcomeUnknownError{Cause: err})
		}
		if err == nil {
			t, delay = next, retryDelay
		}
		if t.record.State != stateOpen {
			continue
		}
		if ctx.Err() != nil || clock.Sleep(ctx, delay) != nil {
			return Recorded{}, errors.Trace(OutcomeUnknownError{Cause: err})
		}
		delay *= 2
	}
}

// watch waits for one change of the record. A record that expired, or that another call has created since, says nothing
// about the request that this ticket refers to. A record that was claimed anew for the same call is followed.
func (t Ticket) watch(ctx context.Context) (Ticket, error) {
	deadline, _ := ctx.Deadline()
	wait := max(time.Until(deadline), minWatch)
	entries, _, err := t.keeper.Store.Watch(ctx, t.key, t.revision, wait)
	if err != nil {
		return t, err
	}
	for _, entry := range entries {
		if entry.Key() != t.key || entry.Revision() <= t.revision {
			continue
		}
		if entry.Deleted() {
			return t, errors.Trace(kv.NotFoundError{Key: t.key})
		}
		found, err := decode(t.key, entry.Value())
		if err != nil {
			return t, err
		}
		if found.Digest != t.record.Digest {
			return t, errors.Trace(kv.NotFoundError{Key: t.key})
		}
		t.record, t.revision = found, entry.Revision()
	}
	return t, nil
}

// ageOf is the larger of the times that the monotonic and the wall clock of this machine show.
func ageOf(since time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
