package harness

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Link is a TCP proxy to one address, into which a test injects network faults.
type Link struct {
	proxy *toxiproxy.Proxy
}

// NewLink starts a link to an upstream address. It is stopped at the end of the test.
func NewLink(t testing.TB, upstream string) *Link {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	l := &Link{proxy: toxiproxy.NewProxy(server, upstream, "127.0.0.1:0", upstream)}
	require.NoError(t, l.proxy.Start())
	t.Cleanup(l.proxy.Stop)
	return l
}

// Address returns the address on which the link accepts connections to the upstream.
func (l *Link) Address() string { return l.proxy.Listen }

// Cut closes all connections and the listener until Restore is called. Until then the port is free, and Restore fails
// the test if another socket has taken it.
func (l *Link) Cut() { l.proxy.Stop() }

// Partition drops all data in both directions. Connections stay open until Restore closes them.
func (l *Link) Partition(t testing.TB) {
	t.Helper()
	l.addToxic(t, "timeout", `{"timeout":0}`)
}

// Directions of the data on a link: Upstream is to the upstream address, Downstream is from it.
const (
	Upstream   = "upstream"
	Downstream = "downstream"
)

// PartitionOneWay drops all data in one direction. Connections stay open until Restore closes them.
func (l *Link) PartitionOneWay(t testing.TB, direction string) {
	t.Helper()
	l.addToxicOneWay(t, "timeout", `{"timeout":0}`, direction)
}

// Reset resets each connection, old or new, 5 ms after the next data from the upstream address, until Restore is
// called.
func (l *Link) Reset(t testing.TB) {
	t.Helper()
	l.addToxicOneWay(t, "reset_peer", `{"timeout":5}`, Downstream)
}

// Delay delays all data in each direction by d.
func (l *Link) Delay(t testing.TB, d time.Duration) {
	t.Helper()
	l.addToxic(t, "latency", fmt.Sprintf(`{"latency":%d}`, d.Milliseconds()))
}

// Restore removes all faults.
func (l *Link) Restore(t testing.TB) {
	t.Helper()
	l.proxy.Toxics.ResetToxics(t.Context())
	if !l.proxy.Enabled {
		require.NoError(t, l.proxy.Start())
	}
}

func (l *Link) addToxic(t testing.TB, kind, attributes string) {
	t.Helper()
	for _, direction := range []string{Upstream, Downstream} {
		l.addToxicOneWay(t, kind, attributes, direction)
	}
}

func (l *Link) addToxicOneWay(t testing.TB, kind, attributes, direction string) {
	t.Helper()
	toxic := fmt.Sprintf(`{"type":%q,"stream":%q,"attributes":%s}`, kind, direction, attributes)
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	require.NoError(t, err)
}
