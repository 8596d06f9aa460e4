package test

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/platform/platformtest"
	"radishhollow/test/harness"
)

// mixedRandom returns a random source that is the same for a text wherever it is used.
func mixedRandom(seed uint64, text string) *rand.Rand {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, text)
	return rand.New(rand.NewPCG(seed, hash.Sum64()))
}

// mixedSlots is enough for all callers at one endpoint, so that no request is refused for its load.
const mixedSlots = 200

// mixedStream is what engines send for a stream. All runs of a stream send the same events.
type mixedStream struct {
	key             string
	wait, pause     time.Duration
	events, padding int
	// refusesCopies is set if engines refuse to resume from a copy, as those do that have none.
	refusesCopies bool
}

// longStreamPrefix begins the keys of the streams that outlast a planned stop.
const longStreamPrefix = "long-"

func newMixedStream(seed uint64, key string) mixedStream {
	random := mixedRandom(seed, key)
	s := mixedStream{
		key: key, wait: mixedDuration(random, 1500*time.Millisecond, 2700*time.Millisecond), events: 140 + random.IntN(101),
		pause: time.Second / time.Duration(27+random.IntN(11)), padding: random.IntN(200), refusesCopies: random.IntN(8) == 0,
	}
	if strings.HasPrefix(key, longStreamPrefix) {
		s.events += 200
		return s
	}
	switch random.IntN(10) {
	case 0:
		s.padding += 4000
	case 1, 2:
		s.wait, s.events = s.wait/10, s.events/4
	}
	return s
}

func (s mixedStream) event(id int) string {
	return fmt.Sprintf("id: %d\ndata: %s part %d %s\n\n", id, s.key, id, strings.Repeat("x", s.padding))
}

// body returns the events that follow an event id.
func (s mixedStream) body(last int) string {
	var text strings.Builder
	for id := last + 1; id <= s.events; id++ {
		text.WriteString(s.event(id))
	}
	return text.String()
}

// mixedCall is what endpoints of the plain service do for a request.
type mixedCall struct {
	duration time.Duration
	body     string
}

func newMixedCall(seed uint64, id string) mixedCall {
	random := mixedRandom(seed, id)
	c := mixedCall{duration: mixedDuration(random, 5*time.Millisecond, 100*time.Millisecond)}
	length := random.IntN(400)
	switch random.IntN(20) {
	case 0:
		c.duration = mixedDuration(random, 3*time.Second, 9*time.Second)
	case 1, 2, 3:
		c.duration = mixedDuration(random, 100*time.Millisecond, 3*time.Second)
	case 4, 5:
		length = random.IntN(40_000)
	case 6:
		length = random.IntN(400_000)
	}
	c.body = fmt.Sprintf("done %s %s", id, strings.Repeat("y", length))
	return c
}

func mixedDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

// mixedRun is one run of a request at an endpoint.
type mixedRun struct {
	endpoint         string
	begunAt, endedAt time.Time
	// complete is set after the whole response, and brokeOff if the endpoint has ended the run before.
	complete, brokeOff bool
}

func (r *mixedRun) String() string {
	how := "closed"
	switch {
	case r.endedAt.IsZero():
		how = "at work"
	case r.complete:
		how = "complete"
	case r.brokeOff:
		how = "broke off"
	}
	return fmt.Sprintf("%s %s to %s %s", r.endpoint, mixedTime(r.begunAt), mixedTime(r.endedAt), how)
}

func mixedTime(at time.Time) string { return at.UTC().Format("15:04:05.000") }

// mixedEndpoint is an endpoint that at times falls silent or leaves.
type mixedEndpoint struct {
	*platformtest.Endpoint

	play                  *mixedStops
	service, place, phase string

	// leaveMu is held while the endpoint leaves.
	leaveMu sync.Mutex

	mu          sync.Mutex
	silentUntil time.Time
	leaving     bool
	open        map[*mixedRun]bool
}

func newMixedEndpoint(p *mixedStops, id, service, place, phase string) *mixedEndpoint {
	e := &mixedEndpoint{
		Endpoint: platformtest.NewEndpoint(id), play: p, service: service, place: place, phase: phase, open: map[*mixedRun]bool{},
	}
	p.t.Cleanup(e.Close)
	e.Handler = e.serve
	e.register("ready", 0)
	return e
}

// register writes the registration, with the time of the start in milliseconds unless that is 0.
func (e *mixedEndpoint) register(state string, startedAtMS int64) {
	entry := strings.Replace(e.Registration(e.service, e.place, state, e.phase), `"slots":4`, fmt.Sprintf(`"slots":%d`, mixedSlots), 1)
	if startedAtMS > 0 {
		entry = strings.Replace(entry, `"sequence":1`, fmt.Sprintf(`"sequence":1,"born":%d`, startedAtMS), 1)
	}
	e.play.store.Put("servers/"+e.ID, entry)
}

