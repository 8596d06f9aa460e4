package bench

import (
	"fmt"
	"net/http"
	"sync/atomic"

	"radishhollow/core/route"
	"radishhollow/standin"
)

// Second octet of the first address in 127.0.0.0/8 of the fake peers and endpoints.
const (
	peerBlock     = 10
	endpointBlock = 20
)

// endpointIncarnation is as long as a real incarnation, so that messages have realistic sizes.
const endpointIncarnation = "6f1c2a58-6c1e-4c5e-9f0b-0123456789ab"

// generateListings returns an instance list that is spread evenly over the places. Every 25th endpoint is a service
// runner; the others serve the models in turn.
func generateListings(endpoints, models, places int, port uint16) []route.Listing {
	list := make([]route.Listing, 0, endpoints)
	for i := range endpoints {
		row := route.Listing{
			Address: fakeAddress(endpointBlock, i, port), Incarnation: endpointIncarnation,
			Place: placeName(i % places), Kind: route.KindModel, Name: modelName(i / places % models),
		}
		if i%25 == 24 {
			row.Kind, row.Name = route.KindService, "booking"
		}
		list = append(list, row)
	}
	return list
}

func toInstances(list []route.Listing) []standin.Instance {
	rows := make([]standin.Instance, 0, len(list))
	for _, l := range list {
		rows = append(rows, standin.Instance{
			Address: l.Address, Incarnation: l.Incarnation, Place: l.Place, Kind: string(l.Kind), Name: l.Name, State: "live",
		})
	}
	return rows
}

// fakeEndpoint returns a handler that serves load reports and empty cache events.
func fakeEndpoint(l route.Listing) http.Handler {
	var sequence atomic.Int64
	report := `{"incarnation":%q,"state":"ready","place":%q,"sequence":%d,"running":3,"waiting":0,"slots":16,` +
		`"cache-blocks-used":1500,"cache-blocks":2048,"waiting-prefill-tokens":0,"prefill-rate":8000,"token-gap-ms":20.5,` +
		`"role":"mixed","fence":7,"models":[{"name":%q,"version":"1","adapters":[]}]}`
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Endpoint-Incarnation", l.Incarnation)
		w.Header().Set("Endpoint-State", "ready")
		w.Header().Set("Content-Type", "application/json")
		if r.URL.Path == "/v1/cache-events" {
			_, _ = fmt.Fprint(w, `{"events":[],"next":0}`)
			return
		}
		_, _ = fmt.Fprintf(w, report, l.Incarnation, l.Place, sequence.Add(1), l.Name)
	})
}
