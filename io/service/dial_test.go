package service

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a machine that refuses connections, and so runs, being taken for one that is gone.
func TestSilent(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	client := New(time.Second, time.Second)
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	require.False(t, client.ConnectTimesOut(t.Context(), address, 10*time.Second))
	require.True(t, client.ConnectTimesOut(t.Context(), address, time.Nanosecond))
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, client.ConnectTimesOut(canceled, address, time.Nanosecond), "a probe that was given up says nothing")
	require.NoError(t, listener.Close())
	require.False(t, client.ConnectTimesOut(t.Context(), address, 10*time.Second))
}
