package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
)

// Guards against another writer's large entry, written again and again, that fills the memory of the readers through
// the changes that they keep for followers.
func TestReplicaBoundsTheMemoryOfChanges(t *testing.T) {
	var r Replica
	r.ApplyList(nil, kv.NewRevision(0, 1), time.Now())
	value := make([]byte, 1<<20)
	for i := range uint64(200) {
		revision := kv.NewRevision(0, i+2)
		r.ApplyChanges([]kv.Entry{kv.NewEntry("servers/odd", value, revision, false)}, revision, time.Now())
	}
	size := 0
	for _, change := range r.changes {
		size += len(change.Key()) + len(change.Value())
	}
	require.LessOrEqual(t, size, 16<<20)
	_, _, err := r.changesAfter(kv.NewRevision(0, 1))
	_, compacted := errors.AsType[kv.CompactedError](err)
	require.True(t, compacted, "a follower that is behind lists again")
	response, _, err := r.changesAfter(kv.NewRevision(0, 200))
	require.NoError(t, err)
	require.Len(t, response.Entries, 1)
}

// Guards against an answer that is larger than a follower accepts, after thousands of entries with long keys were removed.
func TestChangesWithLongKeysFitIntoAnAnswer(t *testing.T) {
	var r Replica
	var entries []kv.Entry
	for i := range 12_000 {
		entries = append(entries, kv.NewEntry(fmt.Sprintf("servers/%s-%d", strings.Repeat("x", 180), i), []byte("x"), kv.NewRevision(0, uint64(i+1)), false))
	}
	r.ApplyList(entries, kv.NewRevision(0, 12_000), time.Now())
	r.ApplyList(nil, kv.NewRevision(0, 12_001), time.Now())
	response, _, err := r.changesAfter(kv.NewRevision(0, 12_000))
	size := 0
	for _, change := range response.Entries {
		size += len(change.Key())
	}
	require.True(t, err != nil || size <= maxPageBytes, "%d bytes", size)
}
