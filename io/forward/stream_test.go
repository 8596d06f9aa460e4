package forward

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
)

// Guards against a complete stream that looks broken off, because the deadline for writing its last event has expired
// when the engine ends it.
func TestCompleteAfterTheDeadlineOfTheLastEvent(t *testing.T) {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.NoRoute(func(c *gin.Context) {
		h := &streamHandler{
			c: c, controller: http.NewResponseController(c.Writer), attemptState: attemptState{start: &startTracker{onLived: func() {}}},
			request: &request{},
		}
		if h.deliver(generation.NewEventChunk("g", 1, 1, []byte("id: 1\ndata: x\n\n"))) == nil {
			time.Sleep(writeTimeout + 500*time.Millisecond)
			h.complete()
		}
	})
	server := httptest.NewServer(router)
	defer server.Close()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
}
