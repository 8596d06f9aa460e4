package peer

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"radishhollow/core/kv"
	"radishhollow/core/member"
	"radishhollow/core/relay"
	"radishhollow/core/route"
	"radishhollow/io/peer/rpc"
)

// Guards against an era that is lost on the way of changes, so that a follower takes the changes of a restored store for
// those of the store's earlier history.
func TestChangesArriveWithTheirEra(t *testing.T) {
	n := newNetwork()
	reader, _ := n.addNode(1)
	_, follower := n.addNode(2)
	sent := relay.Response{
		Entries: []kv.Entry{
			kv.NewEntry("servers/a", []byte("x"), kv.NewRevision(4, 7), false), kv.NewEntry("servers/b", nil, kv.NewRevision(4, 8), true),
		},
		Revision: kv.NewRevision(4, 9),
	}
	var got relay.Request
	serveChanges(n, reader, func(_ context.Context, r relay.Request) (relay.Response, error) { got = r; return sent, nil })
	received, err := follower.Changes(t.Context(), reader.Address, relay.Request{After: kv.NewRevision(3, 12)})
	require.NoError(t, err)
	require.Equal(t, kv.NewRevision(3, 12), got.After)
	require.Equal(t, sent.Revision, received.Revision)
	require.Equal(t, sent.Entries, received.Entries)
}

// Guards against an era that is lost on the way of a view, so that a daemon takes the list of a restored store for an
// older one.
func TestViewsArriveWithTheirEra(t *testing.T) {
	sent := member.View{Address: "10.0.0.1:1", InstanceListRevision: kv.NewRevision(4, 9)}
	data, err := proto.Marshal(toWire(sent))
	require.NoError(t, err)
	var wire rpc.View
	require.NoError(t, proto.Unmarshal(data, &wire))
	require.Equal(t, sent.InstanceListRevision, fromWire(&wire).InstanceListRevision)
}

// Guards against an instance list that loses its era on the way, that answers a request for a later era, or whose
// registrations of an earlier era count as those of the current one.
func TestInstancesArriveWithTheirEra(t *testing.T) {
	n := newNetwork()
	holder, _ := n.addNode(1)
	_, asker := n.addNode(2, holder.Address)
	holder.Listings = func() ([]route.Listing, kv.Revision, bool) {
		return []route.Listing{
			{Address: "10.1.0.1:1", Incarnation: "a", Revision: kv.NewRevision(4, 7)},
			{Address: "10.1.0.2:1", Incarnation: "b", Revision: kv.NewRevision(3, 90)},
		}, kv.NewRevision(4, 9), true
	}
	list, revision, found := asker.Instances(t.Context(), kv.NewRevision(3, 100))
	require.True(t, found, "the list of a later era is newer, whatever its number")
	require.Equal(t, kv.NewRevision(4, 9), revision)
	require.Equal(t, kv.NewRevision(4, 7), list[0].Revision)
	require.Equal(t, kv.NewRevision(4, 0), list[1].Revision, "the registration has no revision in this era")
	_, _, found = asker.Instances(t.Context(), kv.NewRevision(5, 2))
	require.False(t, found)
}

// Guards against a daemon of a build without eras that makes another one go back, and against one that fails because of
// a newer one: without the fields, revisions are those of era 0, and a list of it is not taken for a newer one.
func TestMessagesWithoutErasCountAsEraZero(t *testing.T) {
	require.Equal(t, kv.NewRevision(0, 900), fromWire(&rpc.View{Listing: 900}).InstanceListRevision)

	n := newNetwork()
	node, exchanger := n.addNode(1)
	node.Listings = func() ([]route.Listing, kv.Revision, bool) { return nil, kv.NewRevision(4, 9), true }
	list, err := exchanger.client(node.Address).Instances(t.Context(), &rpc.InstancesRequest{After: 900})
	require.NoError(t, err)
	require.EqualValues(t, 9, list.GetRevision(), "a list of the current era is newer than any of era 0")

	var got relay.Request
	serveChanges(n, node, func(_ context.Context, r relay.Request) (relay.Response, error) {
		got = r
		return relay.Response{}, relay.OtherEraError{Want: r.After.Era(), Got: 4}
	})
	_, err = exchanger.Changes(t.Context(), node.Address, relay.Request{After: kv.NewRevision(0, 900)})
	_, compacted := errors.AsType[kv.CompactedError](err)
	require.False(t, compacted, "such a daemon would list the reader after each call")
	require.Error(t, err)
	require.Equal(t, kv.NewRevision(0, 900), got.After)
}

// peerWithoutEras answers like a daemon of a build without eras, at revision 900.
type peerWithoutEras struct{ rpc.Peer }

func (p peerWithoutEras) Instances(context.Context, *rpc.InstancesRequest) (*rpc.InstanceList, error) {
	return &rpc.InstanceList{Revision: 900}, nil
}

func (p peerWithoutEras) Changes(context.Context, *rpc.ChangesRequest) (*rpc.ChangeList, error) {
	return &rpc.ChangeList{Entries: []*rpc.Entry{{Key: "servers/a", Revision: 900}}, Revision: 900}, nil
}

// Guards against the answers of a daemon of a build without eras, whose higher numbers belong to an earlier history of
// the store: its list must not be taken, and another peer must be asked.
func TestAnswersWithoutErasAreNotTakenForNewerOnes(t *testing.T) {
	n := newNetwork()
	old, _ := n.addNode(1)
	holder, _ := n.addNode(2)
	_, asker := n.addNode(3, old.Address, holder.Address)
	n.mu.Lock()
	n.handlers[old.Address] = signingHandler(rpc.NewPeerServer(peerWithoutEras{}), &old.Keys)
	n.mu.Unlock()
	holder.Listings = func() ([]route.Listing, kv.Revision, bool) { return nil, kv.NewRevision(4, 9), true }
	for range 20 {
		_, revision, found := asker.Instances(t.Context(), kv.NewRevision(4, 8))
		require.True(t, found)
		require.Equal(t, kv.NewRevision(4, 9), revision)
	}
	response, err := asker.Changes(t.Context(), old.Address, relay.Request{After: kv.NewRevision(4, 8), Wait: time.Second})
	require.NoError(t, err)
	require.True(t, response.Revision.Before(kv.NewRevision(4, 8)))
}
