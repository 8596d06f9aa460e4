package service_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/booking"
	"radishhollow/io/service"
)

// Guards against a request target that reaches the endpoint changed, above all one that begins with an empty segment.
func TestTargetIsUnchanged(t *testing.T) {
	var got string
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = r.RequestURI }))
	defer server.Close()
	client := service.New(time.Second, time.Minute)
	defer func() { require.NoError(t, client.Close()) }()
	for _, target := range []string{
		"/orders/1", "//orders/gate/1", "///x", "//", "//orders/a%2Fb?q=1&r=//x", "/a//b", "//a?", "/%7Euser/?a=b?c",
	} {
		_, err := client.Send(t.Context(), server.Listener.Addr().String(), booking.Request{Method: http.MethodPost, Target: target})
		require.NoError(t, err)
		require.Equal(t, target, got)
	}
}
