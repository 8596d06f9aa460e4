package claim

import "testing"

// Guards against an entry of another writer that ends the recorder, or that passes for a recorded response.
func FuzzRecord(f *testing.F) {
	for _, data := range []string{
		`{"state":"finished","outcome":"ran","status":200,"body":"aGk="}`, `{"state":7}`, `{"header":{"a":["!"]}}`, `[]`, `null`, `{`, "",
	} {
		f.Add([]byte(data))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decode("key", data)
		if err != nil {
			return
		}
		if _, err := r.replay(); err == nil && r.State != stateFinished {
			t.Fatalf("%+v", r)
		}
		if _, err := r.encode(); err != nil {
			t.Fatal(err)
		}
	})
}
