package harness

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"testing"
)

// Ports of daemons lie below the range from which the kernel takes the ports of outgoing connections and of listeners
// without a port of their own. A port of that range may be taken between the check and the daemon's start.
const (
	firstPort = 20000
	lastPort  = 32000
)

// givenPorts holds the ports that this process has given out.
var givenPorts sync.Map

// FreeAddress returns a loopback address whose port nobody listens on. It returns no port twice.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if _, given := givenPorts.LoadOrStore(port, true); given {
			continue
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
		if err == nil && listener.Close() == nil {
			return address
		}
	}
}
