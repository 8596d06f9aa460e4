package relay

import (
	"time"

	"radishhollow/core/kv"
)

// Request asks a reader for the changes under a prefix after a revision, or for a page of all entries.
type Request struct {
	Prefix string
	// After is the revision after which changes are wanted. Of a request for a page, only its era counts, which is the
	// latest that the follower knows.
	After kv.Revision
	// Full asks for the entries whose keys follow AfterKey instead of changes.
	Full     bool
	AfterKey string
	// Wait is the longest time that the reader waits for changes.
	Wait time.Duration
	// Packs states that the follower takes packed entries.
	Packs bool
}

// PackedEntry is an entry whose value is compressed by package pack.
type PackedEntry struct {
	Key      string
	Revision kv.Revision
	Data     []byte
	// Size and Digest are those of the value.
	Size   int
	Digest uint64
	// Base is the revision of the entry's value at the follower that the data is based on, or zero if there is none.
	Base       kv.Revision
	BaseDigest uint64
}

// Response is a reader's answer: the changes after a revision, or a page of all entries.
type Response struct {
	Entries []kv.Entry
	// Packed holds further entries, whose values are large.
	Packed []PackedEntry
	// Revision is of the same era as those of all entries.
	Revision kv.Revision
	// Digest is the digest of all entries at Revision, or 0 if it does not apply to exactly that revision.
	Digest uint64
	// Age is the time since the key-value service confirmed Revision.
	Age time.Duration
	// FailureAge is the time since the reader's last failed call to the key-value service, or 0 if none is known.
	FailureAge time.Duration
	// HasMore is set if a page of a list is not the last one.
	HasMore bool
}

// size returns the number of bytes of the keys and values in a response.
func (r Response) size() int {
	size := 0
	for _, entry := range r.Entries {
		size += sizeOf(entry)
	}
	for _, packed := range r.Packed {
		size += len(packed.Key) + len(packed.Data)
	}
	return size
}
