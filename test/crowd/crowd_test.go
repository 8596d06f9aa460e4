package crowd

import (
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// crowdTime is the time for which a crowd sends before and after the ordinary request. Each connection that is closed is
	// opened again after redialPause.
	crowdTime   = time.Second
	redialPause = 200 * time.Millisecond
	// dialers bounds the connections that are opened at a time, so that the queue of the socket does not overflow.
	dialers = 64
)

// gathering is a crowd whose connections are open.
type gathering struct {
	crowd   crowd
	targets []target
	slots   chan struct{}
	ended   chan struct{}
	group   sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// gather opens the connections of a crowd, spread over the targets.
func gather(c crowd, targets []target) *gathering {
	g := &gathering{
		crowd: c, targets: targets, slots: make(chan struct{}, dialers), ended: make(chan struct{}), conns: map[net.Conn]struct{}{},
	}
	for i := range c.conns {
		g.group.Go(func() { g.runCaller(i) })
	}
	return g
}

func (g *gathering) runCaller(i int) {
	l := g.targets[i%len(g.targets)]
	for {
		if conn := g.dial(l.address); conn != nil {
			g.crowd.run(l, i, conn)
			g.drop(conn)
		}
		select {
		case <-g.ended:
			return
		case <-time.After(redialPause):
		}
	}
}

// dial returns nil if the daemon does not accept the connection or the crowd has ended.
func (g *gathering) dial(address string) net.Conn {
	g.slots <- struct{}{}
	defer func() { <-g.slots }()
	conn, err := net.DialTimeout("tcp", address, 10*time.Second)
	if err != nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.ended:
		_ = conn.Close()
		return nil
	default:
	}
	g.conns[conn] = struct{}{}
	return conn
}

func (g *gathering) drop(conn net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = conn.Close()
	delete(g.conns, conn)
}

// end closes all connections and waits for the callers.
func (g *gathering) end() {
	g.mu.Lock()
	close(g.ended)
	for conn := range g.conns {
		_ = conn.Close()
	}
	g.mu.Unlock()
	g.group.Wait()
}

// Guards against callers that nobody controls which take a daemon's memory or descriptors, end it, or keep ordinary callers
// from an answer, on each of its listeners.
func TestCrowd(t *testing.T) {
	kinds := crowds()
	for _, place := range []struct {
		name      string
		start     func(*testing.T) map[string]target
		listeners []string
	}{
		{"callers, forward", startForward, []string{"callers"}},
		{"internal, forward", startForward, []string{"peers", "operators", "readiness"}},
		{"callers, own", startOwn, []string{"callers"}},
		{"internal, own", startOwn, []string{"peers", "operators"}},
	} {
		for _, name := range slices.Sorted(maps.Keys(kinds)) {
			t.Run(place.name+"/"+name, func(t *testing.T) {
				all := place.start(t)
				var targets []target
				for _, listener := range place.listeners {
					targets = append(targets, all[listener])
				}
				testCrowd(t, kinds[name], targets)
			})
		}
	}
}

func testCrowd(t *testing.T, c crowd, targets []target) {
	testCrowdBeside(t, c, targets, targets, memoryMB*descriptorsPerMB)
}

// testCrowdBeside sends a crowd to the targets and one ordinary request to each of the listeners, beside the crowd and after it.
func testCrowdBeside(t *testing.T, c crowd, targets, listeners []target, descriptors int) {
	process := targets[0].process
	for _, l := range listeners {
		awaitOK(t, l)
	}
	before := peakMemoryKB(t, process.PID())
	g := gather(c, targets)
	end := sync.OnceFunc(g.end)
	defer end()
	most, mostMemory := 0, 0
	watch := func() {
		for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			most = max(most, openDescriptors(t, process.PID()))
			mostMemory = max(mostMemory, memoryKB(t, process.PID(), "VmRSS:")+unreadKB(t, targets))
		}
	}
	watch()
	for _, l := range listeners {
		l.requireAnswer(t, "beside the crowd")
	}
	watch()
	peak := max(peakMemoryKB(t, process.PID()), mostMemory)
	t.Logf("memory %d MB before, %d MB with the crowd, %d descriptors", before>>10, peak>>10, most)
	require.Less(t, peak, memoryMB<<10, "KB of memory")
	require.Less(t, most, descriptors, "open descriptors")
	end()
	for _, l := range listeners {
		l.requireAnswer(t, "after the crowd")
	}
	require.False(t, process.Exited())
}
