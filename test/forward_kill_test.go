package test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"radishhollow/platform/platformtest"
	"radishhollow/test/harness"
)

const (
	// killGrace is the time between SIGTERM and SIGKILL in the settings. killDelay is added to it, so that a busy machine
	// does not decide the test. longestCall exceeds both.
	killGrace   = 4 * time.Second
	killDelay   = 3 * time.Second
	longestCall = 9 * time.Second
	killCallers = 24
)

// killed runs one daemon as a process under calls that must not be repeated, until it is stopped and killed.
type killed struct {
	t       *testing.T
	store   *platformtest.Store
	address string

	mu       sync.Mutex
	runs     map[string]int // received requests, by request id
	statuses map[int]int
	closed   int // connections that ended before a response began
}

func (k *killed) publish(version int) {
	k.store.Put("op/config", fmt.Sprintf(`{"version":%d,"routes":[
 {"name":"once","host":"h","prefix":"/once/","type":"unsafe","timeout_ms":%d,"service":"plain","attempts":1}],
 "services":[{"name":"plain","max_conns":200}],"tenants":[{"name":"t","api_keys":["k"]}]}`, version, 20000+version))
}

func (k *killed) serve(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	k.runs[r.Header.Get(platformtest.RequestIDHeader)]++
	k.mu.Unlock()
	duration, _ := time.ParseDuration(r.URL.RawQuery)
	select {
	case <-time.After(duration):
		_, _ = io.WriteString(w, "booked")
	case <-r.Context().Done():
	}
}

// runCaller sends requests one after another on kept connections until the daemon accepts none.
func (k *killed) runCaller(n int, random *rand.Rand) {
	for i := 0; ; {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(k.t.Context(), "tcp", k.address)
		if err != nil {
			return
		}
		_ = conn.SetDeadline(time.Now().Add(time.Minute))
		for reader := bufio.NewReader(conn); k.request(conn, reader, fmt.Sprintf("%d-%d", n, i), random); i++ {
		}
		i++
		_ = conn.Close()
	}
}

// request sends one request and checks its response. It reports whether the connection may be used again.
func (k *killed) request(conn net.Conn, reader *bufio.Reader, id string, random *rand.Rand) bool {
	duration := time.Duration(random.Int64N(int64(longestCall)))
	if random.IntN(3) > 0 {
		duration /= 30
	}
	_, err := fmt.Fprintf(conn, "POST /once/x?%s HTTP/1.1\r\nHost: h\r\nAuthorization: Token k\r\n%s: %s\r\n"+
		"X-Radishhollow-Deadline-Ms: 15000\r\nContent-Length: 4\r\n\r\nbody", duration, platformtest.RequestIDHeader, id)
	if err == nil {
		_, err = reader.Peek(1)
	}
	if err != nil {
		// A request that was passed on before the connection ended has reached the endpoint by then.
		time.Sleep(200 * time.Millisecond)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.closed++
		assert.Zero(k.t, k.runs[id], "%s ran for %s and its connection ended without an answer: %v", id, duration, err)
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if !assert.NoError(k.t, err, id) { //nolint:testifylint // require must not be used outside the goroutine of the test.
		return false
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	assert.NoError(k.t, err, "%s: the response is incomplete: %q", id, body) //nolint:testifylint // As above.
	k.check(id, response, body)
	if response.StatusCode == http.StatusServiceUnavailable {
		time.Sleep(50 * time.Millisecond) // The daemon asks for about twice as long.
	}
	return !response.Close
}

func (k *killed) check(id string, response *http.Response, body []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.statuses[response.StatusCode]++
	switch response.StatusCode {
	case http.StatusOK, http.StatusGatewayTimeout:
		assert.LessOrEqual(k.t, k.runs[id], 1, id)
	case http.StatusServiceUnavailable:
		assert.NotEmpty(k.t, response.Header.Get("Retry-After"), id)
		assert.Zero(k.t, k.runs[id], "%s was refused as not run", id)
	default:
		assert.Failf(k.t, "unexpected status", "%s: %d %s", id, response.StatusCode, body)
	}
}

// stop stops the daemon beside reloads and changes of the configuration, and kills it if it has not ended in time. It
// reports whether it had.
func (k *killed) stop(daemon *harness.Process) (ended bool) {
	done := make(chan struct{})
	k.publish(2)
	_ = syscall.Kill(daemon.PID(), syscall.SIGHUP)
	daemon.Terminate()
	kill := time.AfterFunc(killGrace+killDelay, daemon.Kill)
	go func() { defer close(done); daemon.Wait(k.t, killGrace+10*time.Second) }()
	k.publish(3)
	_ = syscall.Kill(daemon.PID(), syscall.SIGHUP)
	<-done
	return kill.Stop()
}

func isReady(t *testing.T, address string) bool {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/readyz", nil)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Guards against a request that must not be repeated and neither gets an answer nor is refused in a planned stop that ends
// with the platform's kill, beside reloads and changes of the configuration. Some of the calls outlast the grace time.
func TestForwardKillAfterTheGrace(t *testing.T) {
	t.Logf("seed %d", *plannedSeed)
	k := &killed{
		t: t, store: platformtest.NewStore(), address: harness.FreeAddress(t), runs: map[string]int{}, statuses: map[int]int{},
	}
	t.Cleanup(k.store.Close)
	for i := range 2 {
		e := platformtest.NewEndpoint(fmt.Sprintf("plain-%d", i))
		t.Cleanup(e.Close)
		e.Handler = k.serve
		k.store.Put("servers/"+e.ID, e.Registration("plain", "a", "ready", ""))
	}
	k.publish(1)
	ready := harness.FreeAddress(t)
	path := filepath.Join(t.TempDir(), "daemon.toml")
	text := fmt.Sprintf("interface = \"forward\"\nplace = \"a\"\nlisten = %q\nreadiness-listen = %q\npeer-listen = %q\n"+
		"operator-listen = %q\nplatform = %q\n[timeouts]\nwatch-wait = \"2s\"\ndrain-delay = \"1s\"\ndrain = %q\n"+
		"[forward]\nretry-slack = 400\nstop-grace = %q\n", k.address, ready, harness.FreeAddress(t),
		harness.FreeAddress(t), k.store.Address(), killGrace, killGrace)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	daemon := harness.StartProcess(t, harness.Binary(t), "serve", "--settings", path)
	require.Eventually(t, func() bool { return isReady(t, ready) }, 20*time.Second, 10*time.Millisecond)
	var group sync.WaitGroup
	for n := range killCallers {
		group.Go(func() { k.runCaller(n, rand.New(rand.NewPCG(*plannedSeed, uint64(n)))) })
	}
	time.Sleep(2 * time.Second)
	require.True(t, k.stop(daemon), "the daemon was killed")
	group.Wait()
	t.Logf("statuses %v, connections that ended before a response %d", k.statuses, k.closed)
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusGatewayTimeout} {
		require.Positive(t, k.statuses[status])
	}
	require.LessOrEqual(t, k.closed, maxClosed)
}
