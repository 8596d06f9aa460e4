package test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"radishhollow/platform/platformtest"
	"radishhollow/test/harness"
)

const (
	releaseDaemons = 3
	releaseEngines = 6
	releaseCallers = 30
	// releasePause is the time between the events of a stream.
	releasePause = 40 * time.Millisecond
	// maxTakeUps bounds how often a caller takes a stream up again.
	maxTakeUps = 6
)

// releasePlay runs daemons as processes that are killed while their engines are replaced by ones of newer versions, under
// callers that take broken streams up again at any daemon.
type releasePlay struct {
	t     *testing.T
	store *platformtest.Store
	// paths, addresses and ready are those of the daemons.
	paths, addresses, ready []string

	mu        sync.Mutex
	random    *rand.Rand
	processes []*harness.Process
	engines   []*releaseEngine
	done      atomic.Bool

	// wentOn and rejected count the take-ups of streams that their callers name; left those of them that were rejected and whose
	// version had fewer than two engines.
	streams, wentOn, rejected, left, unnamed, joined int
}

// releaseEngine writes its version into each event.
type releaseEngine struct {
	*platformtest.Endpoint

	version string
	left    atomic.Bool
}

func (e *releaseEngine) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for id := first + 1; id <= 60; id++ {
		if e.left.Load() {
			panic(http.ErrAbortHandler)
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: version %s.\n\n", id, e.version)
		if err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(releasePause)
	}
}

func newReleasePlay(t *testing.T, seed uint64) *releasePlay {
	p := &releasePlay{t: t, store: platformtest.NewStore(), random: rand.New(rand.NewPCG(seed, 3))}
	t.Cleanup(p.store.Close)
	p.store.Put("op/config", `{"version":1,"routes":[
 {"name":"stream","host":"h","prefix":"/stream/","type":"streaming","timeout_ms":25000,"slo_ms":4500,"service":"model",
  "attempts":5,"resumable":true,"gap_aim_ms":700}],
 "services":[{"name":"model","max_conns":900,"engine":{"kv_capacity":90000,"backups":true,"moves":true,"handle_s":4}}],
 "tenants":[{"name":"t","api_keys":["k"]}]}`)
	for range releaseEngines {
		p.addEngine("v1")
	}
	for i := range releaseDaemons {
		address, ready := harness.FreeAddress(t), harness.FreeAddress(t)
		path := filepath.Join(t.TempDir(), fmt.Sprintf("daemon-%d.toml", i))
		text := fmt.Sprintf("interface = \"forward\"\nplace = \"a\"\nlisten = %q\nreadiness-listen = %q\npeer-listen = %q\n"+
			"operator-listen = %q\nplatform = %q\n[timeouts]\nwatch-wait = \"2s\"\nconnect = \"250ms\"\nplatform = \"700ms\"\n"+
			"[forward]\nretry-slack = 400\nretry-ratio = 10\nmemory-mb = 134\n", address, ready,
			harness.FreeAddress(t), harness.FreeAddress(t), p.store.Address())
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		p.paths, p.addresses, p.ready = append(p.paths, path), append(p.addresses, address), append(p.ready, ready)
		p.processes = append(p.processes, nil)
		p.start(i)
	}
	p.awaitReady()
	return p
}

func (p *releasePlay) start(i int) {
	process := harness.StartProcess(p.t, harness.Binary(p.t), "serve", "--settings", p.paths[i])
	p.mu.Lock()
	defer p.mu.Unlock()
	p.processes[i] = process
}

func (p *releasePlay) awaitReady() {
	for _, ready := range p.ready {
		require.Eventually(p.t, func() bool { return isReady(p.t, ready) }, 20*time.Second, 10*time.Millisecond)
	}
}

func (p *releasePlay) addEngine(version string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := &releaseEngine{Endpoint: platformtest.NewEndpoint(fmt.Sprintf("model-%d", len(p.engines))), version: version}
	p.t.Cleanup(e.Close)
	e.Handler = e.serve
	p.engines = append(p.engines, e)
	entry := strings.Replace(e.Registration("model", "a", "ready", "both"), `"version":"v1"`, fmt.Sprintf(`"version":%q`, version), 1)
	p.store.Put("servers/"+e.ID, strings.Replace(entry, `"slots":4`, `"slots":200`, 1))
}

// release replaces up to count engines of other versions.
func (p *releasePlay) release(version string, count int) {
	p.mu.Lock()
	var old []*releaseEngine
	for _, e := range p.engines {
		if e.version != version && !e.left.Load() && len(old) < count {
			old = append(old, e)
		}
	}
	p.mu.Unlock()
	for _, e := range old {
		p.addEngine(version)
		p.store.Remove("servers/" + e.ID)
		time.AfterFunc(500*time.Millisecond, func() { e.left.Store(true) })
	}
}

