package kv

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Eras tracks the era of the key-value service, and keeps what belongs to one era out of the next: a revision or lease
// of an earlier era is not sent, since the service may have given out the same number again, and a response of an
// earlier era is refused. Its exported field must be set before use. It is safe for concurrent use.
type Eras struct {
	// OnBegin is called when the service is seen to have begun a new era, not for the first era that is seen. It may be
	// nil. Calls may be concurrent.
	OnBegin func(before, after uint64)

	mu      sync.Mutex
	current uint64
}

// Current returns the highest era seen so far, or 0 if the service has reported none.
func (e *Eras) Current() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Observe records the era of a response of the service.
func (e *Eras) Observe(era uint64) {
	e.mu.Lock()
	before := e.current
	e.current = max(era, before)
	e.mu.Unlock()
	if before != 0 && era > before && e.OnBegin != nil {
		e.OnBegin(before, era)
	}
}

// Guard returns a Store that calls store and keeps the eras apart. The functions of store must call Observe with the era
// of a response before they return.
func (e *Eras) Guard(store Store) Store {
	g := &guard{eras: e, store: store}
	return Store{
		Get: g.get, Put: g.put, PutAll: g.putAll, Delete: g.delete, List: g.list, Watch: g.watch, Grant: g.grant, Renew: g.renew, Revoke: g.revoke,
	}
}

// guard implements the functions of the Store that Eras.Guard returns.
type guard struct {
	eras  *Eras
	store Store
}

// checkSent returns EraEndedError if a revision is of an earlier era. Zero revisions belong to no era.
func (g *guard) checkSent(revision Revision) error {
	if current := g.eras.Current(); !revision.IsZero() && revision.Era() < current {
		return errors.Trace(EraEndedError{Era: revision.Era(), Current: current})
	}
	return nil
}

// checkReceived returns an error if a response belongs to an earlier era than the current one, or to another one than
// the revision that was sent.
func (g *guard) checkReceived(sent Revision, era uint64) error {
	current := g.eras.Current()
	if era < current {
		return errors.Trace(EraEndedError{Era: era, Current: current})
	}
	if !sent.IsZero() && sent.Era() != era {
		return errors.Trace(EraEndedError{Era: sent.Era(), Current: era})
	}
	return nil
}

// checkLease returns LeaseLostError if a lease is of an earlier era, in which case its ID may be another holder's now.
func (g *guard) checkLease(lease Lease) error {
	if !lease.IsZero() && lease.Era() < g.eras.Current() {
		return errors.Trace(LeaseLostError{Lease: lease})
	}
	return nil
}

func (g *guard) get(ctx context.Context, key string) (Entry, error) {
	before := g.eras.Current()
	entry, err := g.store.Get(ctx, key)
	if _, missing := errors.AsType[NotFoundError](err); missing && before != 0 && g.eras.Current() != before {
		// The response may be that of the earlier era, in which the key did not exist yet.
		return Entry{}, errors.Trace(UnavailableError{Call: "get", Cause: EraEndedError{Era: before, Current: g.eras.Current()}})
	}
	if err != nil {
		return Entry{}, err
	}
	if err := g.checkReceived(Revision{}, entry.Revision().Era()); err != nil {
		return Entry{}, errors.Trace(UnavailableError{Call: "get", Cause: err})
	}
	return entry, nil
}

// put fails with UnavailableError if the write was made in another era than the revision or the lease that were sent:
// the same numbers may then have named something else.
func (g *guard) put(ctx context.Context, key string, value []byte, ifRevision Revision, lease Lease) (Revision, error) {
	if err := g.checkLease(lease); err != nil {
		return Revision{}, err
	}
	if err := g.checkSent(ifRevision); err != nil {
		return Revision{}, err
	}
	revision, err := g.store.Put(ctx, key, value, ifRevision, lease)
	if err != nil {
		return Revision{}, err
	}
	err = g.checkReceived(ifRevision, revision.Era())
	if err == nil && !lease.IsZero() && lease.Era() != revision.Era() {
		err = errors.Trace(EraEndedError{Era: lease.Era(), Current: revision.Era()})
	}
	if err != nil {
		return Revision{}, errors.Trace(UnavailableError{Call: "put", MayHaveTakenEffect: true, Cause: err})
	}
	return revision, nil
}

// putAll fails like put if the write was made in another era than the lease.
func (g *guard) putAll(ctx context.Context, values map[string][]byte, lease Lease) error {
	if err := g.checkLease(lease); err != nil {
		return err
	}
	if err := g.store.PutAll(ctx, values, lease); err != nil {
		return err
	}
	if current := g.eras.Current(); !lease.IsZero() && lease.Era() != current {
		err := errors.Trace(EraEndedError{Era: lease.Era(), Current: current})
		return errors.Trace(UnavailableError{Call: "put", MayHaveTakenEffect: true, Cause: err})
	}
	return nil
}

func (g *guard) delete(ctx context.Context, key string, ifRevision Revision) error {
	if err := g.checkSent(ifRevision); err != nil {
		return err
	}
	if err := g.store.Delete(ctx, key, ifRevision); err != nil {
		return err
	}
	if err := g.checkSent(ifRevision); err != nil {
		return errors.Trace(UnavailableError{Call: "delete", MayHaveTakenEffect: true, Cause: err})
	}
	return nil
}

func (g *guard) list(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	entries, revision, err := g.store.List(ctx, prefix)
	if err == nil {
		err = g.checkReceived(Revision{}, revision.Era())
	}
	for _, entry := range entries {
		if err == nil && !entry.Revision().SameEra(revision) {
			// A later page was sent in another era.
			err = errors.Trace(EraEndedError{Era: revision.Era(), Current: entry.Revision().Era()})
		}
	}
	if err != nil {
		return nil, Revision{}, err
	}
	return entries, revision, nil
}

// watch fails with EraEndedError if the response belongs to another era than after. Its changes would be those of the
// new history after a number of the old one.
func (g *guard) watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error) {
	if err := g.checkSent(after); err != nil {
		return nil, Revision{}, err
	}
	entries, revision, err := g.store.Watch(ctx, prefix, after, wait)
	if err == nil {
		err = g.checkReceived(after, revision.Era())
	}
	if err != nil {
		return nil, Revision{}, err
	}
	return entries, revision, nil
}

func (g *guard) grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	lease, err := g.store.Grant(ctx, ttl)
	if err == nil {
		err = g.checkLease(lease)
	}
	if err != nil {
		return Lease{}, err
	}
	return lease, nil
}

func (g *guard) renew(ctx context.Context, lease Lease) error {
	if err := g.checkLease(lease); err != nil {
		return err
	}
	if err := g.store.Renew(ctx, lease); err != nil {
		return err
	}
	return g.checkLease(lease)
}

// revoke does not send a lease of an earlier era, which would end the lease of whoever holds that ID now. It renews the
// lease first: if this is the first call of a new era, the response shows it, and a renewal does no harm.
func (g *guard) revoke(ctx context.Context, lease Lease) error {
	if err := g.renew(ctx, lease); err != nil {
		return err
	}
	return g.store.Revoke(ctx, lease)
}
