// Package kv defines the interface to the platform's key-value service as a struct of functions, and keeps a copy of
// the entries under a prefix up to date.
package kv

import (
	"context"
	"time"
)

// Store holds the functions that call the key-value service. They must be set before use and be safe for concurrent
// calls. Every call may fail with UnavailableError, whose MayHaveTakenEffect field reports whether a write may have
// taken effect.
type Store struct {
	// Get returns the entry at key, or fails with NotFoundError.
	Get func(ctx context.Context, key string) (Entry, error)
	// Put writes value if the key's revision is ifRevision, and returns the key's new revision. It fails with
	// ConflictError or LeaseLostError. A zero ifRevision creates the key. The entry is deleted when lease ends; an entry
	// with a zero lease is kept.
	Put func(ctx context.Context, key string, value []byte, ifRevision Revision, lease Lease) (Revision, error)
	// PutAll writes up to 32 values by key, all or none, whatever the keys hold. It may fail with LeaseLostError. Only the
	// operators' platform has it.
	PutAll func(ctx context.Context, values map[string][]byte, lease Lease) error
	// Delete deletes the key if its revision is ifRevision, or fails with ConflictError or NotFoundError.
	Delete func(ctx context.Context, key string, ifRevision Revision) error
	// List returns all entries whose keys start with prefix, and the store's revision. The entries may already contain
	// later changes, which a watch from that revision returns again.
	List func(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Watch waits for up to the duration wait for changes under prefix after the given revision. It returns the changes,
	// if there are any, and the store's revision. It fails with CompactedError if the store does not have those changes,
	// or not that revision.
	Watch func(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error)
	// Grant creates a lease with the given time to live and returns its ID.
	Grant func(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease by its time to live, or fails with LeaseLostError.
	Renew func(ctx context.Context, lease Lease) error
	// Revoke ends a lease and deletes its entries, or fails with LeaseLostError.
	Revoke func(ctx context.Context, lease Lease) error
}
