package peer

import (
	"testing"

	"radishhollow/core/kv"
)

// Guards against an entry of another writer that leaves a daemon without keys, or with one that anybody can guess.
func FuzzSharedKeys(f *testing.F) {
	for _, value := range []string{`{"keys":[]}`, `{"keys":[""]}`, `{"keys":null}`, `{"keys":["AAAA"]}`, `[]`, "", `{"keys":7}`} {
		f.Add([]byte(value), false)
	}
	f.Fuzz(func(t *testing.T, value []byte, deleted bool) {
		keys := Keys{}
		own := [][]byte{newKey(), newKey()}
		keys.Set(own)
		shared := sharedKeys{keys: &keys, current: own, revision: kv.NewRevision(1, 1)}
		shared.applyEntry(kv.NewEntry(sharedKeysKey, value, kv.NewRevision(1, 2), deleted))
		if len(keys.all()) == 0 {
			t.Fatal("no keys")
		}
		for _, key := range keys.all() {
			if len(key) != keyBytes {
				t.Fatalf("key of %d bytes", len(key))
			}
		}
	})
}
