// Package relay lets most daemons follow the key-value service through a few readers among them, so that the number of
// calls to it does not grow with the fleet.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/kv"
	"radishhollow/core/transfer"
)

const (
	// maxPageBytes is the size of the values in one answer, unless a single value is larger.
	maxPageBytes = 512 << 10
	// askedTTL is the time for which a daemon that was asked for a prefix reads it from the key-value service. A daemon is
	// asked although it does not count itself among the readers if the daemons have different views of the fleet.
	askedTTL = 5 * time.Second
	// minSuspiciousRemovals is the number of removed entries from which an answer that also removes more than a quarter of
	// all entries is checked with the key-value service.
	minSuspiciousRemovals = 4
)

// Events that Store counts.
const (
	// Direct is a call to the key-value service, Relayed one to a reader, and Served one of a follower that was answered.
	Direct  = "direct"
	Relayed = "relayed"
	Served  = "served"
	// Local is a list that was answered from the daemon's own copy, because the reader's digest confirmed it.
	Local = "local"
	// Fallback is a call to the key-value service after a reader failed, Refused a follower's call without a usable copy.
	Fallback = "fallback"
	Refused  = "refused"
	// Busy is a large answer that a reader did not send, because its link would carry it too late.
	Busy = "busy"
	// Mismatch is a reader's answer whose digest differs, Implausible one that removes a large part of the entries.
	Mismatch    = "mismatch"
	Implausible = "implausible"
	// OtherEra is a reader's answer of an era in which the key-value service is not.
	OtherEra = "other-era"
)

// Store answers lists and watches of the followed prefixes through readers or, where no reader answers in time, from the
// key-value service. There is no agreement on who reads: a daemon that ranks itself among the readers, or that is asked
// by another one, reads the service itself. Its exported fields must be set before use. It is safe for concurrent use.
type Store struct {
	// Direct calls the key-value service.
	Direct kv.Store
	// Self is the daemon's address among the daemons.
	Self string
	// Peers returns the addresses of the other daemons that may be readers.
	Peers func() []string
	// LinkMbps returns the rate of a daemon's link in Mbit/s, also this one's, or 0 if it is not known. It may be nil.
	LinkMbps func(address string) float64
	// Ask calls a reader.
	Ask func(ctx context.Context, address string, request Request) (Response, error)
	// Timings holds the prefixes that are followed through readers, with their delays.
	Timings map[string]Timing
	// MembersPrefix is the prefix of the daemons' registrations, from which Peers learns the daemons.
	MembersPrefix string
	// OnFailure is called with the time of a reader's last failed call to the key-value service. It may be nil.
	OnFailure func(prefix string, at time.Time)
	// OnRole is called when the daemon begins or ends to read a prefix from the key-value service. It may be nil.
	OnRole func(prefix string, reads bool)
	// OnTransfer is called after each call to a reader with the prefix, the reader's address and the transfer of its
	// response. It may be nil.
	OnTransfer func(prefix, address string, t *transfer.Transfer, err error)
	// Count counts events. It may be nil.
	Count func(event string)

	mu        sync.Mutex
	followed  map[string]*followed
	suspended map[string]suspended
	// currentEra is the latest era in which the key-value service itself has answered this daemon.
	currentEra uint64
	// uplink is created when it is first used.
	uplink *uplink
}

// KV returns a kv.Store whose lists and watches of the followed prefixes are relayed. All other calls are direct.
func (s *Store) KV() kv.Store {
	store := s.Direct
	store.List, store.Watch = s.list, s.watch
	return store
}

