package peer

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"slices"
	"time"

	"radishhollow/core/kv"
)

const (
	// sharedKeysKey is the key of the entry with the peer keys. It has the prefix of the registrations, so that one
	// watch returns changes of both.
	sharedKeysKey = MembersPrefix + "keys"
	// keyBytes is the size of a peer key, which is that of the SHA-256 digest.
	keyBytes = 32
	// keyRotationInterval is the time after which the next key becomes the signing key. A daemon that has had no
	// connection to the key-value service for less than this time already knows that key.
	keyRotationInterval = time.Hour
	// spreadTime is the time in which a write reaches all daemons. A daemon that checks more often, as while others start,
	// must not take this for a write that is missing.
	spreadTime = time.Second
	// maxSkippedDoublings is enough for a certain write among any number of daemons.
	maxSkippedDoublings = 30
)

// keysValue is the value at sharedKeysKey.
type keysValue struct {
	Keys [][]byte `json:"keys"`
}

// sharedKeys keeps the peer keys in the key-value service, for daemons whose settings have none. The list contains the
// signing key, the next one and, after the first rotation, the previous one. Any daemon may create or rotate them; of
// several concurrent writes the key-value service accepts one. It is used only by the goroutine of Registrar.runList.
type sharedKeys struct {
	store kv.Store
	keys  *Keys
	// revision is the revision of the last change, or zero if there are no keys. changedAt is the time at which this daemon
	// received that change.
	revision  kv.Revision
	changedAt time.Time
	current   [][]byte
	// era is that of the entry from which current comes.
	era uint64
	// former is the last signing key of an earlier era if the keys of the current one lack it. It stays accepted until
	// the next change, because peers that have not received the keys of this era still sign with it.
	former [][]byte
	// malformed is set while the entry holds no usable keys, or has been lost with the end of an era.
	malformed bool
	// skipped is the number of checks that found a write due since the last one of any daemon, and left it to others. It
	// counts one check, the one at skippedAt, for each spreadTime.
	skipped   int
	skippedAt time.Time
	// draw returns a random number from 0 up to n, without n.
	draw func(n int) int
}

// applyEntry applies the entry at sharedKeysKey. It ignores all other entries and older revisions.
func (s *sharedKeys) applyEntry(entry kv.Entry) {
	if entry.Key() != sharedKeysKey || entry.Revision().Before(s.revision) {
		return
	}
	keys, usable := decodeKeys(entry.Value())
	if !entry.Deleted() && !usable {
		// The last keys stay in use and are written again.
		s.revision, s.malformed = entry.Revision(), true
		return
	}
	s.skipped = 0
	if entry.Revision().After(s.revision) {
		s.changedAt = time.Now()
		s.former = s.formerKey(keys, entry.Revision().Era())
	}
	s.revision, s.current, s.era, s.malformed = entry.Revision(), keys, entry.Revision().Era(), false
	if entry.Deleted() {
		// The last keys stay in use until there are new ones.
		s.revision = kv.Revision{}
		return
	}
	s.keys.Set(slices.Concat(keys, s.former))
}

// formerKey returns the signing key that is replaced by keys of the given era, unless these contain it.
func (s *sharedKeys) formerKey(keys [][]byte, era uint64) [][]byte {
	if era == s.era || len(s.current) == 0 {
		return nil
	}
	signing := s.current[0]
	if slices.ContainsFunc(keys, func(key []byte) bool { return bytes.Equal(key, signing) }) {
		return nil
	}
	return [][]byte{signing}
}

// applyMissing applies a full list at a revision that has no entry of the keys. The last keys stay in use. If the entry
// was written after the copy from which the key-value service came back, they are written again: a daemon that starts
// would otherwise create other ones, which no peer knows. In that case applyMissing returns true and the entry's revision.
func (s *sharedKeys) applyMissing(revision kv.Revision) (before kv.Revision, lost bool) {
	if s.revision.IsZero() || !revision.After(s.revision) || revision.SameEra(s.revision) {
		return kv.Revision{}, false
	}
	before = s.revision
	s.revision, s.malformed = kv.Revision{}, true
	return before, true
}

// decodeKeys returns false for a value that another writer must have left.
func decodeKeys(raw []byte) (keys [][]byte, usable bool) {
	var value keysValue
	if json.Unmarshal(raw, &value) != nil || len(value.Keys) == 0 {
		return nil, false
	}
	for _, key := range value.Keys {
		if len(key) != keyBytes {
			return nil, false
		}
	}
	return value.Keys, true
}

// rotateIfDue creates the keys if there are none, writes lost ones again, and rotates them if they are old enough. The
// first check acts with a probability of 1/daemons, so that of all daemons that check at the same time about one writes.
// Each later check, after spreadTime, doubles it: while no daemon writes, the keys of those that run are unknown to a
// daemon that starts.
func (s *sharedKeys) rotateIfDue(ctx context.Context, daemons int) {
	keys := s.dueKeys()
	if keys == nil {
		return
	}
	if s.draw(max(daemons, 1)) >= 1<<min(s.skipped, maxSkippedDoublings) {
		if now := time.Now(); now.Sub(s.skippedAt) >= spreadTime {
			s.skipped, s.skippedAt = s.skipped+1, now
		}
		return
	}
	raw, err := json.Marshal(keysValue{Keys: keys})
	if err != nil {
		return
	}
	// The error is ignored: if another daemon wrote first, the watch returns its keys, and if the key-value service is
	// unavailable, a later call tries again.
	_, _ = s.store.Put(ctx, sharedKeysKey, raw, s.revision, kv.Lease{})
}

// dueKeys returns the keys that are to be written, or nil if the stored ones may stay.
func (s *sharedKeys) dueKeys() [][]byte {
	switch {
	case s.malformed && len(s.current) > 0:
		return s.current
	case s.revision.IsZero() || s.malformed:
		return [][]byte{newKey(), newKey()}
	case time.Since(s.changedAt) >= keyRotationInterval && len(s.current) > 1:
		return [][]byte{s.current[1], newKey(), s.current[0]}
	default:
		return nil
	}
}

func newKey() []byte {
	key := make([]byte, keyBytes)
	// rand.Read never returns an error.
	_, _ = rand.Read(key)
	return key
}
