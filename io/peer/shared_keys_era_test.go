package peer

import (
	"encoding/json"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
)

func shareKeys(r *Registrar) { r.ShareKeys = true }

// startKeySharers starts five daemons that share keys. They stop at the end of the test.
func startKeySharers(f *fakeKV) (nodes []*Node, stop func()) {
	var stops []func()
	for i := range 5 {
		node, stop := startRegistrar(f, "127.0.0.1:"+strconv.Itoa(i+1), shareKeys)
		nodes, stops = append(nodes, node), append(stops, stop)
	}
	return nodes, func() {
		for _, stop := range stops {
			stop()
		}
	}
}

func storedKeys(t *testing.T, f *fakeKV) [][]byte {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	var value keysValue
	if entry, found := f.items[sharedKeysKey]; found {
		require.NoError(t, json.Unmarshal(entry.Value(), &value))
	}
	return value.Keys
}

// requireMutualTrust checks that each daemon accepts what each other one signs.
func requireMutualTrust(t *testing.T, nodes []*Node) {
	t.Helper()
	for _, sender := range nodes {
		for _, receiver := range nodes {
			signature := sender.Keys.sign("call", "n", nil)
			require.True(t, receiver.Keys.verify(signature, "call", "n", nil), "%s does not believe %s", receiver.Address, sender.Address)
		}
	}
}

// Guards against keys that only the running daemons know, because the store has lost them: a daemon that starts would
// create other ones, and the two halves would not believe each other.
func TestSharedKeysAreWrittenAgain(t *testing.T) {
	for _, raise := range []uint64{0, 200} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeKV()
			empty := f.copy()
			nodes, stop := startKeySharers(f)
			defer stop()
			time.Sleep(time.Minute)
			first := nodes[0].Keys.all()
			require.Len(t, first, 2)
			f.restore(empty, raise)
			for range 300 {
				time.Sleep(100 * time.Millisecond)
				requireMutualTrust(t, nodes)
			}
			require.Equal(t, first, storedKeys(t, f))
			fresh, stopFresh := startRegistrar(f, "127.0.0.1:9", shareKeys)
			defer stopFresh()
			time.Sleep(10 * time.Second)
			require.Equal(t, first, fresh.Keys.all())
			for _, node := range nodes {
				require.Equal(t, first, node.Keys.all())
			}
		})
	}
}

// Guards against daemons that do not believe each other after a rotation in the seconds that the store has lost, one
// that is cut off from the store included.
func TestSharedKeysRotatedInTheLostSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeKV()
		nodes, stop := startKeySharers(f)
		defer stop()
		time.Sleep(time.Minute)
		restored, before := f.copy(), nodes[0].Keys.all()
		require.Eventually(t, func() bool { return len(storedKeys(t, f)) == 3 }, 2*keyRotationInterval, 100*time.Millisecond)
		time.Sleep(10 * time.Second)
		rotated := nodes[0].Keys.all()
		cutOff := &Node{Address: "cut off"}
		cutOff.Keys.Set(rotated)
		f.restore(restored, 0)
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			requireMutualTrust(t, append([]*Node{cutOff}, nodes...))
		}
		require.Equal(t, before, storedKeys(t, f))
	})
}

// Guards against two halves that do not believe each other because a daemon without keys was the first to write keys
// after the return of the store: the others switch to them one by one, and those that have switched must still believe
// those that have not.
func TestSharedKeysOfAnotherDaemonWinTheRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeKV()
		empty := f.copy()
		nodes, stop := startKeySharers(f)
		defer stop()
		time.Sleep(time.Minute)
		old := &Node{Address: "old keys"}
		old.Keys.Set(nodes[0].Keys.all())
		f.restore(empty, 0)
		raw, err := json.Marshal(keysValue{Keys: [][]byte{newKey(), newKey()}})
		require.NoError(t, err)
		_, err = f.put(t.Context(), sharedKeysKey, raw, kv.Revision{}, kv.Lease{})
		require.NoError(t, err)
		time.Sleep(10 * time.Second)
		signature := old.Keys.sign("call", "n", nil)
		for _, node := range nodes {
			require.Equal(t, storedKeys(t, f)[0], node.Keys.all()[0], "all sign with the stored key")
			require.True(t, node.Keys.verify(signature, "call", "n", nil))
		}
		requireMutualTrust(t, nodes)
		time.Sleep(keyRotationInterval + 10*time.Minute)
		for _, node := range nodes {
			require.False(t, node.Keys.verify(signature, "call", "n", nil), "the former key ends with the next rotation")
		}
	})
}
