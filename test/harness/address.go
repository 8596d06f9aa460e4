package harness

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// The ports lie below the range that Linux gives to outgoing connections (32768 and above), because one of those
	// can take a port between its choice and the start of the process that listens on it.
	lowestPort  = 10_000
	highestPort = 32_000
	// portTries bounds the search; tests of other processes use the same range.
	portTries = 100
)

// ports are handed out in turn from a random start, so that no port is handed out twice in a test process.
var ports = struct {
	mu   sync.Mutex
	next int
}{next: lowestPort + rand.IntN(highestPort-lowestPort)}

// FreeAddress returns a loopback address with a free port that no other call of this process has got.
func FreeAddress(t testing.TB) string {
	t.Helper()
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for range portTries {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(ports.next))
		if ports.next++; ports.next == highestPort {
			ports.next = lowestPort
		}
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
		if err == nil {
			require.NoError(t, listener.Close())
			return address
		}
	}
	require.FailNow(t, "no free port")
	return ""
}
