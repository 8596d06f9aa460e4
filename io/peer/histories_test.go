package peer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
	"radishhollow/core/member"
	"radishhollow/core/version"
	"radishhollow/io/peer/rpc"
)

// Guards against a history that loses a field between daemons, and against one that no peer accepts and that spoils the view.
func TestHistoriesOnTheWire(t *testing.T) {
	sent := []version.Report{
		{History: version.History{Service: "s", Base: "v1", Others: []string{"v2", ""}, Era: 3}, Revision: kv.NewRevision(3, 9)},
		{History: version.History{Service: "t"}, Revision: kv.NewRevision(0, 1)},
	}
	invalid := version.Report{History: version.History{Service: string(make([]byte, 300))}, Revision: kv.NewRevision(0, 1)}
	w := toWire(member.View{Address: "127.0.0.1:1", Histories: append(sent, invalid)})
	require.True(t, isValidView(w))
	require.Equal(t, sent, fromWire(w).Histories)
}

// Guards against a peer's message that fills the memory with versions, or that names no service or revision.
func TestInvalidHistoriesAreRejected(t *testing.T) {
	many := make([]*rpc.VersionHistory, maxReceivedItems+1)
	for i := range many {
		many[i] = &rpc.VersionHistory{Service: "s", Revision: 1}
	}
	for _, histories := range [][]*rpc.VersionHistory{
		{{Service: "s"}}, {{Revision: 1}}, {{Service: "s", Revision: 1, Base: string(make([]byte, 300))}},
		{{Service: "s", Revision: 1, Others: []string{string(make([]byte, 300))}}},
		{{Service: "s", Revision: 1, Others: make([]string, maxReceivedItems+1)}}, many,
	} {
		require.False(t, isValidView(&rpc.View{Address: "127.0.0.1:1", Histories: histories}))
	}
}
