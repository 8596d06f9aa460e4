package service

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
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

// dropReceived makes the kernel drop all packets that the connection receives, as if its host were silent, or ends that.
func dropReceived(t *testing.T, conn net.Conn, drop bool) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var sockoptErr error
	require.NoError(t, raw.Control(func(fd uintptr) {
		if !drop {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
		sockoptErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{
			Len: 1, Filter: &dropAll,
		})
	}))
	require.NoError(t, sockoptErr)
}

// Guards against a sound connection that ends because one keep-alive probe is lost while it is silent, or because its
// host responds to nothing for a second or so, and against one to a lost host that never ends.
func TestConnectionOutlivesASilentHost(t *testing.T) {
	for _, tt := range []struct {
		name string
		// inFlight reports whether data waits for its acknowledgment.
		inFlight bool
		lost     time.Duration // the time for which packets are lost
		silence  time.Duration // the time until the server responds
		ends     bool
	}{
		{name: "one probe is lost", lost: 1500 * time.Millisecond, silence: 2500 * time.Millisecond},
		{name: "the host is silent", inFlight: true, lost: 1500 * time.Millisecond, silence: 3500 * time.Millisecond},
		{name: "the host is lost", lost: time.Minute, silence: time.Minute, ends: true},
		{name: "the host is lost with data in flight", inFlight: true, lost: time.Minute, silence: time.Minute, ends: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			conn, err := newDialer(time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			server, err := listener.Accept()
			require.NoError(t, err)
			defer func() { _ = server.Close() }()
			dropReceived(t, server, true)
			if tt.inFlight {
				_, err = conn.Write([]byte("request"))
				require.NoError(t, err)
			}
			defer time.AfterFunc(tt.lost, func() { dropReceived(t, server, false) }).Stop()
			defer time.AfterFunc(tt.silence, func() { _, _ = server.Write([]byte("x")) }).Stop()
			_, err = conn.Read(make([]byte, 1))
			if tt.ends {
				require.ErrorIs(t, err, unix.ETIMEDOUT)
				return
			}
			require.NoError(t, err)
		})
	}
}
