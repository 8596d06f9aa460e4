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

// Defaults for the fields of Recorder.
const (
	DefaultTimeout      = 2 * time.Second
	DefaultAwaitTimeout = 5 * time.Second
	// DefaultCallTimeout is short enough that a write without a response, its read-back and a second write fit into
	// DefaultTimeout.
	DefaultCallTimeout = 600 * time.Millisecond
	// DefaultSendWithin is far shorter than DefaultExpiry and not longer than the minimum of the setting claim-expiry, so
	// that a daemon that was paused does not send after its record has expired and another daemon has claimed the key.
	DefaultSendWithin = time.Minute
	DefaultExpiry     = 24 * time.Hour
	// maxWrites limits the writes of one claim or outcome, because each one counts against the rate limit of the
	// key-value service.
	maxWrites = 5
	// retryDelay is the delay before the first retry of a call to the key-value service.
	retryDelay = 20 * time.Millisecond
)

// Classes of claims that are passed to Recorder.Observe.
const (
	// ClassCreated is the class of a claim that owns the key.
	ClassCreated = "created"
	// ClassReplayed is the class of a claim whose key an earlier request with the same digest holds.
	ClassReplayed = "replayed"
	// ClassConflict is the class of a claim that fails with any error but FailedError, because the key was used for
	// a different request or its record is malformed or cannot be read.
	ClassConflict = "conflict"
	// ClassFailed is the class of a claim that fails with FailedError.
	ClassFailed = "failed"
)

// Recorder manages idempotency records in the key-value service. Its fields are set before use; its methods are safe
// for concurrent use.
//
// Before the call is sent, its record is written with create-if-absent and the ID of the claim. No other claim replaces
// the record while its writer may still send. Run retries the writes that failed.
type Recorder struct {
	Store kv.Store
	// Timeout limits the duration of Claim and of all writes of one outcome. Zero means DefaultTimeout.
	Timeout time.Duration
	// CallTimeout limits each call to Store except a watch. Zero means DefaultCallTimeout.
	CallTimeout time.Duration
	// AwaitTimeout limits how long a later request with the same key waits for the outcome of the first one. Zero means
	// DefaultAwaitTimeout.
	AwaitTimeout time.Duration
	// SendWithin is the maximum age of a claim at the time of sending. Zero means DefaultSendWithin.
	SendWithin time.Duration
	// Expiry is the minimum lifetime of a record. Zero means DefaultExpiry.
	Expiry time.Duration
	// Era returns the current era of the key-value service. If it is nil, the service is taken never to come back from an
	// older copy.
	Era func() uint64
	// SettleTime is the time after the beginning of an era in which no key can be claimed, so that all daemons can write
	// the records again that the service has lost. Zero means DefaultSettleTime.
	SettleTime time.Duration
	// OnEra, if not nil, is called when a new era is seen, with the number of records that are written again.
	OnEra func(before, after uint64, records int)
	// Observe, if not nil, is called with the class of each claim, one of the Class constants.
	Observe func(class string)

	leases  leaseCache
	backlog backlog
	eras    eraState
}

// Claim creates the record of a key and returns a Ticket that owns the key, or one that does not own it if an earlier
// request with the same digest holds the key. It fails with KeyReusedError, MalformedRecordError, OutcomeUnknownError
// or FailedError. The key is the caller's idempotency key. After an error no call may be sent under the claim ID that
// Claim tried to write, even if the write took effect.
func (r *Recorder) Claim(ctx context.Context, workspace, service, key, digest string) (Ticket, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(r.Timeout, DefaultTimeout))
	defer cancel()
	if err := r.checkSettled(); err != nil {
		r.observe(Ticket{}, err)
		return Ticket{}, err
	}
	p := &pendingClaim{
		recorder:   r,
		service:    service,
		storageKey: storageKeyOf(workspace, service, key),
		claimedAt:  time.Now(),
		record:     record{ClaimID: uuid.NewString(), Digest: digest, State: stateOpen},
	}
	ticket, err := p.run(ctx)
	if err == nil && ticket.owned {
		// The write itself may be the first call of a new era.
		if err = r.checkSettled(); err != nil {
			ticket, p.mayBeWritten = Ticket{}, true
		}
	}
	if err != nil && p.mayBeWritten {
		// Until Run has written the release, only this Recorder can claim the key again (see statusOf).
		r.backlog.add(pendingWrite{storageKey: p.storageKey, record: p.record.release()})
	}
	r.observe(ticket, err)
	return ticket, err
}

func (r *Recorder) observe(ticket Ticket, err error) {
	if r.Observe == nil {
		return
	}
	_, failed := errors.AsType[FailedError](err)
	switch {
	case failed:
		r.Observe(ClassFailed)
	case err != nil:
		r.Observe(ClassConflict)
	case ticket.owned:
		r.Observe(ClassCreated)
	default:
		r.Observe(ClassReplayed)
	}
}

// pendingClaim is the state of one claim in progress.
type pendingClaim struct {
	recorder   *Recorder
	service    string
	storageKey string
	record     record
	claimedAt  time.Time
	// expectedRevision is the revision that the next write expects. The zero value creates the key.
	expectedRevision kv.Revision
	// mayBeWritten is set after a failed write that may have taken effect.
	mayBeWritten bool
	// held is set while the key-value service reports that the key exists and is not known to be free.
	held bool
}

