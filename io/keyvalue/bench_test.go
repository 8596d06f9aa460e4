package keyvalue_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"radishhollow/io/keyvalue"
	"radishhollow/standin"
)

// BenchmarkInstances reads a list of the planned 12,000 endpoints. The server only copies the encoded list.
func BenchmarkInstances(b *testing.B) {
	rows := make([]standin.Instance, 12000)
	for i := range rows {
		rows[i] = standin.Instance{
			Address: fmt.Sprintf("10.%d.%d.%d:7000", i/40000, i/200, i%200), Place: "dk-east-1", Kind: "model",
			Incarnation: "6f1c2a58-6c1e-4c5e-9f0b-0123456789ab", Name: "drafting", State: "live",
		}
	}
	data, err := json.Marshal(map[string]any{"sequence": 1, "instances": rows})
	if err != nil {
		b.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(data) }))
	defer server.Close()
	client := &keyvalue.Client{Address: server.Listener.Addr().String(), HTTP: keyvalue.NewHTTPClient()}
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		endpoints, _, err := client.Instances(b.Context())
		if err != nil || len(endpoints) != len(rows) {
			b.Fatal(err)
		}
	}
}
