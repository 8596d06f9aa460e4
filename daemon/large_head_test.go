package daemon

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/io/engine"
	"radishhollow/io/keyvalue"
	"radishhollow/io/peer"
	"radishhollow/io/telemetry"
)

// Guards against a response head of the key-value service, an engine or a peer that takes a large part of the process's
// memory.
func TestLargeHeadIsRejected(t *testing.T) {
	size := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Large", strings.Repeat("x", size))
	}))
	defer server.Close()
	for name, client := range map[string]*http.Client{
		"key-value service": keyvalue.NewHTTPClient(), "engine": engine.NewHTTPClient(time.Second),
		"peer": peer.NewHTTPClient(telemetry.New()),
	} {
		for _, tt := range []struct {
			size int
			ok   bool
		}{{60 << 10, true}, {200 << 10, false}} {
			size = tt.size
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
			require.NoError(t, err)
			response, err := client.Do(request)
			require.Equal(t, tt.ok, err == nil, "%s, %d bytes", name, size)
			if err == nil {
				require.NoError(t, response.Body.Close())
			}
		}
		client.CloseIdleConnections()
	}
}
