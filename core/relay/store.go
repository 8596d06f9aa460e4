// Package relay lets most daemons follow the key-value service through a few readers among them, so that the number of
// calls to it does not grow with the fleet.
package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/clock"
	"radishhollow/core/kv"
)

const (
	// maxPageBytes is the size of the values in one answer, unless a single value is larger.
	maxPageBytes = 512 << 10
	// minSuspension is the time for which a reader is not asked after a failed call. It doubles with each further one, up
	// to maxSuspension, because a lost reader stays listed until its lease expires.
	minSuspension = 2 * time.Second
	maxSuspension = 16 * time.Second
	// startWait limits the wait of the first lists for the list of daemons, from which a daemon that starts learns its
	// readers. It takes one call to the key-value service.
	startWait = 60 * time.Millisecond
	// startCheck is the interval of the checks during startWait.
	startCheck = 5 * time.Millisecond
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
	// Mismatch is a reader's answer whose digest differs, Implausible one that removes a large part of the entries.
	Mismatch    = "mismatch"
	Implausible = "implausible"
)

// Request asks a reader for the changes under a prefix after a revision, or for a page of all entries.
type Request struct {
	Prefix string
	After  uint64
	// Full asks for the entries whose keys follow AfterKey instead of changes.
	Full     bool
	AfterKey string
	// Wait is the longest time that the reader waits for changes.
	Wait time.Duration
}

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
	// Count counts events. It may be nil.
	Count func(event string)

	mu        sync.Mutex
	followed  map[string]*followed
	suspended map[string]suspended
}

// suspended is a reader that is not asked until a time, after failed calls in a row.
type suspended struct {
	until    time.Time
	duration time.Duration
}

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

// source returns the reader to ask, or an empty string if this daemon must call the key-value service.
func (s *Store) source(prefix string, f *followed) string {
	peers := s.Peers()
	chosen := readers(prefix, append(slices.Clone(peers), s.Self))
	f.mu.Lock()
	asked := !f.askedAt.IsZero() && time.Since(f.askedAt) < askedTTL
	reads := asked || slices.Contains(chosen, s.Self)
	changed := reads != f.reads
	f.reads = reads
	f.mu.Unlock()
	if changed && s.OnRole != nil {
		s.OnRole(prefix, reads)
	}
	if reads {
		return ""
	}
	// Each follower has its own order, so that the readers share the load.
	sortByHash(s.Self+prefix, chosen)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range chosen {
		if time.Now().After(s.suspended[address].until) {
			return address
		}
	}
	return ""
}

func (s *Store) suspend(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspended == nil {
		s.suspended = map[string]suspended{}
	}
	duration := max(minSuspension, min(2*s.suspended[address].duration, maxSuspension))
	s.suspended[address] = suspended{until: time.Now().Add(duration), duration: duration}
}

// resume ends the suspension of a reader that has answered.
func (s *Store) resume(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.suspended, address)
}

func (s *Store) count(event string) {
	if s.Count != nil {
		s.Count(event)
	}
}

// watch implements kv.Store.Watch.
func (s *Store) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kv.Entry, uint64, error) {
	f, timing, known := s.state(prefix)
	if !known {
		return s.Direct.Watch(ctx, prefix, after, wait)
	}
	wait = min(wait, timing.pollWait)
	address, err := s.awaitSource(ctx, prefix, f)
	if err != nil {
		return nil, 0, err
	}
	if address != "" {
		response, err := s.ask(ctx, address, f, timing, Request{Prefix: prefix, After: after, Wait: wait})
		if err == nil && response.Revision < after {
			err = kv.OldRevisionError{Want: after, Got: response.Revision}
		}
		if err == nil {
			return s.applyRelayed(f, after, response)
		}
		// The daemon's own copy is not known to be current any more, so the next list must not be answered from it.
		f.setConfirmed(false)
		if _, compacted := errors.AsType[kv.CompactedError](err); compacted {
			return nil, 0, err
		}
		s.suspend(address)
		s.count(Fallback)
		// The call only has to show what the reader may have withheld. Then another reader is asked.
		wait = min(wait, timing.slack/8)
	}
	return s.watchDirect(ctx, prefix, f, timing, after, wait)
}

