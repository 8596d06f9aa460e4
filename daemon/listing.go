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
	"radishhollow/core/kv"
	"radishhollow/core/member"
	"radishhollow/core/route"
	"radishhollow/io/peer"
)

const (
	// outageMemory is the time after the last failed call in which the store may still serve what it lost in an outage.
	outageMemory = 3 * time.Second
	// returnGrace is the time that endpoints have to register again after an outage in which their entries ran out. Most
	// are back within 2 s; a longer grace would send work to endpoints that left just then for too long.
	returnGrace = 1500 * time.Millisecond
	// peerListAfter is the time for which the store may be silent, or a peer ahead, before a daemon asks its peers for a
	// newer list. A change reaches all watches within the pause between two of them.
	peerListAfter = 700 * time.Millisecond
	// peerListPause is the pause between questions.
	peerListPause = 300 * time.Millisecond
	// changePause is the pause between two watches. It is a quarter of the time within which a leaving endpoint must get
	// no new work.
	changePause = 500 * time.Millisecond
	// expireInterval is the interval at which overdue rows are dropped.
	expireInterval = 100 * time.Millisecond
)

// listing brings the endpoints that are registered in the store into the table. During an outage the last list stays,
// and peers that still reach the store help out.
type listing struct {
	follower *kv.Follower
	parse    func(entry kv.Entry) (route.Listing, error)
	peers    *peer.Exchanger
	table    *route.Table
	reach    *member.IsolationDetector
	log      *logrus.Logger

	mu      sync.Mutex
	rows    map[string]route.Listing
	missing map[string]time.Time
	// revision is that of the last change of the rows.
	revision uint64
	synced   bool
	// ahead is the highest revision that a peer has told, and aheadAt when it was first above revision.
	ahead   uint64
	aheadAt time.Time
	read    time.Time
	failed  time.Time
	// helped tells that a peer had a newer list in this outage: the store served others, so no entry ran out.
	helped bool
}

// Run follows the store until ctx ends.
func (l *listing) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { l.runPeers(ctx) })
	group.Go(func() { l.runExpire(ctx) })
	defer group.Wait()
	return l.follower.Run(ctx)
}

// Listings returns the list for peers. It has no rows that only wait for their endpoints' return: a peer would not know
// that they do, and keep them for good.
func (l *listing) Listings() ([]route.Listing, uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list(false), l.revision, l.synced
}

// version returns the revision of the list and the time since the store has last answered.
func (l *listing) version() (revision uint64, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision, time.Since(l.read)
}

// list returns one row for each address. A crashed endpoint's registration stays for some seconds beside that of its
// successor at the same address.
func (l *listing) list(missing bool) []route.Listing {
	newest := make(map[string]route.Listing, len(l.rows))
	for key, row := range l.rows {
		if _, waits := l.missing[key]; waits && !missing {
			continue
		}
		if other, taken := newest[row.Address]; !taken || row.Revision > other.Revision {
			newest[row.Address] = row
		}
	}
	return slices.Collect(maps.Values(newest))
}

// apply takes what the store says.
func (l *listing) apply(entries []kv.Entry, revision uint64, whole bool) {
	l.reach.RecordContact()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.failed.IsZero() && l.read.Before(l.failed) {
		l.log.WithField("revision", revision).Info("store answers again")
	}
	l.read, l.synced = now, true
	if len(entries) > 0 {
		l.revision = max(revision, l.revision)
	}
	seen := map[string]bool{}
	for _, entry := range entries {
		seen[entry.Key()] = true
		if entry.Deleted() {
			l.remove(entry.Key(), now)
			continue
		}
		l.put(entry)
	}
	if whole {
		for key := range l.rows {
			if !seen[key] {
				l.remove(key, now)
			}
		}
	}
	l.helped = false
	l.table.Sync(l.list(true))
}

func (l *listing) put(entry kv.Entry) {
	row, err := l.parse(entry)
	if err != nil {
		// An entry that can't be read names no endpoint.
		l.log.WithField("key", entry.Key()).WithError(err).Warn("registration is malformed")
		delete(l.rows, entry.Key())
		return
	}
	if old, known := l.rows[entry.Key()]; !known || old.Leaving != row.Leaving || old.Address != row.Address {
		l.log.WithFields(logrus.Fields{
			"endpoint": row.Incarnation, "address": row.Address, "service": row.Name, "leaving": row.Leaving,
			"revision": entry.Revision(),
		}).Info("endpoint registered")
	}
	l.rows[entry.Key()] = row
	delete(l.missing, entry.Key())
}

// remove drops a row. Around an outage the entry may have run out although its endpoint lives, so that it stays until
// the endpoint has had time to register again.
func (l *listing) remove(key string, now time.Time) {
	row, known := l.rows[key]
	if !known {
		return
	}
	if !l.failed.IsZero() && now.Sub(l.failed) < outageMemory && !row.Leaving && !l.helped {
		if _, waiting := l.missing[key]; !waiting {
			l.missing[key] = now
		}
		return
	}
	l.drop(key)
}

func (l *listing) drop(key string) {
	l.log.WithFields(logrus.Fields{"endpoint": l.rows[key].Incarnation, "revision": l.revision}).Info("endpoint gone")
	delete(l.rows, key)
	delete(l.missing, key)
}

func (l *listing) runExpire(ctx context.Context) {
	for clock.Sleep(ctx, expireInterval) == nil {
		l.expire()
	}
}

// expire drops the rows that are still missing after an outage.
func (l *listing) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	overdue := false
	for key, since := range l.missing {
		if time.Since(since) >= returnGrace {
			l.drop(key)
			overdue = true
		}
	}
	if overdue {
		l.table.Sync(l.list(true))
	}
}

// fail notes a call that the store did not answer.
func (l *listing) fail(err error) {
	if _, compacted := errors.AsType[kv.CompactedError](err); compacted {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.read.After(l.failed) || l.failed.IsZero() {
		l.log.WithError(err).Warn("store does not answer; keeping the last list")
	}
	l.failed = time.Now()
}

// runPeers asks peers for a newer list while this daemon does not reach the store.
func (l *listing) runPeers(ctx context.Context) {
	for clock.Sleep(ctx, peerListPause) == nil {
		l.mu.Lock()
		outage := l.failed.After(l.read) && time.Since(l.read) > peerListAfter
		behind := l.ahead > l.revision && time.Since(l.aheadAt) > peerListAfter
		stale, after := outage || behind, l.revision+1
		if !l.synced {
			stale, after = true, 0
		}
		l.mu.Unlock()
		if !stale {
			continue
		}
		if rows, revision, found := l.peers.Instances(ctx, after); found {
			l.adopt(rows, revision)
		}
	}
}

// heard notes the revision of a peer's list. A watch may be silent for good although the store serves others.
func (l *listing) heard(revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision > l.revision && l.ahead <= l.revision {
		l.aheadAt = time.Now()
	}
	l.ahead = max(revision, l.ahead)
}

// adopt takes a newer list from a peer.
func (l *listing) adopt(rows []route.Listing, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.synced && revision <= l.revision {
		return
	}
	l.rows = make(map[string]route.Listing, len(rows))
	for _, row := range rows {
		l.rows[l.follower.Prefix+row.Incarnation] = row
	}
	clear(l.missing)
	l.revision, l.synced, l.helped = revision, true, true
	l.table.Sync(l.list(true))
	l.log.WithFields(logrus.Fields{"endpoints": len(rows), "revision": revision}).Info("list of endpoints taken from a peer")
}
