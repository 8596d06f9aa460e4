package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"radishhollow/core/clock"
	"radishhollow/core/config"
	"radishhollow/core/guard"
	"radishhollow/core/kv"
	"radishhollow/core/member"
	"radishhollow/core/relay"
	"radishhollow/core/route"
	"radishhollow/core/version"
	"radishhollow/io/peer"
	"radishhollow/io/settings"
	"radishhollow/io/telemetry"
	"radishhollow/platform"
)

const (
	// postOutageWindow is the time after the last failed call during which the store may still report deletions caused
	// by an outage.
	postOutageWindow = 3 * time.Second
	// reregistrationGrace is the time for which a registration that may have expired in an outage is kept after this
	// daemon has applied its deletion, so that its endpoint can register again. Most are back within 2 s. With 2.5 s, an
	// endpoint that really left in an outage got work 2,037 ms after its registration was removed, beyond the limit of
	// 2 s.
	reregistrationGrace = 1500 * time.Millisecond
	// restoreGrace is the time for which a registration is kept that is missing in the first list of a new era: it was
	// written after the copy that the store came back from. The entries of endpoints that are alive are back about 2 s
	// after the store's return, and reach this daemon a little later. No one has reported that these endpoints left, so
	// the limit of reregistrationGrace does not apply.
	restoreGrace = 2500 * time.Millisecond
	// expiryInterval is the interval at which overdue registrations are removed and standstills detected.
	expiryInterval = 100 * time.Millisecond
)

// absence tells how long a registration is kept that the store lacks.
type absence struct {
	until time.Time
	// lost is set if the registration was written after the copy from which the store came back. Otherwise, its deletion
	// may be the effect of an outage.
	lost bool
}

// endpointList keeps the instance list of a daemon with settings.InterfaceForward, which consists of the endpoints'
// registrations in the store, and copies it to the routing table. During an outage of the store, it keeps the last list
// and asks peers that still reach the store for a newer one.
type endpointList struct {
	follower *kv.Follower
	parse    func(entry kv.Entry) (route.Listing, error)
	peers    *peer.Exchanger
	table    *route.Table
	// onSync is called after each change of the table, with mu held. It may be nil.
	onSync    func()
	isolation *member.IsolationDetector
	metrics   *telemetry.Metrics
	log       *logrus.Logger
	// own holds the addresses of this daemon, which are never those of endpoints.
	own ownAddresses
	// configs holds the configuration, whose services tell the registrations of endpoints from those of other writers.
	configs *config.Store
	// standstills tells when this daemon last stood still.
	standstills standstillDetector

	// mu guards the fields below. Callers of the methods currentByAddress, beginEra, applyEntries, add, merge, set,
	// handleDeletion, handleMissingAtPeer, deletionGrace, confirmEra, dropPeerEra, isDeparted, release, recordUnsettled,
	// writeReport, holdBack and drop must hold it.
	mu sync.Mutex
	// registrations holds the registrations by their key in the store.
	registrations map[string]route.Listing
	// missing holds, by key, the registrations that are kept for a time although the store lacks them.
	missing  map[string]absence
	departed departures
	// revision is the store's revision at the last full read that was not empty or began a new era, or at the last watch
	// with changes, or that of a list taken from a peer, whichever is the highest. A full read raises it even without a
	// change of the list.
	revision kv.Revision
	// eraBeganAt is the time at which this daemon first received a list of the era of revision, from the store or from a
	// peer. It is zero for the first era.
	eraBeganAt time.Time
	// eraSettlesAt is the time until which departures of earlier eras count against the lists of this one.
	eraSettlesAt time.Time
	// withheld holds, by key, the registrations of this era that are not used because their endpoints left before it.
	withheld map[string]route.Listing
	// report is set only while the first list of a new era is applied.
	report *eraReport
	// heldBack holds the IDs of the endpoints that have been held back in this era.
	heldBack map[string]bool
	// synced is set once the list has been read from the store or from a peer.
	synced bool
	// peerRevision is the highest revision reported by a peer, and peerAheadSince the time since which it exceeds
	// revision.
	peerRevision kv.Revision
	// peerEraSince is the time at which a peer first reported the era of peerRevision.
	peerEraSince time.Time
	// falseEra is an era that a peer reported and the store has not reached; 0 if there is none.
	falseEra       uint64
	peerAheadSince time.Time
	// lacksChanges is set if changes of a watch may have been ignored because of a false era.
	lacksChanges bool
	lastResponse time.Time
	lastFailure  time.Time
	// newerAtPeer is set if a list has been taken from a peer since the store's last response, also without an outage.
	// It is taken to mean that the store served other daemons, so that no registration expired because of an outage.
	// Only apply resets it, after it has handled the deletions in the store's response.
	newerAtPeer bool
}