func (e *mixedEndpoint) serve(w http.ResponseWriter, r *http.Request) {
	// A handler learns of the end of its connection only after the body.
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(platformtest.RequestIDHeader)
	if e.isLeaving() {
		w.Header().Set("Server-Leaving", "1")
	}
	if from := r.Header.Get("Kv-From"); from != "" {
		if key, _, _ := strings.Cut(id, "."); !strings.HasSuffix(from, id) || newMixedStream(e.play.seed, key).refusesCopies {
			w.Header().Set(platformtest.NotRunHeader, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	run := &mixedRun{endpoint: e.ID, begunAt: time.Now()}
	e.begin(id, run)
	defer e.end(run)
	var complete bool
	if e.phase == "" {
		complete = e.serveCall(w, r, newMixedCall(e.play.seed, id))
	} else {
		key, _, _ := strings.Cut(id, ".")
		complete = e.serveStream(w, r, newMixedStream(e.play.seed, key))
	}
	e.play.mu.Lock()
	defer e.play.mu.Unlock()
	run.complete = complete
}

func (e *mixedEndpoint) serveCall(w http.ResponseWriter, r *http.Request, call mixedCall) (complete bool) {
	if !e.work(r.Context(), call.duration) {
		return false
	}
	_, err := io.WriteString(w, call.body)
	return err == nil
}

func (e *mixedEndpoint) serveStream(w http.ResponseWriter, r *http.Request, s mixedStream) (complete bool) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	wait := s.wait
	if r.Header.Get("Kv-From") != "" {
		wait /= 10
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for id := last + 1; id <= s.events; id++ {
		if !e.work(r.Context(), wait) {
			return false
		}
		if _, err := io.WriteString(w, s.event(id)); err != nil {
			return false
		}
		_ = http.NewResponseController(w).Flush()
		wait = s.pause
	}
	return true
}

// work waits for the duration and while the endpoint is silent. It reports false if the connection ends before.
func (e *mixedEndpoint) work(ctx context.Context, duration time.Duration) bool {
	for end := time.Now().Add(duration); ; {
		e.mu.Lock()
		if e.silentUntil.After(end) {
			end = e.silentUntil
		}
		e.mu.Unlock()
		left := time.Until(end)
		if left <= 0 {
			return ctx.Err() == nil
		}
		select {
		case <-time.After(left):
		case <-ctx.Done():
			return false
		}
	}
}

func (e *mixedEndpoint) begin(id string, run *mixedRun) {
	e.play.mu.Lock()
	e.play.runs[id] = append(e.play.runs[id], run)
	e.play.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open[run] = true
}

func (e *mixedEndpoint) end(run *mixedRun) {
	e.mu.Lock()
	delete(e.open, run)
	e.mu.Unlock()
	e.play.mu.Lock()
	defer e.play.mu.Unlock()
	run.endedAt = time.Now()
}

func (e *mixedEndpoint) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

func (e *mixedEndpoint) fallSilent(duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentUntil = time.Now().Add(duration)
}

// leave reports that the endpoint leaves, serves on for a while, ends with the runs that are left and starts again. It does
// nothing while the endpoint leaves.
func (e *mixedEndpoint) leave(announces bool, servesOn time.Duration) {
	if !e.leaveMu.TryLock() {
		return
	}
	defer e.leaveMu.Unlock()
	e.mu.Lock()
	e.leaving = announces
	e.mu.Unlock()
	e.register("draining", 0)
	e.play.sleep(servesOn)
	e.mu.Lock()
	e.play.mu.Lock()
	for run := range e.open {
		run.brokeOff = true
	}
	e.play.mu.Unlock()
	e.leaving = false
	e.mu.Unlock()
	e.play.store.Remove("servers/" + e.ID)
	e.Crash(true, 200*time.Millisecond)
	e.play.sleep(time.Second)
	e.register("ready", time.Now().UnixMilli())
}

// storeGate passes connections on to the store, unless it is cut. Its port is below the ephemeral ones, so that no
// connection takes it.
type storeGate struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]bool
}

func newStoreGate(t *testing.T, upstream string) *storeGate {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", harness.FreeAddress(t))
	require.NoError(t, err)
	g := &storeGate{listener: listener, upstream: upstream, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = listener.Close(); g.setCut(true) })
	go g.run()
	return g
}

func (g *storeGate) run() {
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.runConn(conn)
	}
}

func (g *storeGate) runConn(conn net.Conn) {
	upstream, err := net.Dial("tcp", g.upstream)
	if err != nil {
		_ = conn.Close()
		return
	}
	g.track(conn, upstream)
	defer g.forget(conn, upstream)
	go func() { defer g.forget(conn, upstream); _, _ = io.Copy(upstream, conn) }()
	_, _ = io.Copy(conn, upstream)
}

func (g *storeGate) track(conns ...net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, conn := range conns {
		g.conns[conn] = true
		if g.isCut {
			_ = conn.Close()
		}
	}
}

func (g *storeGate) forget(conns ...net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
		delete(g.conns, conn)
	}
}

// setCut closes all connections, and new ones at once, or ends that.
func (g *storeGate) setCut(isCut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isCut = isCut
	for conn := range g.conns {
		_ = conn.Close()
	}
}