// kill kills daemons and starts them again after a while.
func (p *releasePlay) kill(downtime time.Duration, daemons ...int) {
	for _, i := range daemons {
		p.mu.Lock()
		process := p.processes[i]
		p.mu.Unlock()
		process.Kill()
		process.Wait(p.t, 10*time.Second)
	}
	time.Sleep(downtime)
	for _, i := range daemons {
		p.start(i)
	}
	p.awaitReady()
}

func (p *releasePlay) intN(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(n)
}

// runCaller sends one stream after the other.
func (p *releasePlay) runCaller(n int) {
	for k := 0; !p.done.Load(); k++ {
		p.stream(fmt.Sprintf("stream-%d-%d", n, k))
	}
}

// stream sends a stream and takes it up again where it breaks off. A tenth of the callers do not name it then.
func (p *releasePlay) stream(id string) {
	named := p.intN(10) > 0
	events, first, text := 0, "", ""
	for attempt := 0; attempt <= maxTakeUps; attempt++ {
		attemptID := fmt.Sprintf("%s.%d", id, attempt)
		header := ""
		if events > 0 {
			header = fmt.Sprintf("Last-Event-Id: %d\r\n", events)
			if named {
				header += fmt.Sprintf("Resumes: %s\r\n", first)
			}
		}
		serving := p.serving(text)
		status, body, complete := p.send(p.intN(releaseDaemons), attemptID, header)
		got := strings.Count(body, "\n\n")
		if events > 0 && status != 0 {
			p.count(got, min(serving, p.serving(text)), named)
		}
		if events == 0 && got > 0 {
			first = attemptID
		}
		takenUp := events > 0
		events, text = events+got, text+body
		if complete && status == http.StatusOK || takenUp && !named {
			break
		}
		time.Sleep(time.Duration(200+p.intN(400)) * time.Millisecond)
	}
	versions := map[string]bool{}
	for _, e := range []string{"v1", "v2", "v3", "v4"} {
		if strings.Contains(text, "version "+e+".") {
			versions[e] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams++
	if len(versions) > 1 {
		p.joined++
		assert.Fail(p.t, "a stream is joined", "%s: %v", id, versions)
	}
}

// serving returns the number of engines of the version that has begun a stream.
func (p *releasePlay) serving(text string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, e := range p.engines {
		if !e.left.Load() && strings.Contains(text, "version "+e.version+".") {
			count++
		}
	}
	return count
}

// count counts a take-up by its new events and by the engines of its version.
func (p *releasePlay) count(events, serving int, named bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !named:
		p.unnamed++
	case events > 0:
		p.wentOn++
	case serving >= 2:
		p.rejected++
	default:
		p.left++
	}
}

// send sends one request and returns the status, which is 0 without a response, and what of the body has come.
func (p *releasePlay) send(daemon int, id, header string) (status int, body string, complete bool) {
	ctx, cancel := context.WithTimeout(p.t.Context(), 30*time.Second)
	defer cancel()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", p.addresses[daemon])
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /stream/x HTTP/1.1\r\nHost: h\r\nAuthorization: Token k\r\n%s: %s\r\n%s"+
		"X-Radishhollow-Deadline-Ms: 25000\r\nContent-Length: 4\r\n\r\nbody", platformtest.RequestIDHeader, id, header)
	if err != nil {
		return 0, "", false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, "", false
	}
	return response.StatusCode, string(data), err == nil
}

// Guards against streams that are joined from two versions of the engines' software, while releases come in series and one
// daemon or all of them are killed, and against rejecting streams whose version still serves.
func TestForwardReleases(t *testing.T) {
	for n := range *soakSeeds {
		seed := *soakFirstSeed + uint64(n)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			p := newReleasePlay(t, seed)
			var group sync.WaitGroup
			for n := range releaseCallers {
				group.Go(func() { p.runCaller(n) })
			}
			time.Sleep(time.Second)
			for _, version := range []string{"v2", "v3", "v4"} {
				p.release(version, releaseEngines/2)
				time.Sleep(time.Duration(p.intN(1500)) * time.Millisecond)
				p.kill(time.Duration(p.intN(500))*time.Millisecond, p.intN(releaseDaemons))
				time.Sleep(time.Duration(p.intN(1500)) * time.Millisecond)
				p.kill(time.Duration(p.intN(500))*time.Millisecond, 0, 1, 2)
				p.release(version, p.intN(releaseEngines))
			}
			time.Sleep(2 * time.Second)
			p.done.Store(true)
			group.Wait()
			t.Logf("%d streams, %d joined; of the take-ups %d went on, %d were rejected, %d of versions with fewer than two engines, %d unnamed",
				p.streams, p.joined, p.wentOn, p.rejected, p.left, p.unnamed)
			require.Greater(t, p.wentOn, p.rejected, "take-ups while two engines of the version serve")
		})
	}
}