// ask calls a reader, and rejects an answer that is too old. The call is given up when a sound reader would have
// answered.
func (s *Store) ask(ctx context.Context, address string, f *followed, timing Timing, request Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Wait+timing.slack)
	defer cancel()
	s.count(Relayed)
	response, err := s.Ask(ctx, address, request)
	if err != nil {
		return Response{}, err
	}
	if response.Age > timing.maxAge() {
		return Response{}, errors.Trace(StaleError{Prefix: request.Prefix, Age: response.Age})
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
func (s *Store) applyRelayed(f *followed, after uint64, response Response) ([]kv.Entry, uint64, error) {
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
		return nil, 0, errors.Trace(kv.CompactedError{After: after})
	}
	f.replica.ApplyChanges(response.Entries, response.Revision, time.Now().Add(-response.Age))
	_, own, _ := f.replica.state()
	comparable := response.Digest != 0 && own.Digest != 0 && own.Revision == response.Revision
	f.setConfirmed(comparable && own.Digest == response.Digest)
	if comparable && own.Digest != response.Digest {
		s.count(Mismatch)
		f.setVerifyDirect(true)
		return nil, 0, errors.Trace(kv.CompactedError{After: after})
	}
	return response.Entries, response.Revision, nil
}

func isSuspicious(removed, known int) bool {
	return removed >= minSuspiciousRemovals && removed > known/4
}

func (s *Store) watchDirect(
	ctx context.Context, prefix string, f *followed, timing Timing, after uint64, wait time.Duration,
) ([]kv.Entry, uint64, error) {
	s.count(Direct)
	changes, revision, err := s.Direct.Watch(ctx, prefix, after, wait)
	if err != nil {
		f.recordError(err)
		return nil, 0, err
	}
	if revision >= after {
		f.replica.ApplyChanges(changes, revision, time.Now())
	}
	if len(changes) > 0 {
		f.pauseUntil(time.Now().Add(timing.batchDelay))
	}
	return changes, revision, nil
}

// list implements kv.Store.List.
func (s *Store) list(ctx context.Context, prefix string) ([]kv.Entry, uint64, error) {
	f, timing, known := s.state(prefix)
	if !known {
		return s.Direct.List(ctx, prefix)
	}
	if err := s.awaitPeers(ctx, prefix, f); err != nil {
		return nil, 0, err
	}
	address := s.source(prefix, f)
	if f.takeVerifyDirect() {
		address = ""
	}
	if address != "" && f.isConfirmed() {
		s.count(Local)
		entries, revision := f.replica.all()
		return entries, revision, nil
	}
	if address != "" {
		entries, revision, err := s.listRelayed(ctx, prefix, f, timing, address)
		if err == nil {
			return entries, revision, nil
		}
		s.suspend(address)
		s.count(Fallback)
	}
	s.count(Direct)
	entries, revision, err := s.Direct.List(ctx, prefix)
	if err != nil {
		f.recordError(err)
		return nil, 0, err
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

// awaitPeers delays the first list of a daemon that starts until it knows the other daemons, for at most startWait.
func (s *Store) awaitPeers(ctx context.Context, prefix string, f *followed) error {
	if _, _, synced := f.replica.state(); synced || prefix == s.MembersPrefix {
		return nil
	}
	for start := time.Now(); len(s.Peers()) == 0 && time.Since(start) < startWait; {
		if err := clock.Sleep(ctx, startCheck); err != nil {
			return err
		}
	}
	return nil
}

// awaitSource returns the reader to ask, or an empty string once this daemon may call the key-value service again.
func (s *Store) awaitSource(ctx context.Context, prefix string, f *followed) (string, error) {
	if address := s.source(prefix, f); address != "" {
		return address, nil
	}
	if err := f.awaitBatch(ctx); err != nil {
		return "", err
	}
	// The daemon may have learned of readers during the pause.
	return s.source(prefix, f), nil
}

// listRelayed reads all pages from a reader. Like those of the key-value service, they are not a snapshot, so it returns
// the revision of the first one.
func (s *Store) listRelayed(
	ctx context.Context, prefix string, f *followed, timing Timing, address string,
) ([]kv.Entry, uint64, error) {
	var entries []kv.Entry
	var first Response
	request := Request{Prefix: prefix, Full: true}
	for {
		response, err := s.ask(ctx, address, f, timing, request)
		if err != nil {
			return nil, 0, err
		}
		if request.AfterKey == "" {
			first = response
		}
		entries = append(entries, response.Entries...)
		if !response.HasMore || len(response.Entries) == 0 {
			break
		}
		request.AfterKey = response.Entries[len(response.Entries)-1].Key()
	}
	known, own, _ := f.replica.state()
	if first.Revision < own.Revision {
		return nil, 0, errors.Trace(kv.OldRevisionError{Want: own.Revision, Got: first.Revision})
	}
	if removed := known - len(entries); isSuspicious(removed, known) {
		s.count(Implausible)
		return nil, 0, errors.Trace(ImplausibleError{Prefix: prefix, Removed: removed, Known: known})
	}
	f.replica.ApplyList(entries, first.Revision, time.Now().Add(-first.Age))
	return entries, first.Revision, nil
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

// recordError records a failed call to the key-value service. A CompactedError is a response.
func (f *followed) recordError(err error) {
	f.setConfirmed(false)
	if _, compacted := errors.AsType[kv.CompactedError](err); !compacted {
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
