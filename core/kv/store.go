// Package kv describes the platform's key-value service as function fields that decisions call.
package kv

import (
	"context"
	"time"
)

// Store is the set of calls to the key-value service. Fields are set before use and are safe for concurrent calls.
// Every call may fail with UnavailableError, whose Written method tells whether a write may have taken effect.
type Store struct {
	// Get returns the entry at key, or NotFoundError.
	Get func(ctx context.Context, key string) (Entry, error)
	// Put writes value if the key's revision is ifRevision (0 creates), else returns ConflictError.
	// The entry is deleted when lease ends; an empty lease keeps it.
	Put func(ctx context.Context, key string, value []byte, ifRevision uint64, lease string) (uint64, error)
	// Delete removes the key if its revision is ifRevision, else returns ConflictError.
	Delete func(ctx context.Context, key string, ifRevision uint64) error
	// List returns all entries below prefix and the store's revision.
	List func(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Watch waits up to wait for changes below prefix after the given revision.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error)
	// Grant creates a lease.
	Grant func(ctx context.Context, ttl time.Duration) (string, error)
	// Renew extends a lease by its time to live, or returns LeaseLostError.
	Renew func(ctx context.Context, lease string) error
	// Revoke ends a lease and deletes its entries.
	Revoke func(ctx context.Context, lease string) error
}
