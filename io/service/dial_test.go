package service

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a host that refuses connections, and therefore runs, being taken for an unresponsive one.
func TestConnectTimesOut(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	client := New(time.Second, time.Second)
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	require.False(t, client.ConnectTimesOut(t.Context(), address, 10*time.Second))
	require.True(t, client.ConnectTimesOut(t.Context(), address, time.Nanosecond))
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, client.ConnectTimesOut(canceled, address, time.Nanosecond), "a canceled attempt is no evidence")
	require.NoError(t, listener.Close())
	require.False(t, client.ConnectTimesOut(t.Context(), address, 10*time.Second))
}
