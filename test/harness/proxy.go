package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Link is a proxy on the way to one address, whose network faults a test sets.
type Link struct {
	proxy *toxiproxy.Proxy
}

// Proxy starts a link to an upstream address and stops it at the end of the test.
func Proxy(t testing.TB, upstream string) *Link {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	l := &Link{proxy: toxiproxy.NewProxy(server, upstream, "127.0.0.1:0", upstream)}
	require.NoError(t, l.proxy.Start())
	t.Cleanup(l.proxy.Stop)
	return l
}

// Address returns the address that leads to the upstream.
func (l *Link) Address() string { return l.proxy.Listen }

// Cut closes all connections and refuses new ones until Restore.
func (l *Link) Cut() { l.proxy.Stop() }

// Partition drops all data in both directions while connections stay open, until Restore closes them.
func (l *Link) Partition(t testing.TB) {
	t.Helper()
	l.add(t, "timeout", `{"timeout":0}`)
}

// Delay delays all data by d in each direction.
func (l *Link) Delay(t testing.TB, d time.Duration) {
	t.Helper()
	l.add(t, "latency", fmt.Sprintf(`{"latency":%d}`, d.Milliseconds()))
}

// Restore removes all faults.
func (l *Link) Restore(t testing.TB) {
	t.Helper()
	l.proxy.Toxics.ResetToxics(t.Context())
	if !l.proxy.Enabled {
		require.NoError(t, l.proxy.Start())
	}
}

func (l *Link) add(t testing.TB, kind, attributes string) {
	t.Helper()
	for _, direction := range []string{"upstream", "downstream"} {
		toxic := fmt.Sprintf(`{"type":%q,"stream":%q,"attributes":%s}`, kind, direction, attributes)
		_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
		require.NoError(t, err)
	}
}

// Ports of FreeAddress lie below the range from which the kernel takes the local ports of outgoing connections and of
// listeners on port 0. A port of that range could be taken again before the process under test listens on it.
const (
	firstPort = 20000
	lastPort  = 32000
)

// given holds the addresses that this test process has handed out.
var given sync.Map

// FreeAddress returns a loopback address with a free port, once per test process.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range lastPort - firstPort {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if _, taken := given.LoadOrStore(address, true); taken {
			continue
		}
		if listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address); err == nil {
			require.NoError(t, listener.Close())
			return address
		}
	}
	require.FailNow(t, "no port is free")
	return ""
}
