package test

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"radishhollow/platform/platformtest"
	"radishhollow/test/harness"
)

var (
	plannedSeed    = flag.Uint64("planned-seed", 1, "seed of the planned work")
	plannedSeconds = flag.Int("planned-seconds", 15, "duration of the planned work in seconds")
	plannedSilence = flag.Bool("planned-silence", true, "let endpoints fall silent for 1 s to 2 s during planned work")
)

// plannedEvents is the number of events in a stream.
const plannedEvents = 10

// planned runs daemons as processes under load on kept connections while they are stopped, reloaded and reconfigured.
// The planned work repeats with its seed; callers and endpoints use the global random source.
type planned struct {
	t         *testing.T
	store     *platformtest.Store
	addresses []string
	paths     []string

	mu sync.Mutex
	// silentUntil is the time until which endpoints send nothing.
	silentUntil time.Time
	daemons     []*harness.Process
	runs        map[string]int // received requests, by request id
	statuses    map[int]int
	closed      int // connections that ended before a response began
	stopped     bool
}

func newPlanned(t *testing.T) *planned {
	p := &planned{t: t, store: platformtest.NewStore(), runs: map[string]int{}, statuses: map[int]int{}}
	t.Cleanup(p.store.Close)
	for i := range 4 {
		p.addEndpoint(fmt.Sprintf("model-%d", i), "model", "both", p.serveStream)
		p.addEndpoint(fmt.Sprintf("plain-%d", i), "plain", "", p.serveBooking)
	}
	p.publish(rand.New(rand.NewPCG(*plannedSeed, 9)), 1)
	for i := range 3 {
		path := filepath.Join(t.TempDir(), "daemon.toml")
		p.addresses, p.paths = append(p.addresses, harness.FreeAddress(t)), append(p.paths, path)
		text := fmt.Sprintf("interface = \"forward\"\nplace = \"a\"\nlisten = %q\nreadiness-listen = %q\npeer-listen = %q\n"+
			"operator-listen = %q\nplatform = %q\n[timeouts]\nwatch-wait = \"2s\"\ndrain-delay = \"300ms\"\ndrain = \"15s\"\n"+
			"endpoint-idle = \"3s\"\n[forward]\nretry-slack = 400\n",
			p.addresses[i], harness.FreeAddress(t), harness.FreeAddress(t), harness.FreeAddress(t), p.store.Address())
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		p.daemons = append(p.daemons, harness.StartProcess(t, harness.Binary(t), "serve", "--settings", path))
	}
	return p
}

func (p *planned) addEndpoint(id, service, phase string, handler func(http.ResponseWriter, *http.Request)) {
	e := platformtest.NewEndpoint(id)
	p.t.Cleanup(e.Close)
	e.Handler = func(w http.ResponseWriter, r *http.Request) {
		// Unread bytes would reset a connection whose end ends the response.
		_, _ = io.Copy(io.Discard, r.Body)
		p.mu.Lock()
		p.runs[r.Header.Get(platformtest.RequestIDHeader)]++
		p.mu.Unlock()
		handler(w, r)
	}
	p.store.Put("servers/"+id, e.Registration(service, "a", "ready", phase))
}

// publish stores a version of the configuration. All versions serve the callers' requests.
func (p *planned) publish(random *rand.Rand, version int) {
	moved := []string{"plain", "extra"}[random.IntN(2)]
	p.store.Put("op/config", fmt.Sprintf(`{"version":%d,"routes":[
 {"name":"once","host":"h","prefix":"/once/","type":"unsafe","timeout_ms":%d,"service":"plain","attempts":%d},
 {"name":"moved","host":"h","prefix":"/moved/","type":"safe","timeout_ms":%d,"service":%q,"attempts":2},
 {"name":"stream","host":"h","prefix":"/stream/","type":"streaming","timeout_ms":%d,"slo_ms":2000,"service":"model",
  "attempts":5,"resumable":true,"gap_aim_ms":700}],
 "services":[{"name":"plain","max_conns":%d},{"name":%q,"max_conns":90},{"name":"model","max_conns":90,"engine":{"kv_capacity":9000,
  "backups":true,"moves":true,"handle_s":4}}],
 "tenants":[{"name":"t%d","api_keys":["k","other-%d"]}]}`, version, 8000+random.IntN(9000), 1+random.IntN(3), 500+random.IntN(9000), moved,
		9000+random.IntN(9000), 200+random.IntN(90), moved, version, version))
}

