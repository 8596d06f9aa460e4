package relay

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishhollow/core/kv"
	"radishhollow/core/pack"
)

// maxChanges is the number of changes that a Replica keeps. A follower polls about once a second, so this covers some
// seconds of changes of the planned 12,000 endpoints while each of them changes.
const maxChanges = 16384

// maxChangeBytes is the size of the kept changes. It covers the planned endpoints, whose registrations have about 300
// bytes, and bounds the memory that another writer's large entries take.
const maxChangeBytes = 8 << 20

// Replica is a copy of the entries under a prefix, with the recent changes in the order in which they were received. All
// of it is of one era of the key-value service. It is safe for concurrent use.
type Replica struct {
	mu      sync.Mutex
	entries map[string]kv.Entry
	changes []kv.Entry
	// changeBytes is the size of the keys and values in changes.
	changeBytes int
	// floor is the revision after which changes is complete.
	floor    kv.Revision
	revision kv.Revision
	// newest is the highest revision of an entry. It exceeds revision after a list whose later pages contain changes made
	// after the first one.
	newest kv.Revision
	// digest is the XOR of the digests of all entries, so that it can be updated with each change.
	digest      uint64
	synced      bool
	confirmedAt time.Time
	changed     chan struct{}
}

// ApplyChanges applies the changes of a watch that the key-value service confirmed at the given time. Changes of another
// era than that of the copy are ignored.
func (r *Replica) ApplyChanges(changes []kv.Entry, revision kv.Revision, confirmedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.synced && !revision.SameEra(r.revision) {
		return
	}
	for _, change := range changes {
		r.apply(change)
	}
	r.confirm(revision, confirmedAt)
}

// ApplyList replaces the entries with those of a list. Entries that the list lacks become deletions, unless the list
// begins a new era: no change leads from one era to the next, so followers must list the copy. A list of an earlier era
// is ignored.
func (r *Replica) ApplyList(entries []kv.Entry, revision kv.Revision, confirmedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.synced && revision.Era() < r.revision.Era() {
		return
	}
	if !r.synced || !revision.SameEra(r.revision) {
		r.reset(revision)
	}
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.Key()] = true
		r.apply(entry)
	}
	for key := range r.entries {
		if !listed[key] {
			r.apply(kv.NewEntry(key, nil, revision, true))
		}
	}
	r.synced = true
	r.confirm(revision, confirmedAt)
}

// reset drops the entries and changes of the earlier era. The copy then begins at the given revision.
func (r *Replica) reset(revision kv.Revision) {
	r.entries, r.changes, r.changeBytes = nil, nil, 0
	r.floor, r.revision, r.newest, r.digest = revision, revision, kv.Revision{}, 0
}

// apply applies one change, unless the entry is already known at that revision or a later one.
func (r *Replica) apply(change kv.Entry) {
	if r.entries == nil {
		r.entries = map[string]kv.Entry{}
	}
	old, known := r.entries[change.Key()]
	if known && !change.Revision().After(old.Revision()) && !change.Deleted() || !known && change.Deleted() {
		return
	}
	if known && change.Deleted() && change.Revision().Before(old.Revision()) {
		return
	}
	if known {
		r.digest ^= digestOf(old)
	}
	if change.Deleted() {
		delete(r.entries, change.Key())
	} else {
		r.entries[change.Key()] = change
		r.digest ^= digestOf(change)
		r.newest = kv.Latest(r.newest, change.Revision())
	}
	r.changes = append(r.changes, change)
	r.changeBytes += sizeOf(change)
	if len(r.changes) > maxChanges || r.changeBytes > maxChangeBytes {
		r.dropOldChanges()
	}
}

// dropOldChanges drops changes until half of both limits is free, so that it is rarely called.
func (r *Replica) dropOldChanges() {
	dropped := 0
	for len(r.changes)-dropped > maxChanges/2 || r.changeBytes > maxChangeBytes/2 {
		r.floor = kv.Latest(r.floor, r.changes[dropped].Revision())
		r.changeBytes -= sizeOf(r.changes[dropped])
		dropped++
	}
	r.changes = append([]kv.Entry(nil), r.changes[dropped:]...)
}

func sizeOf(entry kv.Entry) int { return len(entry.Key()) + len(entry.Value()) }

func (r *Replica) confirm(revision kv.Revision, at time.Time) {
	r.revision = kv.Latest(r.revision, revision)
	if at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// changesAfter returns the changes after a revision and a channel that is closed at the next confirmation. It fails
// with kv.CompactedError if the replica no longer has all of them, also after an earlier era, and with OtherEraError
// after a revision of a later era.
func (r *Replica) changesAfter(after kv.Revision) (Response, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	// A daemon of an earlier build sends no era and would list the copy again after each call, so it is refused.
	if after.Era() > r.revision.Era() || after.Era() == 0 && r.revision.Era() != 0 {
		return Response{}, nil, OtherEraError{Want: after.Era(), Got: r.revision.Era()}
	}
	if after.Before(r.floor) {
		return Response{}, nil, kv.CompactedError{After: after}
	}
	response := r.header()
	size := 0
	for _, change := range r.changes {
		if change.Revision().After(after) && !r.isSuperseded(change) {
			response.Entries = append(response.Entries, change)
			size += sizeOf(change)
		}
	}
	if size > maxPageBytes && len(response.Entries) > 1 {
		// A follower that is so far behind reads the list in pages.
		return Response{}, nil, kv.CompactedError{After: after}
	}
	return response, r.changed, nil
}

// isSuperseded reports whether a change of a large value is followed by another one of the same key. A follower needs the
// last of them alone.
func (r *Replica) isSuperseded(change kv.Entry) bool {
	return len(change.Value()) >= pack.MinBytes && r.entries[change.Key()].Revision() != change.Revision()
}

// entryAt returns the entry of a key as it was at a revision, and false if there was none or it is no longer known.
func (r *Replica) entryAt(key string, revision kv.Revision) (kv.Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, change := range slices.Backward(r.changes) {
		if change.Key() == key && !change.Revision().After(revision) {
			return change, !change.Deleted()
		}
	}
	return kv.Entry{}, false
}

// entry returns the entry of a key, and false if there is none.
func (r *Replica) entry(key string) (kv.Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, known := r.entries[key]
	return entry, known
}

func (r *Replica) header() Response {
	response := Response{Revision: r.revision, Age: time.Since(r.confirmedAt)}
	if !r.newest.After(r.revision) {
		response.Digest = r.digest
	}
	return response
}

// state returns the number of entries, the revision, the digest as in Response, and whether a list has been applied.
func (r *Replica) state() (count int, header Response, synced bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries), r.header(), r.synced
}

// era returns the era of the copy and a channel that is closed at the next confirmation.
func (r *Replica) era() (uint64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.revision.Era(), r.changed
}

// all returns all entries in no particular order, with the header of the state that they are from.
func (r *Replica) all() ([]kv.Entry, Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]kv.Entry, 0, len(r.entries))
	for _, entry := range r.entries {
		list = append(list, entry)
	}
	return list, r.header()
}

// digestOf includes the era, because the same key may have the same number in two eras. It leaves era 0 out, as the
// builds without eras do.
func digestOf(entry kv.Entry) uint64 {
	raw := binary.BigEndian.AppendUint64([]byte(entry.Key()+"\x00"), entry.Revision().Number())
	if era := entry.Revision().Era(); era != 0 {
		raw = binary.BigEndian.AppendUint64(raw, era)
	}
	return xxhash.Sum64(raw)
}
