package daemon

import (
	"cmp"
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"radishhollow/core/clock"
	"radishhollow/core/kv"
	"radishhollow/core/route"
)

const (
	// peerListThreshold is the time after which a daemon asks its peers for a newer list. It counts from the store's
	// last response if a call has failed since, or from the time at which a peer got ahead, which also shows a watch
	// that hangs without an error. It is longer than the batch delay of package relay, within which a change reaches the
	// watches of all daemons.
	peerListThreshold = 700 * time.Millisecond
	// peerListInterval is the interval between two such requests.
	peerListInterval = 300 * time.Millisecond
)

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
	if l.isFalse(revision) {
		return
	}
	if revision.After(l.revision) && !l.peerRevision.After(l.revision) {
		l.peerAheadSince = time.Now()
	}
	if revision.Era() > l.peerRevision.Era() {
		l.peerEraSince = time.Now()
	}
	l.peerRevision = kv.Latest(revision, l.peerRevision)
}

// replaceFromPeer replaces the list with a newer one from a peer. A list of a later era is newer than all of earlier
// eras, whatever their numbers.
func (l *endpointList) replaceFromPeer(registrations []route.Listing, revision kv.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isFalse(revision) || l.synced && !revision.After(l.revision) {
		return
	}
	now := time.Now()
	newEra := l.beginEra(revision, now)
	l.revision, l.synced, l.newerAtPeer = revision, true, true
	seen := make(map[string]bool, len(registrations))
	for _, registration := range registrations {
		if l.own.check(registration) != nil {
			continue
		}
		// The parser takes the incarnation from the key, of which it is the part after the prefix.
		key := l.follower.Prefix + registration.Incarnation
		if known := l.registrations[key]; known.StartedAtMS == registration.StartedAtMS {
			// Peers do not pass on the sequence.
			registration.Sequence = max(registration.Sequence, known.Sequence)
			// Nor do peers of builds without roll-outs pass on the version.
			registration.Version = cmp.Or(registration.Version, known.Version)
		}
		seen[key] = l.merge(key, registration, revision.Era())
	}
	for key := range l.registrations {
		if !seen[key] {
			l.handleMissingAtPeer(key, now, newEra)
		}
	}
	l.updateTable()
	l.writeReport("peer")
	l.log.WithFields(logrus.Fields{"endpoints": len(registrations), "revision": revision.String()}).Info("endpoint list received from a peer")
}

// handleMissingAtPeer removes a registration that a peer's list lacks at once, also one that is kept because of an
// outage: the peer has followed the store meanwhile. Shortly after the store has come back from an older copy, the peer
// lacks what this copy lacks, and does not pass on what it keeps itself.
func (l *endpointList) handleMissingAtPeer(key string, now time.Time, newEra bool) {
	if now.Sub(l.eraBeganAt) < postOutageWindow {
		l.handleDeletion(key, now, newEra)
		return
	}
	l.drop(key)
}

// maxUnconfirmedEra is the time for which an era that only a peer has reported is taken for the current one. A daemon
// that reaches the store, or a reader that does, notices a new era with the next watch, after about half a second.
const maxUnconfirmedEra = postOutageWindow

// confirmEra reports whether the store's answer at a revision is to be applied. One of an earlier era than that of a
// peer's list is from a reader that has not noticed the new era yet, unless the store stays in the earlier era. Then the
// peer's era is false: without an end, this daemon would ignore the store from then on.
func (l *endpointList) confirmEra(revision kv.Revision, now time.Time) bool {
	switch {
	case revision.Era() >= l.revision.Era():
		if revision.Era() >= l.falseEra {
			l.falseEra = 0
		}
		if l.peerRevision.Era() > revision.Era() && now.Sub(l.peerEraSince) >= maxUnconfirmedEra {
			// The era was announced, but neither the store nor a peer has a list of it.
			l.dropPeerEra(revision, l.peerRevision.Era())
		}
		return true
	case now.Sub(l.eraBeganAt) < maxUnconfirmedEra:
		return false
	}
	l.dropPeerEra(revision, l.revision.Era())
	l.withheld, l.lacksChanges, l.revision = nil, true, kv.NewRevision(revision.Era(), 0)
	return true
}

// dropPeerEra ignores an era that a peer has reported until the store reaches it. The revision is that of the store.
func (l *endpointList) dropPeerEra(revision kv.Revision, era uint64) {
	l.log.WithFields(logrus.Fields{"revision": revision.String(), "era-of-peer": era}).Warn("store is not in the era that a peer has reported")
	l.falseEra, l.peerRevision = era, kv.Revision{}
}

// relistDue reports whether the list is to be read anew at once.
func (l *endpointList) relistDue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lacksChanges
}

// isFalse reports whether a peer's revision is of an era that the store has not reached, as it has shown.
func (l *endpointList) isFalse(revision kv.Revision) bool {
	return l.falseEra != 0 && revision.Era() >= l.falseEra
}
