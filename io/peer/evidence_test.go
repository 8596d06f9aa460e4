package peer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"radishhollow/core/member"
	"radishhollow/core/quarantine"
	"radishhollow/io/peer/rpc"
)

// Guards against an age that shrinks in transfer, so that evidence never expires, and against a part that changes.
func TestEvidenceKeepsItsAgesOnTheWire(t *testing.T) {
	v := member.View{Address: "127.0.0.1:1", Evidence: quarantine.Evidence{
		Ends: []quarantine.End{
			{Endpoint: "i-1", Parts: []quarantine.Part{1, 1<<64 - 1}, Age: time.Second},
			{Endpoint: "i-2", Parts: []quarantine.Part{}, Age: time.Minute},
		},
		Clearances: []quarantine.Clearance{{Part: 7, Age: time.Hour}},
	}}
	got := fromWire(toWire(v))
	require.Equal(t, time.Second+time.Millisecond, got.Evidence.Ends[0].Age)
	require.Equal(t, time.Hour+time.Millisecond, got.Evidence.Clearances[0].Age)
	got.Evidence.Ends[0].Age, got.Evidence.Ends[1].Age, got.Evidence.Clearances[0].Age = time.Second, time.Minute, time.Hour
	require.Equal(t, v, got)
}

// Guards against a view of an older version, which has no evidence, that is refused or changes what is known, and against
// a version that refuses fields of a later one.
func TestViewsOfOtherVersions(t *testing.T) {
	d := newDaemon(t)
	d.MergeEvidence = func(quarantine.Evidence) { t.Error("a view without evidence must not be merged") }
	server := &Server{Node: d.Node, OnNewerRevision: d.exchanger.EnqueueFetch}
	older := &rpc.View{Address: "127.0.0.1:1", Incarnation: "1"}
	_, err := server.Exchange(context.WithValue(t.Context(), signedContextKey{}, true), older)
	require.NoError(t, err)
	require.Len(t, d.Table.Peers(), 1)

	data, err := proto.Marshal(older)
	require.NoError(t, err)
	data = protowire.AppendBytes(protowire.AppendTag(data, 1000, protowire.BytesType), []byte("later"))
	var later rpc.View
	require.NoError(t, proto.Unmarshal(data, &later))
	require.True(t, isValidView(&later))
	require.Equal(t, fromWire(older), fromWire(&later))
}

// Guards against evidence that stays with the daemons that saw an end, so that each daemon needs several ends of its own,
// and against evidence that takes longer than 2 s to reach a fleet.
func TestEvidenceReachesAFleetByExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		registers := make([]*quarantine.Register, fleetSize)
		exchangers := make([]*Exchanger, fleetSize)
		for i := range registers {
			var node *Node
			node, exchangers[i] = n.addNode(i, "10.0.0.1:1", "10.0.0.2:1")
			registers[i] = &quarantine.Register{
				Self: node.Address, Peers: node.Table.Addresses, OnEvidence: exchangers[i].TriggerExchange,
			}
			node.Evidence, node.MergeEvidence = registers[i].Evidence, registers[i].Merge
		}
		defer runAll(exchangers...)()
		time.Sleep(20 * time.Second)
		for i := range 4 {
			registers[9*i].RecordEnd(fmt.Sprintf("i-%d", i), []quarantine.Part{3, quarantine.Part(10 + i)})
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(1500 * time.Millisecond)
		for i, r := range registers {
			require.Error(t, r.Admit([]quarantine.Part{3}), i)
			require.NoError(t, r.Admit([]quarantine.Part{11}), i)
		}
	})
}

// Guards against evidence from a process that has none of the daemons' keys.
func TestUnsignedEvidenceIsIgnored(t *testing.T) {
	d, stranger := newDaemon(t), newDaemon(t)
	d.Keys.Set([][]byte{[]byte("k")})
	d.MergeEvidence = func(quarantine.Evidence) { t.Error("unsigned evidence must not be merged") }
	stranger.Evidence = func(int, int) quarantine.Evidence {
		return quarantine.Evidence{Ends: []quarantine.End{{Endpoint: "i-1", Parts: []quarantine.Part{3}}}}
	}
	stranger.exchanger.exchange(t.Context(), d.Address)
}

// Guards against a view that exceeds the bytes planned for control traffic because ends have many parts.
func TestSentEvidenceIsBounded(t *testing.T) {
	d := newDaemon(t)
	withoutEvidence := proto.Size(toWire(d.view()))
	parts := make([]quarantine.Part, 24)
	for i := range parts {
		parts[i] = quarantine.Part(i)
	}
	d.Evidence = func(maxEnds, maxClearances int) quarantine.Evidence {
		var e quarantine.Evidence
		for i := range maxEnds {
			// Every second end has only a few parts.
			e.Ends = append(e.Ends, quarantine.End{
				Endpoint: fmt.Sprintf("i-%08x", i), Parts: parts[:24-22*(i%2)], Age: 10 * time.Minute,
			})
		}
		for i := range maxClearances {
			e.Clearances = append(e.Clearances, quarantine.Clearance{Part: quarantine.Part(i), Age: 10 * time.Minute})
		}
		return e
	}
	v := d.view()
	require.Len(t, v.Evidence.Ends, 5, "the first end and those with few parts")
	require.Len(t, v.Evidence.Clearances, maxSentClearances)
	require.Less(t, proto.Size(toWire(v))-withoutEvidence, 600)

	first := limitParts([]quarantine.End{{Parts: make([]quarantine.Part, maxSentParts+1)}}, maxSentParts)
	require.Len(t, first, 1, "an end with too many parts is sent alone")
}

// Guards against a received view whose evidence is malformed or takes unbounded memory.
func TestMalformedEvidenceIsRefused(t *testing.T) {
	for name, view := range map[string]*rpc.View{
		"no endpoint":   {Ends: []*rpc.End{{Parts: []uint64{1}}}},
		"long endpoint": {Ends: []*rpc.End{{Endpoint: string(make([]byte, maxStringBytes+1))}}},
		"ends":          {Ends: make([]*rpc.End, maxReceivedItems+1)},
		"parts":         {Ends: []*rpc.End{{Endpoint: "i-1", Parts: make([]uint64, maxReceivedItems)}}},
		"clearances":    {Clearances: make([]*rpc.Clearance, maxReceivedItems+1)},
	} {
		view.Address = "127.0.0.1:1"
		require.False(t, isValidView(view), name)
	}
	require.True(t, isValidView(&rpc.View{Address: "127.0.0.1:1", Ends: []*rpc.End{{Endpoint: "i-1", Parts: make([]uint64, 64)}}}))
}