// run repeats the same write until it is known which claim holds the key. Repeating is safe because all writes carry
// the same claim ID, at most one of them takes effect, and a conflict is resolved by reading the key.
func (p *pendingClaim) run(ctx context.Context) (Ticket, error) {
	data, err := p.record.encode()
	if err != nil {
		return Ticket{}, errors.Trace(FailedError{Cause: err})
	}
	delay := retryDelay
	for range maxWrites {
		var ticket Ticket
		var done bool
		ticket, done, err = p.put(ctx, data)
		if done {
			return ticket, err
		}
		if clock.Sleep(ctx, delay) != nil {
			break
		}
		delay *= 2
	}
	if p.held {
		// An earlier request may hold the key and may have been executed, so NotRun would mislead a caller that
		// retries.
		return Ticket{}, errors.Trace(OutcomeUnknownError{Cause: err})
	}
	return Ticket{}, errors.Trace(FailedError{Cause: err})
}

// put writes once and reads the key back if there was a conflict or it is unknown whether the write took effect. The
// boolean reports whether the claim is decided.
func (p *pendingClaim) put(ctx context.Context, data []byte) (Ticket, bool, error) {
	lease, err := p.recorder.lease(ctx)
	if err != nil {
		return Ticket{}, false, err
	}
	revision, err := p.recorder.put(ctx, p.storageKey, data, p.expectedRevision, lease)
	if err == nil {
		p.recorder.remember(pendingWrite{storageKey: p.storageKey, record: p.record})
		return p.ownedTicket(revision), true, nil
	}
	if lost, ok := errors.AsType[kv.LeaseLostError](err); ok {
		p.recorder.leases.invalidate(lost.Lease)
		return Ticket{}, false, err
	}
	_, conflict := errors.AsType[kv.ConflictError](err)
	if !conflict && !mayHaveWritten(err) {
		return Ticket{}, false, err
	}
	p.held = p.held || conflict
	p.mayBeWritten = p.mayBeWritten || !conflict
	return p.readBack(ctx)
}

// readBack reads the key after a write that may not have taken effect. Its results are those of put.
func (p *pendingClaim) readBack(ctx context.Context) (Ticket, bool, error) {
	entry, err := p.recorder.get(ctx, p.storageKey)
	if _, notFound := errors.AsType[kv.NotFoundError](err); notFound {
		p.expectedRevision, p.held = kv.Revision{}, false
		return Ticket{}, false, err
	}
	if err != nil {
		return Ticket{}, false, err
	}
	found, err := decode(p.storageKey, entry.Value())
	if err != nil {
		return Ticket{}, true, err
	}
	p.held = true
	switch p.statusOf(found) {
	case keyOwned:
		p.recorder.remember(pendingWrite{storageKey: p.storageKey, record: p.record})
		return p.ownedTicket(entry.Revision()), true, nil
	case keyReused:
		return Ticket{}, true, errors.Trace(KeyReusedError{Service: p.service})
	case keyFree:
		// The error is not from the store: with it, run writes again, now over the revision that was read.
		p.expectedRevision, p.held = entry.Revision(), false
		return Ticket{}, false, errors.Trace(kv.ConflictError{Key: p.storageKey, Current: entry.Revision()})
	default:
		return Ticket{
			recorder: p.recorder, storageKey: p.storageKey, record: found, revision: entry.Revision(),
			claimedAt: p.claimedAt,
		}, true, nil
	}
}

// keyStatus is the status of a key from the view of one claim: held by another claim for the same request,
// owned by this claim, used for a different request, or free to be claimed.
type keyStatus int

const (
	keyHeld keyStatus = iota
	keyOwned
	keyReused
	keyFree
)

// statusOf decides the status of the key from the stored record. A record with another digest counts as reused in every
// state, so a released key stays bound to the same request. The key is free only if the call of the record was not
// executed and can never be sent: the record says so, or this Recorder wrote it and its backlog holds the release,
// which other daemons do not see yet.
func (p *pendingClaim) statusOf(found record) keyStatus {
	switch {
	case found.ClaimID == p.record.ClaimID:
		return keyOwned
	case found.Digest != p.record.Digest:
		return keyReused
	case found.State == stateNotRun:
		return keyFree
	case found.State == stateOpen && p.recorder.backlog.released(found.ClaimID):
		return keyFree
	default:
		return keyHeld
	}
}

func (p *pendingClaim) ownedTicket(revision kv.Revision) Ticket {
	return Ticket{
		recorder: p.recorder, storageKey: p.storageKey, record: p.record, revision: revision,
		claimedAt: p.claimedAt, owned: true,
	}
}

func (r *Recorder) get(ctx context.Context, key string) (kv.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout())
	defer cancel()
	return r.Store.Get(ctx, key)
}

func (r *Recorder) put(ctx context.Context, key string, data []byte, revision kv.Revision, lease kv.Lease) (kv.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout())
	defer cancel()
	return r.Store.Put(ctx, key, data, revision, lease)
}

func (r *Recorder) callTimeout() time.Duration { return cmp.Or(r.CallTimeout, DefaultCallTimeout) }

// mayHaveWritten reports whether a write that failed with err may have taken effect in the store. Only an
// UnavailableError without MayHaveTakenEffect rules it out; any other error counts as a write.
func mayHaveWritten(err error) bool {
	unavailable, ok := errors.AsType[kv.UnavailableError](err)
	return !ok || unavailable.MayHaveTakenEffect
}
