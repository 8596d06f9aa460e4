package peer

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
	"radishhollow/core/member"
)

func memberEntry(t *testing.T, address, incarnation, place string) kv.Entry {
	t.Helper()
	value, err := json.Marshal(memberRegistration{Address: address, Incarnation: incarnation, Place: place})
	require.NoError(t, err)
	return kv.NewEntry(MembersPrefix+address, value, kv.NewRevision(0, 2), false)
}

// Guards against a registration of another writer among those of the daemons that makes peers refuse the views of every
// daemon that has read it.
func TestOddMemberLeavesViewsValid(t *testing.T) {
	long := strings.Repeat("x", maxStringBytes+1)
	for name, odd := range map[string]kv.Entry{
		"long place":        memberEntry(t, "10.0.0.9:1", "7", long),
		"long incarnation":  memberEntry(t, "10.0.0.9:1", long, "a"),
		"no address":        memberEntry(t, "", "7", "a"),
		"unspecified":       memberEntry(t, "0.0.0.0:1", "7", "a"),
		"port out of range": kv.NewEntry(MembersPrefix+"10.0.0.9:1", []byte(`{"address":"10.0.0.9:99999","incarnation":"7"}`), kv.NewRevision(0, 2), false),
		"number too large":  kv.NewEntry(MembersPrefix+"10.0.0.9:1", []byte(`{"address":1e400}`), kv.NewRevision(0, 2), false),
		"nested deeply":     kv.NewEntry(MembersPrefix+"10.0.0.9:1", []byte(strings.Repeat("[", 100_000)), kv.NewRevision(0, 2), false),
		"not UTF-8":         kv.NewEntry(MembersPrefix+"10.0.0.9:1", []byte("{\"address\":\"10.0.0.9:1\",\"place\":\"\xff\"}"), kv.NewRevision(0, 2), false),
	} {
		n := newNetwork()
		node, _ := n.addNode(1)
		_, exchanger := n.addNode(2)
		members := map[string]member.Member{}
		registrar := &Registrar{Node: node}
		registrar.apply(members, []kv.Entry{odd, memberEntry(t, "10.0.0.8:1", "1", "a")})
		node.Table.SetListed(memberList(members))
		// Another daemon has heard the daemon at the odd registration's address.
		node.Table.MergeRequest(member.View{Address: "10.0.0.7:1", Incarnation: "1", Members: []member.Member{
			{Address: "10.0.0.9:1", Incarnation: "7", Age: time.Second},
		}})
		assert.Contains(t, node.Table.ListedAddresses(), "10.0.0.8:1", name)
		assert.True(t, isValidView(toWire(node.view())), name)
		exchanger.exchange(t.Context(), node.Address)
		assert.NotEmpty(t, exchanger.Node.Table.Peers(), name)
	}
}

// Guards against an odd value in place of the peer keys that daemons never replace. Without keys they refuse each
// other's calls for changes, and daemons with keys could not be reached by those that start later.
func TestOddPeerKeysAreReplaced(t *testing.T) {
	for name, value := range map[string]string{
		"not JSON": "\xff", "nested deeply": strings.Repeat("[", 100_000), "no keys": `{"keys":[]}`, "an empty key": `{"keys":["",""]}`,
		"keys of another type": `{"keys":7}`, "not base64": `{"keys":["?"]}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeKV()
				_, err := f.put(t.Context(), sharedKeysKey, []byte(value), kv.Revision{}, kv.Lease{})
				require.NoError(t, err)
				share := func(r *Registrar) { r.ShareKeys = true }
				first, stop := startRegistrar(f, "127.0.0.1:1", share)
				defer stop()
				time.Sleep(2 * time.Minute)
				keys := first.Keys.all()
				require.Len(t, keys, 2, "keys replace the odd value of the start")
				require.Len(t, keys[0], keyBytes)
				_, err = f.put(t.Context(), sharedKeysKey, []byte(value), f.items[sharedKeysKey].Revision(), kv.Lease{})
				require.NoError(t, err)
				time.Sleep(2 * time.Minute)
				require.Equal(t, keys, first.Keys.all(), "known keys stay in use")
				second, stopSecond := startRegistrar(f, "127.0.0.1:2", share)
				defer stopSecond()
				time.Sleep(2 * time.Minute)
				require.Equal(t, keys, second.Keys.all(), "known keys are written again")
			})
		})
	}
}
