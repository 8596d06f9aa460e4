package daemon

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"radishhollow/core/route"
	"radishhollow/io/service"
	"radishhollow/platform"
)

// Guards against a refusal in place of a load report that is taken for the report of an idle engine.
func TestRefusedLoadQueryIsNoReport(t *testing.T) {
	status, body := http.StatusOK, `{"active":4,"queued":9}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, body)
	}))
	defer server.Close()
	busy, idle := server.Listener.Addr().String(), "10.0.0.9:1"
	policy := route.DefaultPolicy()
	policy.SampleSize, policy.QueriedLoadTTL, policy.UnreachableTTL = 0, time.Minute, time.Minute
	table := route.New("d", policy)
	table.Sync([]route.Listing{
		{Address: busy, Incarnation: "1", Kind: route.KindModel, Name: "m", Slots: 4},
		{Address: idle, Incarnation: "2", Kind: route.KindModel, Name: "m", Slots: 4},
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	client := service.New(time.Second, time.Minute)
	defer func() { _ = client.Close() }()
	client.Check = platform.Format().Check
	refresh := loadRefresher(table, client, newTestAnnouncements(table), log)
	picks := func() (atBusy int) {
		for range 40 {
			choice, err := table.Pick(t.Context(), route.Criteria{Kind: route.KindModel, Name: "m"})
			require.NoError(t, err)
			if choice.Address() == busy {
				atBusy++
			}
			choice.Release()
		}
		return atBusy
	}
	refresh(t.Context(), busy)
	require.Zero(t, picks())
	for _, status = range []int{429, 503, 421, 400, 500, 200} {
		body = `{}`
		if status == http.StatusOK {
			body = `{"active":4,"queued":9}`
		}
		refresh(t.Context(), busy)
		require.Zero(t, picks(), "status %d", status)
	}
}
