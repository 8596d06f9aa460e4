package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"radishhollow/core/clock"
	"radishhollow/core/guard"
	"radishhollow/core/kv"
	"radishhollow/core/member"
	"radishhollow/core/route"
	"radishhollow/io/peer"
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
	// peerListThreshold is the time after which a daemon asks its peers for a newer list. It counts from the store's
	// last response if a call has failed since, or from the time at which a peer got ahead, which also shows a watch
	// that hangs without an error. It is longer than the batch delay of package relay, within which a change reaches the watches of all
	// daemons.
	peerListThreshold = 700 * time.Millisecond
	// peerListInterval is the interval between two such requests.
	peerListInterval = 300 * time.Millisecond
	// expiryInterval is the interval at which overdue registrations are removed.
	expiryInterval = 100 * time.Millisecond
)

// endpointList keeps the instance list of a daemon with settings.InterfaceForward, which consists of the endpoints'
// registrations in the store, and copies it to the routing table. During an outage of the store, it keeps the last list
// and asks peers that still reach the store for a newer one.
type endpointList struct {
	follower  *kv.Follower
	parse     func(entry kv.Entry) (route.Listing, error)
	peers     *peer.Exchanger
	table     *route.Table
	isolation *member.IsolationDetector
	log       *logrus.Logger
	// own holds the addresses of this daemon, which are never those of endpoints.
	own ownAddresses

	// mu guards the fields below. Callers of newestByAddress, add, handleDeletion and drop must hold it.
	mu sync.Mutex
	// registrations holds the registrations by their key in the store.
	registrations map[string]route.Listing
	// missingSince holds, by key, the time at which the store reported a deletion that an outage may have caused. The
	// registration is kept for reregistrationGrace after that.
	missingSince map[string]time.Time
	// revision is the store's revision at the last full read that was not empty or the last watch with changes, or that
	// of a list taken from a peer, whichever is the highest. A full read raises it even without a change of the list.
	revision kv.Revision
	// synced is set once the list has been read from the store or from a peer.
	synced bool
	// peerRevision is the highest revision reported by a peer, and peerAheadSince the time since which it exceeds
	// revision.
	peerRevision   kv.Revision
	peerAheadSince time.Time
	lastResponse   time.Time
	lastFailure    time.Time
	// newerAtPeer is set if a list has been taken from a peer since the store's last response, also without an outage.
	// It is taken to mean that the store served other daemons, so that no registration expired because of an outage.
	// Only apply resets it, after it has handled the deletions in the store's response.
	newerAtPeer bool
}

// Run follows the store until ctx ends.
func (l *endpointList) Run(ctx context.Context) error {
	// The error of the follower is that of its context, which guard.Run returns, too.
	return guard.Run(ctx, l.runPeerFetch, l.runExpiry, func(ctx context.Context) { _ = l.follower.Run(ctx) })
}

// Listings returns the list for peers and its revision, and false if there is no list yet. It omits registrations that
// are kept only to give their endpoints time to register again: a peer would not know that and would keep them
// indefinitely.
func (l *endpointList) Listings() ([]route.Listing, kv.Revision, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newestByAddress(false), l.revision, l.synced
}

// listRevision returns the revision of the list and the time since the store's last response.
func (l *endpointList) listRevision() (revision kv.Revision, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision, time.Since(l.lastResponse)
}

// newestByAddress returns the newest registration of each address. The registration of a crashed endpoint exists for
// some seconds beside that of its successor at the same address.
func (l *endpointList) newestByAddress(includeMissing bool) []route.Listing {
	newest := make(map[string]route.Listing, len(l.registrations))
	for key, registration := range l.registrations {
		if _, missing := l.missingSince[key]; missing && !includeMissing {
			continue
		}
		if other, taken := newest[registration.Address]; !taken || registration.Revision.After(other.Revision) {
			newest[registration.Address] = registration
		}
	}
	return slices.Collect(maps.Values(newest))
}

// apply applies a full read of the store or the changes of a watch, also if its revision is lower than that of a list
// taken from a peer. An empty full read leaves the revision and removes all registrations, except those that
// handleDeletion keeps for a time.
func (l *endpointList) apply(entries []kv.Entry, revision kv.Revision, full bool) {
	l.isolation.RecordContact()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.lastFailure.IsZero() && l.lastResponse.Before(l.lastFailure) {
		l.log.WithField("revision", revision.String()).Info("store answers again")
	}
	l.lastResponse, l.synced = now, true
	if len(entries) > 0 {
		l.revision = kv.Latest(revision, l.revision)
	}
	seen := map[string]bool{}
	for _, entry := range entries {
		seen[entry.Key()] = true
		if entry.Deleted() {
			l.handleDeletion(entry.Key(), now)
			continue
		}
		l.add(entry)
	}
	if full {
		for key := range l.registrations {
			if !seen[key] {
				l.handleDeletion(key, now)
			}
		}
	}
	l.newerAtPeer = false
	l.table.Sync(l.newestByAddress(true))
}

