package daemon

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"radishhollow/core/route"
	"radishhollow/io/service"
	"radishhollow/platform"
)

// Guards against a load report that broke off and is taken for the report of an idle engine, and against one whose query is
// sent again.
func TestBrokenLoadReportIsNoReport(t *testing.T) {
	const report = `{"active":4,"queued":9}`
	for name, whole := range map[string]string{
		"length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: %d\r\n\r\n%s", len(report), report),
		"chunks":  fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(report), report),
		"neither": "HTTP/1.1 200 OK\r\nA: b\r\n\r\n" + report,
	} {
		t.Run(name, func(t *testing.T) {
			var length, calls atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, whole[:length.Load()])
				_ = conn.Close()
			}))
			defer server.Close()
			address := server.Listener.Addr().String()
			for k := range whole {
				table, refresh := newLoadTable(t, address)
				length.Store(int64(len(whole)))
				refresh()
				require.Zero(t, picksOf(t, table, address), "the engine is busy")
				length.Store(int64(k))
				calls.Store(0)
				refresh()
				require.EqualValues(t, 1, calls.Load())
				require.Zero(t, picksOf(t, table, address), "%q", whole[:k])
			}
		})
	}
}

// newLoadTable returns a table with the engine at an address and another one, and a function that queries the load of the
// former.
func newLoadTable(t *testing.T, address string) (table *route.Table, refresh func()) {
	t.Helper()
	policy := route.DefaultPolicy()
	policy.SampleSize, policy.QueriedLoadTTL, policy.UnreachableTTL = 0, time.Minute, time.Minute
	table = route.New("d", policy)
	table.Sync([]route.Listing{
		{Address: address, Incarnation: "1", Kind: route.KindModel, Name: "m", Slots: 4},
		{Address: "10.0.0.9:1", Incarnation: "2", Kind: route.KindModel, Name: "m", Slots: 4},
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	client := service.New(time.Second, time.Minute)
	t.Cleanup(func() { _ = client.Close() })
	client.Check = platform.Format().Check
	query := loadRefresher(table, client, newTestAnnouncements(table), log)
	return table, func() {
		query(t.Context(), address)
		// The next query is to use a new connection.
		require.NoError(t, client.Close())
	}
}

// picksOf returns how many of a few requests go to the address.
func picksOf(t *testing.T, table *route.Table, address string) int {
	t.Helper()
	picked := 0
	for range 10 {
		choice, err := table.Pick(t.Context(), route.Criteria{Kind: route.KindModel, Name: "m"})
		require.NoError(t, err)
		if choice.Address() == address {
			picked++
		}
		choice.Release()
	}
	return picked
}