func newEndpointList(
	s settings.Settings, store kv.Store, configs *config.Store, relayed *relay.Store, peers *peer.Exchanger, table *route.Table,
	rollouts *rollouts, versions *version.Register, isolation *member.IsolationDetector, m *telemetry.Metrics, log *logrus.Logger,
) *endpointList {
	l := &endpointList{
		parse: platform.DecodeListing, peers: peers, table: table, isolation: isolation, metrics: m, log: log,
		registrations: map[string]route.Listing{}, missing: map[string]absence{}, own: newOwnAddresses(s),
		configs: configs, onSync: func() { rollouts.evaluate(); versions.Observe() },
	}
	l.follower = &kv.Follower{
		Store: store, Prefix: platform.ListingPrefix, WatchWait: s.Timeouts.WatchWait.Duration,
		RelistInterval: s.Timeouts.InstancePoll.Duration,
		Apply:          l.apply, OnError: l.recordFailure, RelistDue: l.relistDue,
	}
	versions.Confirmed, versions.Refresh = l.isConfirmed, peers.TriggerExchange
	relayed.OnFailure = l.recordReaderFailure
	// Unlike the table's list, which newNode set, this list has a revision and omits endpoints kept after an outage. fx
	// constructs all components before the first OnStart, so the node does not serve yet.
	peers.Node.Listings, peers.Node.OnInstanceListRevision = l.Listings, l.recordPeerRevision
	return l
}

// Run follows the store until ctx ends.
func (l *endpointList) Run(ctx context.Context) error {
	// The error of the follower is that of its context, which guard.Run returns, too.
	return guard.Run(ctx, l.runPeerFetch, l.runExpiry, l.runConfigChanges, func(ctx context.Context) { _ = l.follower.Run(ctx) })
}

// Listings returns the list for peers and its revision, and false if there is no list yet. It omits registrations that
// are kept only to give their endpoints time to register again: a peer would not know that and would keep them
// indefinitely.
func (l *endpointList) Listings() ([]route.Listing, kv.Revision, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentByAddress(false), l.revision, l.synced
}

// listRevision returns the revision of the list and the time since the store's last response.
func (l *endpointList) listRevision() (revision kv.Revision, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision, time.Since(l.lastResponse)
}

// maxConfirmedAge is the age up to which the last news confirm the list. A version that has joined since is missed; a shorter
// age would send more taken-up streams to the store.
const maxConfirmedAge = 500 * time.Millisecond

// isConfirmed reports whether the list is known to be current: by the store, or by peers that have none newer, or because there
// are no peers. News that arrived while this daemon stood still are read after it, and look newer than they are.
func (l *endpointList) isConfirmed() bool {
	if age, known := l.standstills.age(); known && age < maxConfirmedAge {
		return false
	}
	l.mu.Lock()
	current, isNewest := time.Since(l.lastResponse) <= maxConfirmedAge, !l.peerRevision.After(l.revision)
	l.mu.Unlock()
	return current || isNewest && hasNews(l.peers.Node.Table, maxConfirmedAge)
}

// apply applies a full read of the store or the changes of a watch, also if its revision is lower than that of a list
// taken from a peer in the same era. What was read in an earlier era than that list is ignored for a while. An empty full
// read leaves the revision and removes all registrations, except those that handleDeletion keeps for a time.
func (l *endpointList) apply(entries []kv.Entry, revision kv.Revision, full bool) {
	l.isolation.RecordContact()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.confirmEra(revision, now) {
		return
	}
	if !l.lastFailure.IsZero() && l.lastResponse.Before(l.lastFailure) {
		l.log.WithField("revision", revision.String()).Info("store answers again")
	}
	l.lastResponse, l.synced = now, true
	newEra := l.beginEra(revision, now)
	if len(entries) > 0 || newEra {
		l.revision = kv.Latest(revision, l.revision)
	}
	if full {
		l.lacksChanges = false
		clear(l.withheld)
	}
	seen := l.applyEntries(entries, now, full)
	for key := range l.registrations {
		if full && !seen[key] {
			l.handleDeletion(key, now, newEra)
		}
	}
	l.newerAtPeer = false
	l.updateTable()
	l.writeReport("store")
}

func (l *endpointList) writeReport(source string) {
	l.report.write(l.revision, source, len(l.registrations), l.metrics, l.log)
	l.report = nil
}

// applyEntries applies the entries of a full read or changes, and returns the keys of those that are present.
func (l *endpointList) applyEntries(entries []kv.Entry, now time.Time, full bool) map[string]bool {
	seen := make(map[string]bool, len(entries))
	for _, entry := range entries {
		if entry.Deleted() {
			l.handleDeletion(entry.Key(), now, false)
			continue
		}
		seen[entry.Key()] = l.add(entry, full)
	}
	return seen
}