func (l *endpointList) add(entry kv.Entry) {
	registration, err := l.parse(entry)
	if err == nil {
		err = l.own.check(registration)
	}
	if err != nil {
		// The key has no valid registration any more, so its endpoint is removed.
		l.log.WithField("key", entry.Key()).WithError(err).Warn("registration is malformed")
		delete(l.registrations, entry.Key())
		return
	}
	if old, known := l.registrations[entry.Key()]; !known || old.Leaving != registration.Leaving || old.Address != registration.Address {
		l.log.WithFields(logrus.Fields{
			"endpoint": registration.Incarnation, "address": registration.Address, "service": registration.Name, "leaving": registration.Leaving,
			"revision": entry.Revision().String(),
		}).Info("endpoint registered")
	}
	l.registrations[entry.Key()] = registration
	delete(l.missingSince, entry.Key())
}

// handleDeletion drops a registration that was deleted in the store. During an outage and shortly after it, the
// registration may have expired although its endpoint is alive. It is then kept until the endpoint has had time to
// register again.
func (l *endpointList) handleDeletion(key string, now time.Time) {
	registration, known := l.registrations[key]
	if !known {
		return
	}
	if !l.lastFailure.IsZero() && now.Sub(l.lastFailure) < postOutageWindow && !registration.Leaving && !l.newerAtPeer {
		if _, missing := l.missingSince[key]; !missing {
			l.missingSince[key] = now
		}
		return
	}
	l.drop(key)
}

func (l *endpointList) drop(key string) {
	l.log.WithFields(logrus.Fields{"endpoint": l.registrations[key].Incarnation, "revision": l.revision.String()}).Info("endpoint gone")
	delete(l.registrations, key)
	delete(l.missingSince, key)
}

func (l *endpointList) runExpiry(ctx context.Context) {
	for clock.Sleep(ctx, expiryInterval) == nil {
		l.dropOverdue()
	}
}

// dropOverdue removes the registrations that have been missing for reregistrationGrace.
func (l *endpointList) dropOverdue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	overdue := false
	for key, since := range l.missingSince {
		if time.Since(since) >= reregistrationGrace {
			l.drop(key)
			overdue = true
		}
	}
	if overdue {
		l.table.Sync(l.newestByAddress(true))
	}
}

// recordFailure records any failed call to the store, also one with an unexpected status or an old revision. A
// CompactedError is a response and does not count.
func (l *endpointList) recordFailure(err error) {
	if _, compacted := errors.AsType[kv.CompactedError](err); compacted {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastResponse.After(l.lastFailure) || l.lastFailure.IsZero() {
		l.log.WithError(err).Warn("store does not answer; keeping the last list")
	}
	l.lastFailure = time.Now()
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
	}
}

// runPeerFetch asks peers for a newer list while this daemon has none, gets no response from the store after a failed
// call, or is behind a peer.
func (l *endpointList) runPeerFetch(ctx context.Context) {
	for clock.Sleep(ctx, peerListInterval) == nil {
		l.mu.Lock()
		outage := l.lastFailure.After(l.lastResponse) && time.Since(l.lastResponse) > peerListThreshold
		behind := l.peerRevision.After(l.revision) && time.Since(l.peerAheadSince) > peerListThreshold
		stale, minRevision := outage || behind, l.revision.Next()
		if !l.synced {
			stale, minRevision = true, kv.Revision{}
		}
		l.mu.Unlock()
		if !stale {
			continue
		}
		if registrations, revision, found := l.peers.Instances(ctx, minRevision); found {
			l.replaceFromPeer(registrations, revision)
		}
	}
}

// recordPeerRevision records the revision of a peer's list. It shows that this daemon is behind if its watch stays
// silent indefinitely although the store serves other daemons.
func (l *endpointList) recordPeerRevision(revision kv.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision.After(l.revision) && !l.peerRevision.After(l.revision) {
		l.peerAheadSince = time.Now()
	}
	l.peerRevision = kv.Latest(revision, l.peerRevision)
}

// replaceFromPeer replaces the list with a newer one from a peer. Registrations that the peer's list lacks are removed
// at once, also those kept for reregistrationGrace.
func (l *endpointList) replaceFromPeer(registrations []route.Listing, revision kv.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.synced && !revision.After(l.revision) {
		return
	}
	l.registrations = make(map[string]route.Listing, len(registrations))
	for _, registration := range registrations {
		if l.own.check(registration) != nil {
			continue
		}
		// The parser takes the incarnation from the key, of which it is the part after the prefix.
		l.registrations[l.follower.Prefix+registration.Incarnation] = registration
	}
	clear(l.missingSince)
	l.revision, l.synced, l.newerAtPeer = revision, true, true
	l.table.Sync(l.newestByAddress(true))
	l.log.WithFields(logrus.Fields{"endpoints": len(registrations), "revision": revision.String()}).Info("endpoint list received from a peer")
}
