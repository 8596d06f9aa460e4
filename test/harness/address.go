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
	// lowestPort and highestPort limit the ports to a range below the ephemeral ports of Linux (32768 and above). An
	// outgoing connection could otherwise take a port before the process that is to listen on it has started.
	lowestPort  = 10_000
	highestPort = 32_000
	// portTries limits the number of ports that one call tries. Ports may be in use, because other test processes use the
	// same range.
	portTries = 100
)

// ports allocates ports sequentially from a random start, so that no port is returned twice in a test process.
var ports = struct {
	mu   sync.Mutex
	next int
}{next: lowestPort + rand.IntN(highestPort-lowestPort)}

// FreeAddress returns a loopback address with a free port that it has not returned before in this process. It fails the
// test if it finds none. It is safe for concurrent use.
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
