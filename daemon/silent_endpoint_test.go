package daemon

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
	"radishhollow/core/route"
	"radishhollow/io/service"
	"radishhollow/platform"
)

// Guards against a sound engine that is silent for a second and gets no more requests although no other engine is
// eligible, because its load report is late, its streams are silent or requests end before it responds, and against one that is
// chosen while others respond.
func TestSilentEngineIsTheLastChoice(t *testing.T) {
	responded := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-responded }))
	defer server.Close()
	defer close(responded)
	silent, other := server.Listener.Addr().String(), "10.0.0.9:1"
	log := logrus.New()
	log.SetOutput(io.Discard)
	client := service.New(time.Second, time.Minute)
	defer func() { _ = client.Close() }()
	client.Check = platform.Format().Check
	for name, report := range map[string]func(table *route.Table, choice route.Choice){
		"load query": func(table *route.Table, _ route.Choice) {
			ctx, cancel := context.WithTimeout(t.Context(), 60*time.Millisecond)
			defer cancel()
			loadRefresher(table, client, newTestAnnouncements(table), log)(ctx, silent)
		},
		"streams": func(table *route.Table, choice route.Choice) {
			for range 5 {
				streamObserver(table)(choice, generation.SilenceError{Endpoint: silent, After: time.Second})
			}
		},
		"deadlines": func(table *route.Table, choice route.Choice) {
			for range 5 {
				streamObserver(table)(choice, service.SendError{Endpoint: silent, Written: true, Cause: context.DeadlineExceeded})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			policy := route.DefaultPolicy()
			policy.UnreachableTTL, policy.BreakerMinOpen, policy.BreakerMaxOpen = time.Minute, time.Minute, time.Minute
			table := route.New("d", policy)
			table.Sync([]route.Listing{
				{Address: silent, Incarnation: "1", Kind: route.KindModel, Name: "m", Slots: 4},
				{Address: other, Incarnation: "2", Kind: route.KindModel, Name: "m", Slots: 4},
			})
			criteria := route.Criteria{Kind: route.KindModel, Name: "m", Exclude: map[string]bool{other: true}}
			choice, err := table.Pick(t.Context(), criteria)
			require.NoError(t, err)
			choice.Release()
			report(table, choice)

			require.True(t, table.Usable(silent, "1"), "a copy at the engine counts as lost")
			choice, err = table.Pick(t.Context(), criteria)
			require.NoError(t, err)
			require.Equal(t, silent, choice.Address())
			choice.Release()
			criteria.Exclude = nil
			for range 40 {
				choice, err = table.Pick(t.Context(), criteria)
				require.NoError(t, err)
				require.Equal(t, other, choice.Address())
				choice.Release()
			}
		})
	}
}
