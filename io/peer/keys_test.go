package peer

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
	"radishhollow/io/peer/rpc"
	"radishhollow/io/telemetry"
)

// Guards against signatures that are valid for a different domain, call or content, or with a key that was removed.
func TestKeysVerify(t *testing.T) {
	sender, receiver := &Keys{}, &Keys{}
	require.Empty(t, sender.sign("question /x", "n", []byte("b")))
	require.True(t, receiver.verify("", "question /x", "n", []byte("b")), "without keys everything is accepted")
	sender.Set([][]byte{[]byte("new"), []byte("old")})
	receiver.Set([][]byte{[]byte("old"), []byte("new")})
	signature := sender.sign("question /x", "n", []byte("b"))
	for _, tt := range []struct {
		name, signature, domain, nonce, body string
		ok                                   bool
	}{
		{"equal", signature, "question /x", "n", "b", true},
		{"other domain", signature, "answer /x", "n", "b", false},
		{"other call", signature, "question /x", "m", "b", false},
		{"other content", signature, "question /x", "n", "c", false},
		{"parts moved", signature, "question /", "xn", "b", false},
		{"none", "", "question /x", "n", "b", false},
		{"not base64", "!", "question /x", "n", "b", false},
		{"cut", signature[:4], "question /x", "n", "b", false},
	} {
		require.Equal(t, tt.ok, receiver.verify(tt.signature, tt.domain, tt.nonce, []byte(tt.body)), tt.name)
	}
	receiver.Set([][]byte{[]byte("old")})
	require.False(t, receiver.verify(signature, "question /x", "n", []byte("b")), "a signature with a removed key")
}

// Guards against a process without a key on the same network that changes a daemon's table or configuration.
func TestExchangeAcceptsOnlySignedViews(t *testing.T) {
	peer, outsider := newDaemon(t), newDaemon(t)
	peer.Keys.Set([][]byte{[]byte("k")})
	outsider.Keys.Set([][]byte{[]byte("guessed")})
	outsider.Table.Mark("127.0.0.9:1", "7", true)
	offer(t, outsider, document(9, "forged"))
	offer(t, peer, document(1, "liberia"))

	outsider.exchanger.exchange(t.Context(), peer.Address)
	_, marked := peer.Table.Marked("127.0.0.9:1", "7")
	require.False(t, marked)
	require.Empty(t, peer.Table.Peers())
	require.EqualValues(t, 1, peer.Metrics.Value(telemetry.Exchanges, "unsigned"))

	peer.exchanger.exchange(t.Context(), outsider.Address)
	require.Empty(t, peer.Table.Peers())
	require.EqualValues(t, 1, peer.Metrics.Value(telemetry.Exchanges, "failed"))
	peer.exchanger.fetch(t.Context(), outsider.Address)
	require.EqualValues(t, 1, peer.Store.Current().Revision(), "a forged configuration must not come into force")
	_, _, known := peer.exchanger.Instances(t.Context(), kv.Revision{})
	require.False(t, known)
}

// Guards against keys that cannot be rotated while daemons run: at each step all daemons accept each other's
// signatures.
func TestKeysChangeWithoutRestart(t *testing.T) {
	a, b := newDaemon(t), newDaemon(t)
	oldKey, newKey := []byte("old"), []byte("new")
	steps := [][][]byte{{oldKey}, {oldKey, newKey}, {newKey, oldKey}, {newKey}}
	for i := range steps[1:] {
		a.Keys.Set(steps[i+1])
		b.Keys.Set(steps[i])
		a.exchanger.exchange(t.Context(), b.Address)
		b.exchanger.exchange(t.Context(), a.Address)
	}
	for _, d := range []*daemon{a, b} {
		require.EqualValues(t, len(steps)-1, d.Metrics.Value(telemetry.Exchanges, "ok"))
		require.Zero(t, d.Metrics.Value(telemetry.Exchanges, "unsigned"))
	}
}

// Guards against a daemon that starts without a key while the key-value service is unavailable and never receives a
// configuration.
func TestDaemonWithoutKeyCatchesUp(t *testing.T) {
	old := newDaemon(t)
	old.Keys.Set([][]byte{[]byte("k")})
	offer(t, old, document(4, "liberia"))
	fresh := newDaemon(t, old.Address)
	fresh.start(t)
	require.Eventually(t, func() bool { return fresh.Store.Current().Revision() == 4 }, 5*time.Second, 10*time.Millisecond)
	require.Empty(t, old.Table.Peers())
}

// Guards against a request whose body is read beyond the maximum size before its signature is verified.
func TestSigningHandlerLimitsRequestSize(t *testing.T) {
	d := newDaemon(t)
	_, err := rpc.NewPeerProtobufClient("http://"+d.Address, http.DefaultClient).Exchange(t.Context(), &rpc.View{
		Address: d.Address, Digest: string(make([]byte, maxRequestBytes)),
	})
	require.Error(t, err)
}

// Guards against daemons that start together and create different keys, and against keys that are never rotated or that
// sign before all daemons know them.
func TestDaemonsShareKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeKV()
		var nodes []*Node
		for i := range 5 {
			node, stop := startRegistrar(f, "127.0.0.1:"+strconv.Itoa(i+1), func(r *Registrar) { r.ShareKeys = true })
			defer stop()
			nodes = append(nodes, node)
		}
		time.Sleep(2 * time.Minute)
		first := nodes[0].Keys.all()
		require.Len(t, first, 2)
		for _, node := range nodes {
			require.Equal(t, first, node.Keys.all())
			require.Len(t, node.Table.Addresses(), len(nodes)-1, "the entry of the keys must not be listed as a daemon")
		}
		f.setDown(true)
		time.Sleep(keyRotationInterval / 2)
		require.Equal(t, first, nodes[0].Keys.all(), "an outage must not change the keys")
		f.setDown(false)
		time.Sleep(keyRotationInterval/2 + 10*time.Minute)
		next := nodes[0].Keys.all()
		require.Len(t, next, 3)
		require.Equal(t, first[1], next[0], "the signing key must have been the next key before")
		require.Equal(t, first[0], next[2], "the previous signing key must still be accepted")
		for _, node := range nodes {
			require.Equal(t, next, node.Keys.all())
		}
	})
}