// pause returns while endpoints are not silent.
func (p *planned) pause() {
	p.mu.Lock()
	until := p.silentUntil
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

// answer writes a body in parts: with a length, in chunks, or up to the end of the connection.
func (p *planned) answer(w http.ResponseWriter, r *http.Request, parts []string, interval time.Duration) {
	to, flush := io.Writer(w), func() { _ = http.NewResponseController(w).Flush() }
	switch rand.IntN(3) {
	case 0:
		length := 0
		for _, part := range parts {
			length += len(part)
		}
		w.Header().Set("Content-Length", strconv.Itoa(length))
	case 1:
		conn, _, err := http.NewResponseController(w).Hijack()
		if !assert.NoError(p.t, err) { //nolint:testifylint // require must not be used outside the goroutine of the test.
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n\r\n", platformtest.RequestIDHeader,
			r.Header.Get(platformtest.RequestIDHeader), platformtest.SignatureHeader, w.Header().Get(platformtest.SignatureHeader))
		to, flush = conn, func() {}
	}
	for _, part := range parts {
		p.pause()
		_, _ = io.WriteString(to, part)
		flush()
		time.Sleep(interval)
	}
}

func (p *planned) serveBooking(w http.ResponseWriter, r *http.Request) {
	p.answer(w, r, []string{"booked ", r.Header.Get(platformtest.RequestIDHeader)}, rand.N(60*time.Millisecond))
}

func (p *planned) serveStream(w http.ResponseWriter, r *http.Request) {
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	var parts []string
	for id := first + 1; id <= plannedEvents; id++ {
		parts = append(parts, event(id))
	}
	p.answer(w, r, parts, rand.N(150*time.Millisecond))
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: part %d\n\n", id, id) }

// runCaller sends requests one after another on a kept connection, and opens a new one after it has ended.
func (p *planned) runCaller(n int) {
	var conn net.Conn
	var reader *bufio.Reader
	for i := 0; !p.isStopped(); i++ {
		if conn == nil {
			c, err := (&net.Dialer{Timeout: time.Second}).DialContext(p.t.Context(), "tcp", p.addresses[rand.IntN(len(p.addresses))])
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			conn, reader = c, bufio.NewReader(c)
		}
		if !p.request(conn, reader, fmt.Sprintf("caller-%d-%d", n, i)) {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(rand.N(40 * time.Millisecond))
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// request sends one request and checks its response. It reports whether the connection may be used again.
func (p *planned) request(conn net.Conn, reader *bufio.Reader, id string) bool {
	path := []string{"/once/x", "/stream/x"}[rand.IntN(2)]
	_ = conn.SetDeadline(time.Now().Add(25 * time.Second))
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Token k\r\n%s: %s\r\nX-Radishhollow-Deadline-Ms: 20000\r\n"+
		"Content-Length: 4\r\n\r\nbody", path, platformtest.RequestIDHeader, id)
	if err == nil {
		_, err = reader.Peek(1)
	}
	if err != nil {
		p.recordClosed(id, err)
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if !assert.NoError(p.t, err, id) { //nolint:testifylint // As above.
		return false
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	assert.NoError(p.t, err, "%s %s: the response is incomplete: %q", id, path, body) //nolint:testifylint // As above.
	p.check(id, path, response, string(body))
	return err == nil && !response.Close
}

// recordClosed checks a request whose connection ended before a response began: no endpoint has received it.
func (p *planned) recordClosed(id string, err error) {
	// A request that was passed on before the connection ended has reached the endpoint by then.
	time.Sleep(200 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed++
	assert.NotErrorIs(p.t, err, os.ErrDeadlineExceeded, "%s got no answer", id) //nolint:testifylint // As above.
	assert.Zero(p.t, p.runs[id], "%s ran and its connection ended without an answer: %v", id, err)
}

func (p *planned) check(id, path string, response *http.Response, body string) {
	want := "booked " + id
	if path == "/stream/x" {
		want = ""
		for n := 1; n <= plannedEvents; n++ {
			want += event(n)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statuses[response.StatusCode]++
	switch response.StatusCode {
	case http.StatusOK:
		assert.Equal(p.t, want, body, id)
		assert.NotEmpty(p.t, response.Header.Get(platformtest.SignatureHeader), id)
	case http.StatusServiceUnavailable:
		assert.NotEmpty(p.t, response.Header.Get("Retry-After"), id)
		assert.Zero(p.t, p.runs[id], "%s was refused as not run", id)
	default:
		assert.Failf(p.t, "unexpected status", "%s %s: %d %s", id, path, response.StatusCode, body)
	}
}

func (p *planned) isStopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

func (p *planned) daemon(i int) *harness.Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.daemons[i]
}

// repeat calls work with a random source of its own until the test stops the callers.
func (p *planned) repeat(stream uint64, interval time.Duration, work func(random *rand.Rand)) {
	random := rand.New(rand.NewPCG(*plannedSeed, stream))
	for !p.isStopped() {
		time.Sleep(interval/2 + time.Duration(random.Int64N(int64(interval))))
		work(random)
	}
}

func (p *planned) hangUp(i int) { _ = syscall.Kill(p.daemon(i).PID(), syscall.SIGHUP) }

// restart stops a daemon, sometimes with further signals while it drains, and starts it again.
func (p *planned) restart(random *rand.Rand, i int) {
	daemon := p.daemon(i)
	if random.IntN(2) == 0 {
		p.hangUp(i)
	}
	daemon.Terminate()
	for range random.IntN(3) {
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		if random.IntN(2) == 0 {
			daemon.Terminate()
		}
	}
	assert.Zero(p.t, daemon.Wait(p.t, 25*time.Second), "exit code")
	started := harness.StartProcess(p.t, harness.Binary(p.t), "serve", "--settings", p.paths[i])
	p.mu.Lock()
	p.daemons[i] = started
	p.mu.Unlock()
}

// maxClosed is the number of connections that may end before a response begins. A caller that sends requests without pause
// is told before its connection ends, apart from the moment in which a daemon stops to accept connections.
const maxClosed = 5

// Guards against a request that neither gets a complete response nor is refused while daemons are stopped, reloaded and
// reconfigured at the same time. A connection may end before a response begins only if no endpoint has received the
// request, and only now and then.
func TestForwardPlannedWork(t *testing.T) {
	p := newPlanned(t)
	t.Logf("seed %d, silence %t", *plannedSeed, *plannedSilence)
	var group sync.WaitGroup
	for n := range 12 {
		group.Go(func() { p.runCaller(n) })
	}
	group.Go(func() {
		p.repeat(1, 500*time.Millisecond, func(random *rand.Rand) { p.hangUp(random.IntN(len(p.addresses))) })
	})
	group.Go(func() {
		version := 1
		p.repeat(2, 400*time.Millisecond, func(random *rand.Rand) {
			version++
			p.publish(random, version)
		})
	})
	if *plannedSilence {
		group.Go(func() { p.repeat(3, 4*time.Second, p.fallSilent) })
	}
	random := rand.New(rand.NewPCG(*plannedSeed, 0))
	for i, end := 0, time.Now().Add(time.Duration(*plannedSeconds)*time.Second); time.Now().Before(end); i++ {
		time.Sleep(time.Duration(200+random.IntN(600)) * time.Millisecond)
		p.restart(random, i%len(p.addresses))
	}
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	group.Wait()
	t.Logf("statuses %v, connections that ended before a response %d", p.statuses, p.closed)
	require.Positive(t, p.statuses[http.StatusOK])
	require.LessOrEqual(t, p.closed, maxClosed)
}

func (p *planned) fallSilent(random *rand.Rand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silentUntil = time.Now().Add(time.Second + time.Duration(random.Int64N(int64(time.Second))))
}
