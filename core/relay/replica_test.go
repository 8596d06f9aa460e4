package relay

import (
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
	r.ApplyList(nil, 1, time.Now())
	value := make([]byte, 1<<20)
	for revision := range uint64(200) {
		r.ApplyChanges([]kv.Entry{kv.NewEntry("servers/odd", value, revision+2, false)}, revision+2, time.Now())
	}
	size := 0
	for _, change := range r.changes {
		size += len(change.Key()) + len(change.Value())
	}
	require.LessOrEqual(t, size, 16<<20)
	_, _, err := r.changesAfter(1)
	_, compacted := errors.AsType[kv.CompactedError](err)
	require.True(t, compacted, "a follower that is behind lists again")
	response, _, err := r.changesAfter(200)
	require.NoError(t, err)
	require.Len(t, response.Entries, 1)
}
