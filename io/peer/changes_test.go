package peer

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
	"radishhollow/core/relay"
)

func serveChanges(n *network, node *Node, serve func(context.Context, relay.Request) (relay.Response, error)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[node.Address] = (&Server{Node: node, Serve: serve}).Handler()
}

// Guards against a field that is lost on the way, and against an age that shrinks by rounding.
func TestChangesArriveAsSent(t *testing.T) {
	n := newNetwork()
	reader, _ := n.addNode(1)
	_, follower := n.addNode(2)
	sent := relay.Response{
		Entries:  []kv.Entry{kv.NewEntry("servers/a", []byte{0, 255}, kv.NewRevision(0, 7), false), kv.NewEntry("servers/b", nil, kv.NewRevision(0, 8), true)},
		Revision: kv.NewRevision(0, 9), Digest: 1 << 63, Age: 3 * time.Microsecond, FailureAge: 5 * time.Second, HasMore: true,
	}
	var got relay.Request
	serveChanges(n, reader, func(_ context.Context, r relay.Request) (relay.Response, error) { got = r; return sent, nil })
	request := relay.Request{Prefix: "servers/", After: kv.NewRevision(0, 6), Full: true, AfterKey: "servers/", Wait: time.Second}
	received, err := follower.Changes(t.Context(), reader.Address, request)
	require.NoError(t, err)
	require.Equal(t, request, got)
	require.Greater(t, received.Age, sent.Age)
	require.Greater(t, received.FailureAge, sent.FailureAge)
	received.Age, received.FailureAge = sent.Age, sent.FailureAge
	require.Equal(t, sent, received)
}

// Guards against a follower that takes lost history for a failed reader, and the other way round.
func TestChangesKeepTheKindOfFailure(t *testing.T) {
	n := newNetwork()
	reader, _ := n.addNode(1)
	_, follower := n.addNode(2)
	for _, failure := range []error{kv.CompactedError{After: kv.NewRevision(0, 6)}, relay.StaleError{}, kv.OldRevisionError{}} {
		serveChanges(n, reader, func(context.Context, relay.Request) (relay.Response, error) {
			return relay.Response{}, errors.Trace(failure)
		})
		_, err := follower.Changes(t.Context(), reader.Address, relay.Request{After: kv.NewRevision(0, 6)})
		require.Error(t, err)
		_, want := failure.(kv.CompactedError) //nolint:errorlint // failure is not wrapped.
		_, compacted := errors.AsType[kv.CompactedError](err)
		require.Equal(t, want, compacted, "%T", failure)
	}
}

// Guards against peer keys that reach a process that has none, and against a reader without the deployment's key that
// is believed.
func TestChangesNeedSignatures(t *testing.T) {
	n := newNetwork()
	reader, _ := n.addNode(1)
	stranger, strangerExchanger := n.addNode(2)
	serveChanges(n, reader, func(context.Context, relay.Request) (relay.Response, error) {
		return relay.Response{Revision: kv.NewRevision(0, 4)}, nil
	})
	serveChanges(n, stranger, func(context.Context, relay.Request) (relay.Response, error) {
		return relay.Response{Revision: kv.NewRevision(0, 5)}, nil
	})
	reader.Keys.Set([][]byte{[]byte("0123456789abcdef0123456789abcdef")})
	_, err := strangerExchanger.Changes(t.Context(), reader.Address, relay.Request{})
	require.Error(t, err)

	member, memberExchanger := n.addNode(3)
	member.Keys.Set([][]byte{[]byte("0123456789abcdef0123456789abcdef")})
	_, err = memberExchanger.Changes(t.Context(), stranger.Address, relay.Request{})
	_, unsigned := errors.AsType[UnsignedError](err)
	require.True(t, unsigned, "%v", err)
	response, err := memberExchanger.Changes(t.Context(), reader.Address, relay.Request{})
	require.NoError(t, err)
	require.Equal(t, kv.NewRevision(0, 4), response.Revision)
}
