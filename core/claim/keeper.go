package claim

import (
	"cmp"
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"radishhollow/core/clock"
	"radishhollow/core/kv"
)

// Defaults of Keeper.
const (
	DefaultTimeout  = 2 * time.Second
	DefaultAwaitFor = 5 * time.Second
	// DefaultCallTimeout lets DefaultTimeout hold a write whose answer never comes, its read-back and another write.
	DefaultCallTimeout = 600 * time.Millisecond
	// DefaultSendWithin is far below the life of a record, so that a daemon that was paused does not send after
	// its record has expired and another entry has claimed the key.
	DefaultSendWithin = time.Minute
	DefaultExpiry     = 24 * time.Hour
	// attempts bounds the writes of one claim; each costs a counted call on a service with rate limits.
	attempts   = 5
	retryDelay = 20 * time.Millisecond
)

// Classes that Observe is told.
const (
	ClassCreated  = "created"
	ClassReplayed = "replayed"
	ClassConflict = "conflict"
	ClassFailed   = "failed"
)

// Keeper keeps idempotency records in the key-value service. The fields are set before use.
//
// A record is written with create-if-absent and a value unique to this claim before the call is sent, and is never
// taken over while its writer may still send. Run settles the records that could not be written at once.
type Keeper struct {
	Store kv.Store
	// Timeout bounds Claim and each write of an outcome. Zero means DefaultTimeout.
	Timeout time.Duration
	// CallTimeout bounds each call to the store, apart from a watch. Zero means DefaultCallTimeout.
	CallTimeout time.Duration
	// AwaitFor bounds the wait of a second arrival. Zero means DefaultAwaitFor.
	AwaitFor time.Duration
	// SendWithin bounds the age of a claim at the time of sending. Zero means DefaultSendWithin.
	SendWithin time.Duration
	// Expiry is the least life of a record. Zero means DefaultExpiry.
	Expiry time.Duration
	// Observe is told the class of each claim; it may be nil.
	Observe func(class string)

	leases  leases
	backlog backlog
}

// Claim creates the record of a key, or returns a Ticket that is not owned where an earlier request holds it.
// After an error this keeper never sends under the value that it tried to write, even if the write took effect.
func (k *Keeper) Claim(ctx context.Context, workspace, service, key, digest string) (Ticket, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(k.Timeout, DefaultTimeout))
	defer cancel()
	a := &attempt{
		keeper:  k,
		service: service,
		key:     recordKey(workspace, service, key),
		since:   time.Now(),
		record:  record{Unique: uuid.NewString(), Digest: digest, State: stateOpen},
	}
	ticket, err := a.run(ctx)
	if err != nil && a.written {
		k.backlog.add(job{key: a.key, record: a.record.release()})
	}
	k.count(ticket, err)
	return ticket, err
}

func (k *Keeper) count(ticket Ticket, err error) {
	if k.Observe == nil {
		return
	}
	_, failed := errors.AsType[FailedError](err)
	switch {
	case failed:
		k.Observe(ClassFailed)
	case err != nil:
		k.Observe(ClassConflict)
	case ticket.owned:
		k.Observe(ClassCreated)
	default:
		k.Observe(ClassReplayed)
	}
}

// attempt is one claim in progress.
type attempt struct {
	keeper  *Keeper
	service string
	key     string
	record  record
	since   time.Time
	// revision is the one that the next write expects; 0 creates.
	revision uint64
	// written is set once a write may have taken effect without an answer.
	written bool
	// taken is set once the store has reported that the key is held.
	taken bool
}

