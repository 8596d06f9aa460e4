package keyvalue_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"radishhollow/core/route"
	"radishhollow/io/keyvalue"
	standin "radishhollow/standin/platform"
)

func startPlatform(t *testing.T) (address string, stop func()) {
	t.Helper()
	server, bound := standin.New(), make(chan string, 1)
	server.InstanceLag, server.Ready = 0, func(address string) { bound <- address }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		assert.NoError(t, server.Run(ctx))
	}()
	stop = func() {
		cancel()
		<-done
	}
	return <-bound, stop
}

func row(address, incarnation string) route.Listing {
	return route.Listing{Address: address, Incarnation: incarnation, Kind: route.KindModel, Name: "m"}
}

// Guards against an instance list that drifts from the platform's: after replaced and removed rows, and after a
// platform whose list has started anew with higher sequence numbers.
func TestListFollowsChanges(t *testing.T) {
	address, stop := startPlatform(t)
	client := &keyvalue.Client{Address: address, HTTP: keyvalue.NewHTTPClient()}
	list, ctx := &keyvalue.InstanceList{Client: client}, t.Context()
	read := func(changed bool, rows ...route.Listing) {
		t.Helper()
		got, err := list.Read(ctx)
		require.NoError(t, err)
		require.Equal(t, changed, got)
		require.ElementsMatch(t, rows, list.Endpoints())
	}
	require.NoError(t, client.PutInstance(ctx, row("127.0.0.1:1", "a")))
	require.NoError(t, client.PutInstance(ctx, row("127.0.0.1:2", "a")))
	read(true, row("127.0.0.1:1", "a"), row("127.0.0.1:2", "a"))
	read(false, row("127.0.0.1:1", "a"), row("127.0.0.1:2", "a"))
	require.NoError(t, client.PutInstance(ctx, row("127.0.0.1:1", "b")))
	require.NoError(t, client.DeleteInstance(ctx, "127.0.0.1:2"))
	read(true, row("127.0.0.1:1", "b"))
	stop()

	address, stop = startPlatform(t)
	defer stop()
	client.Address = address
	for _, incarnation := range []string{"c", "d", "e", "f", "g"} {
		require.NoError(t, client.PutInstance(ctx, row("127.0.0.1:3", incarnation)))
	}
	read(true, row("127.0.0.1:3", "g"))
	read(false, row("127.0.0.1:3", "g"))
}

// Guards against a list that keeps rows that are gone where the platform only answers with the whole list.
func TestListTakesWholeLists(t *testing.T) {
	bodies := []string{`[{"address":"127.0.0.1:1","kind":"model"},{"address":"127.0.0.1:2","kind":"entry"}]`, `[]`}
	client := clientFor(t, func(w http.ResponseWriter, r *http.Request) {
		assert.Empty(t, r.URL.RawQuery)
		_, _ = w.Write([]byte(`{"sequence":1,"instances":` + bodies[0] + `}`))
		bodies = bodies[1:]
	})
	list := &keyvalue.InstanceList{Client: client}
	for _, want := range []int{1, 0} {
		changed, err := list.Read(t.Context())
		require.NoError(t, err)
		require.True(t, changed)
		require.Len(t, list.Endpoints(), want)
	}
}