// add applies one entry and reports whether its endpoint is present.
func (l *endpointList) add(entry kv.Entry, full bool) bool {
	registration, err := l.parse(entry)
	if err == nil {
		err = l.own.check(registration)
	}
	if err != nil {
		// The key has no valid registration any more, so its endpoint is removed.
		l.log.WithField("key", entry.Key()).WithError(err).Warn("registration is malformed")
		delete(l.registrations, entry.Key())
		delete(l.missing, entry.Key())
		delete(l.withheld, entry.Key())
		return true
	}
	if full {
		return l.merge(entry.Key(), registration, entry.Revision().Era())
	}
	l.set(entry.Key(), registration)
	return true
}

// set applies a registration that the endpoint has written after the last known one.
func (l *endpointList) set(key string, registration route.Listing) {
	old, known := l.registrations[key]
	if !known || old.Leaving != registration.Leaving || old.Address != registration.Address {
		l.log.WithFields(logrus.Fields{
			"endpoint": registration.Incarnation, "address": registration.Address, "service": registration.Name, "leaving": registration.Leaving,
			"revision": registration.Revision.String(),
		}).Info("endpoint registered")
	}
	if known && old.StartedAtMS != registration.StartedAtMS {
		l.departed.record(key, old, l.revision.Era())
	}
	l.departed.forget(key, registration)
	l.registrations[key] = registration
	delete(l.missing, key)
	delete(l.withheld, key)
}

// handleDeletion drops a registration that was deleted in the store, or that the first list of a new era lacks. During
// an outage and shortly after it, the registration may have expired although its endpoint is alive, and in a new era it
// may have been written after the copy that the store came back from. It is then kept until the endpoint has had time to
// register again.
func (l *endpointList) handleDeletion(key string, now time.Time, newEra bool) {
	delete(l.withheld, key)
	registration, known := l.registrations[key]
	if !known {
		return
	}
	if grace := l.deletionGrace(registration, now, newEra); grace > 0 {
		if known, missing := l.missing[key]; !missing || newEra && known.lost {
			l.missing[key] = absence{until: now.Add(grace), lost: newEra}
			l.report.keep(registration.Incarnation)
		}
		return
	}
	l.drop(key)
}

// deletionGrace returns the time for which a missing registration is kept.
func (l *endpointList) deletionGrace(registration route.Listing, now time.Time, newEra bool) time.Duration {
	switch {
	case registration.Leaving:
		return 0
	case newEra:
		return restoreGrace
	case now.Sub(l.eraBeganAt) < postOutageWindow:
		// The outage may have been too short for a failed call of this daemon. A list taken from a peer says nothing
		// about it.
		return reregistrationGrace
	case !l.lastFailure.IsZero() && now.Sub(l.lastFailure) < postOutageWindow && !l.newerAtPeer:
		return reregistrationGrace
	}
	return 0
}

func (l *endpointList) drop(key string) {
	l.log.WithFields(logrus.Fields{"endpoint": l.registrations[key].Incarnation, "revision": l.revision.String()}).Info("endpoint gone")
	l.report.drop(l.registrations[key].Incarnation)
	l.departed.record(key, l.registrations[key], l.revision.Era())
	delete(l.registrations, key)
	delete(l.missing, key)
}

func (l *endpointList) runExpiry(ctx context.Context) {
	for clock.Sleep(ctx, expiryInterval) == nil {
		l.standstills.observe()
		l.dropOverdue()
	}
}

// dropOverdue removes the registrations that have been missing for too long, and uses those that are no longer withheld.
func (l *endpointList) dropOverdue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	overdue := l.release()
	for key, absent := range l.missing {
		switch {
		case absent.lost && l.lastFailure.After(l.lastResponse):
			// The store is away again, so the endpoint can't register.
			l.missing[key] = absence{until: time.Now().Add(restoreGrace), lost: true}
		case !time.Now().Before(absent.until):
			l.drop(key)
			overdue = true
		}
	}
	if overdue {
		l.updateTable()
	}
}

// recordFailure records any failed call to the store, also one with an unexpected status or an old revision. A
// CompactedError and an EraEndedError come from responses and do not count.
func (l *endpointList) recordFailure(err error) {
	_, compacted := errors.AsType[kv.CompactedError](err)
	_, ended := errors.AsType[kv.EraEndedError](err)
	if compacted || ended {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastResponse.After(l.lastFailure) || l.lastFailure.IsZero() {
		l.log.WithError(err).Warn("store does not answer; keeping the last list")
	}
	l.lastFailure = time.Now()
	l.recordUnsettled(l.lastFailure)
}

// recordReaderFailure records a failed call of the reader that the list comes from. Without it, this daemon would take
// the deletions of registrations that expired in an outage for those of endpoints that left.
func (l *endpointList) recordReaderFailure(prefix string, at time.Time) {
	if prefix != l.follower.Prefix {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.lastFailure) {
		l.lastFailure = at
		l.recordUnsettled(at)
	}
}