// run repeats the same write until it is known who holds the key. Repeating is safe: all writes carry the same unique
// value, at most one of them takes effect, and a conflict is settled by reading.
func (a *attempt) run(ctx context.Context) (Ticket, error) {
	data, err := a.record.encode()
	if err != nil {
		return Ticket{}, errors.Trace(FailedError{Cause: err})
	}
	delay := retryDelay
	for range attempts {
		var ticket Ticket
		var done bool
		ticket, done, err = a.put(ctx, data)
		if done {
			return ticket, err
		}
		if clock.Sleep(ctx, delay) != nil {
			break
		}
		delay *= 2
	}
	if a.taken {
		// An earlier request may hold the key and may have run, so "not run" would mislead a caller that retries.
		return Ticket{}, errors.Trace(OutcomeUnknownError{Cause: err})
	}
	return Ticket{}, errors.Trace(FailedError{Cause: err})
}

// put writes once and reads back where the write's effect is open.
func (a *attempt) put(ctx context.Context, data []byte) (Ticket, bool, error) {
	lease, err := a.keeper.lease(ctx)
	if err != nil {
		return Ticket{}, false, err
	}
	revision, err := a.keeper.put(ctx, a.key, data, a.revision, lease)
	if err == nil {
		return a.owned(revision), true, nil
	}
	if lost, ok := errors.AsType[kv.LeaseLostError](err); ok {
		a.keeper.leases.drop(lost.Lease)
		return Ticket{}, false, err
	}
	_, conflict := errors.AsType[kv.ConflictError](err)
	if !conflict && !maybeWritten(err) {
		return Ticket{}, false, err
	}
	a.taken = a.taken || conflict
	a.written = a.written || !conflict
	return a.readBack(ctx)
}

func (a *attempt) readBack(ctx context.Context) (Ticket, bool, error) {
	entry, err := a.keeper.get(ctx, a.key)
	if _, missing := errors.AsType[kv.NotFoundError](err); missing {
		a.revision, a.taken = 0, false
		return Ticket{}, false, err
	}
	if err != nil {
		return Ticket{}, false, err
	}
	found, err := decode(a.key, entry.Value())
	if err != nil {
		return Ticket{}, true, err
	}
	a.taken = true
	switch a.judge(found) {
	case verdictOwned:
		return a.owned(entry.Revision()), true, nil
	case verdictReused:
		return Ticket{}, true, errors.Trace(KeyReusedError{Service: a.service})
	case verdictFree:
		a.revision, a.taken = entry.Revision(), false
		return Ticket{}, false, errors.Trace(kv.ConflictError{Key: a.key, Current: entry.Revision()})
	default:
		return Ticket{keeper: a.keeper, key: a.key, record: found, revision: entry.Revision(), since: a.since}, true, nil
	}
}

// verdict says what a record that was read means for an attempt.
type verdict int

const (
	verdictHeld verdict = iota
	verdictOwned
	verdictReused
	verdictFree
)

// judge is the whole decision on a record that was read. A record is free only if its call did not run and can never
// be sent: it says so itself, or this keeper wrote it and gave it up.
func (a *attempt) judge(found record) verdict {
	switch {
	case found.Unique == a.record.Unique:
		return verdictOwned
	case found.Digest != a.record.Digest:
		return verdictReused
	case found.State == stateNotRun:
		return verdictFree
	case found.State == stateOpen && a.keeper.backlog.released(found.Unique):
		return verdictFree
	default:
		return verdictHeld
	}
}

func (a *attempt) owned(revision uint64) Ticket {
	return Ticket{keeper: a.keeper, key: a.key, record: a.record, revision: revision, since: a.since, owned: true}
}

func (k *Keeper) get(ctx context.Context, key string) (kv.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, k.callTimeout())
	defer cancel()
	return k.Store.Get(ctx, key)
}

func (k *Keeper) put(ctx context.Context, key string, data []byte, revision uint64, lease string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, k.callTimeout())
	defer cancel()
	return k.Store.Put(ctx, key, data, revision, lease)
}

func (k *Keeper) callTimeout() time.Duration { return cmp.Or(k.CallTimeout, DefaultCallTimeout) }

func maybeWritten(err error) bool {
	lost, ok := errors.AsType[kv.UnavailableError](err)
	return !ok || lost.Written
}