func (s *Store) state(prefix string) (*followed, Timing, bool) {
	timing, known := s.Timings[prefix]
	if !known {
		return nil, Timing{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.followed == nil {
		s.followed = map[string]*followed{}
	}
	if s.followed[prefix] == nil {
		s.followed[prefix] = &followed{}
	}
	return s.followed[prefix], timing, true
}

// Receiving reports whether a response with changes or entries of a prefix is arriving.
func (s *Store) Receiving(prefix string) bool {
	f, _, known := s.state(prefix)
	return known && f.isReceiving()
}

func (s *Store) count(event string) {
	if s.Count != nil {
		s.Count(event)
	}
}

// watch implements kv.Store.Watch.
func (s *Store) watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Entry, kv.Revision, error) {
	f, timing, known := s.state(prefix)
	if !known {
		return s.Direct.Watch(ctx, prefix, after, wait)
	}
	if err := s.checkNotEnded(f, after); err != nil {
		return nil, kv.Revision{}, err
	}
	ctx, end := f.measure(ctx)
	defer end()
	wait = min(wait, timing.pollWait)
	address, err := s.awaitSource(ctx, prefix, f)
	if err != nil {
		return nil, kv.Revision{}, err
	}
	if !f.takeCheck() {
		watchCtx, cancel := f.beginWatch(ctx)
		changes, revision, err := s.watchSource(watchCtx, address, prefix, f, timing, after, wait)
		cancel()
		if err == nil || ctx.Err() != nil || !f.takeCheck() {
			return changes, revision, err
		}
	}
	if err := s.checkNotEnded(f, after); err != nil {
		return nil, kv.Revision{}, err
	}
	return s.watchDirect(ctx, prefix, f, timing, after, timing.probeWait())
}

// watchSource asks the reader at address or, if that fails or address is empty, the key-value service.
func (s *Store) watchSource(
	ctx context.Context, address, prefix string, f *followed, timing Timing, after kv.Revision, wait time.Duration,
) ([]kv.Entry, kv.Revision, error) {
	if address != "" {
		response, err := s.ask(ctx, address, f, timing, Request{Prefix: prefix, After: after, Wait: wait})
		if err == nil && response.Revision.Before(after) {
			err = kv.OldRevisionError{Want: after, Got: response.Revision}
		}
		if err == nil && !response.Revision.SameEra(after) {
			f.setConfirmed(false)
			return nil, kv.Revision{}, errors.Trace(kv.EraEndedError{Era: after.Era(), Current: response.Revision.Era()})
		}
		if err == nil {
			return s.applyRelayed(f, after, response)
		}
		// The daemon's own copy is not known to be current any more, so the next list must not be answered from it.
		f.setConfirmed(false)
		if _, compacted := errors.AsType[kv.CompactedError](err); compacted || ctx.Err() != nil {
			return nil, kv.Revision{}, err
		}
		s.fallBack(address, err)
		// The call only has to show what the reader may have withheld. Then another reader is asked.
		wait = min(wait, timing.probeWait())
	}
	return s.watchDirect(ctx, prefix, f, timing, after, wait)
}

// fallBack records that a reader did not answer a call, which therefore goes to the key-value service.
func (s *Store) fallBack(address string, err error) {
	// A busy reader is sound, and its answers without large values arrive in time.
	if _, busy := errors.AsType[BusyError](err); !busy {
		s.suspend(address)
	}
	s.count(Fallback)
}

// ask calls a reader, and rejects an answer that is too old or of an era that the key-value service does not confirm. The
// call is given up when a sound reader would have begun its answer, or has stopped sending it.
func (s *Store) ask(ctx context.Context, address string, f *followed, timing Timing, request Request) (Response, error) {
	s.count(Relayed)
	askCtx, t := transfer.New(ctx, request.Wait+timing.slack, timing.stall())
	defer t.Close()
	request.Packs = true
	response, err := s.Ask(askCtx, address, request)
	err = transfer.Cause(askCtx, err)
	if s.OnTransfer != nil {
		s.OnTransfer(request.Prefix, address, t, err)
	}
	if err != nil {
		return Response{}, err
	}
	if response.Age > timing.maxAge() {
		return Response{}, errors.Trace(StaleError{Prefix: request.Prefix, Age: response.Age})
	}
	if err := s.checkEra(ctx, timing, request.Prefix, response.Revision); err != nil {
		return Response{}, err
	}
	if response, err = unpack(&f.replica, response); err != nil {
		// The reader is sound, and a list is not based on this daemon's values.
		s.count(Mismatch)
		return Response{}, errors.Trace(kv.CompactedError{After: request.After})
	}
	s.resume(address)
	if response.FailureAge > 0 {
		at := time.Now().Add(-response.FailureAge)
		f.recordFailure(at)
		if s.OnFailure != nil {
			s.OnFailure(request.Prefix, at)
		}
	}
	return response, nil
}

// applyRelayed applies the changes of a reader's answer. Where the copies differ afterwards, or the answer removes a
// large part of the entries, it fails with kv.CompactedError, so that the caller lists the prefix again.
func (s *Store) applyRelayed(f *followed, after kv.Revision, response Response) ([]kv.Entry, kv.Revision, error) {
	removed := 0
	for _, entry := range response.Entries {
		if entry.Deleted() {
			removed++
		}
	}
	if known, _, _ := f.replica.state(); isSuspicious(removed, known) {
		s.count(Implausible)
		f.setConfirmed(false)
		f.setVerifyDirect(true)
		return nil, kv.Revision{}, errors.Trace(kv.CompactedError{After: after})
	}
	f.replica.ApplyChanges(response.Entries, response.Revision, time.Now().Add(-response.Age))
	_, own, _ := f.replica.state()
	comparable := response.Digest != 0 && own.Digest != 0 && own.Revision == response.Revision
	f.setConfirmed(comparable && own.Digest == response.Digest)
	if comparable && own.Digest != response.Digest {
		s.count(Mismatch)
		f.setVerifyDirect(true)
		return nil, kv.Revision{}, errors.Trace(kv.CompactedError{After: after})
	}
	return response.Entries, response.Revision, nil
}

func isSuspicious(removed, known int) bool {
	return removed >= minSuspiciousRemovals && removed > known/4
}

func (s *Store) watchDirect(
	ctx context.Context, prefix string, f *followed, timing Timing, after kv.Revision, wait time.Duration,
) ([]kv.Entry, kv.Revision, error) {
	s.count(Direct)
	changes, revision, err := s.Direct.Watch(ctx, prefix, after, wait)
	s.observeEra(revision, err)
	if err != nil {
		if ctx.Err() == nil {
			f.recordError(err)
		}
		return nil, kv.Revision{}, err
	}
	if !revision.Before(after) {
		f.replica.ApplyChanges(changes, revision, time.Now())
	}
	if len(changes) > 0 {
		f.pauseUntil(time.Now().Add(timing.batchDelay))
	}
	return changes, revision, nil
}

// list implements kv.Store.List.
func (s *Store) list(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, error) {
	f, timing, known := s.state(prefix)
	if !known {
		return s.Direct.List(ctx, prefix)
	}
	ctx, end := f.measure(ctx)
	defer end()
	address := s.source(prefix, f)
	// A daemon that starts does not wait for a reader, which may have been lost or be starting, too.
	_, own, synced := f.replica.state()
	if f.takeVerifyDirect() || !synced {
		address = ""
	}
	if address != "" && f.isConfirmed() && own.Revision.Era() >= s.era() {
		s.count(Local)
		entries, header := f.replica.all()
		return entries, header.Revision, nil
	}
	if address != "" {
		entries, revision, err := s.listRelayed(ctx, prefix, f, timing, address)
		if err == nil {
			return entries, revision, nil
		}
		s.fallBack(address, err)
	}
	return s.listDirect(ctx, prefix, f, timing)
}

func (s *Store) listDirect(ctx context.Context, prefix string, f *followed, timing Timing) ([]kv.Entry, kv.Revision, error) {
	s.count(Direct)
	entries, revision, err := s.Direct.List(ctx, prefix)
	s.observeEra(revision, err)
	if err != nil {
		f.recordError(err)
		return nil, kv.Revision{}, err
	}
	f.replica.ApplyList(entries, revision, time.Now())
	pause := timing.batchDelay
	if prefix != s.MembersPrefix {
		// After a start, the changes of the list of daemons arrive first, so that the next call can go to a reader.
		pause += timing.slack / 2
	}
	f.pauseUntil(time.Now().Add(pause))
	return entries, revision, nil
}

// listRelayed reads all pages from a reader. Like those of the key-value service, they are not a snapshot, so it returns
// the revision of the first one.
func (s *Store) listRelayed(
	ctx context.Context, prefix string, f *followed, timing Timing, address string,
) ([]kv.Entry, kv.Revision, error) {
	var entries []kv.Entry
	var first Response
	request := Request{Prefix: prefix, Full: true, After: kv.NewRevision(s.era(), 0)}
	for {
		response, err := s.ask(ctx, address, f, timing, request)
		if err != nil {
			return nil, kv.Revision{}, err
		}
		if request.AfterKey == "" {
			first = response
		}
		if !response.Revision.SameEra(first.Revision) {
			return nil, kv.Revision{}, errors.Trace(kv.EraEndedError{Era: first.Revision.Era(), Current: response.Revision.Era()})
		}
		entries = append(entries, response.Entries...)
		if !response.HasMore || len(response.Entries) == 0 {
			break
		}
		request.AfterKey = response.Entries[len(response.Entries)-1].Key()
	}
	known, own, _ := f.replica.state()
	if first.Revision.Before(own.Revision) {
		return nil, kv.Revision{}, errors.Trace(kv.OldRevisionError{Want: own.Revision, Got: first.Revision})
	}
	if removed := known - len(entries); isSuspicious(removed, known) {
		s.count(Implausible)
		return nil, kv.Revision{}, errors.Trace(ImplausibleError{Prefix: prefix, Removed: removed, Known: known})
	}
	f.replica.ApplyList(entries, first.Revision, time.Now().Add(-first.Age))
	return entries, first.Revision, nil
}
