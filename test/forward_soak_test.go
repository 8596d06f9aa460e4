package test

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"radishhollow/platform/platformtest"
	"radishhollow/test/harness"
)

var (
	soakSeeds   = flag.Int("soak-seeds", 1, "number of seeds of the fault soak")
	soakFirst   = flag.Uint64("soak-first", 1, "first seed of the fault soak")
	soakSeconds = flag.Int("soak-seconds", 6, "length of the faults of one seed in seconds")
)

const (
	soakDaemons = 3
	soakEvents  = 12
	soakKey     = "soak-key"
	// soakPace is the pause between the events of a slow stream, below the silence after which an engine is given up.
	soakPace = 150 * time.Millisecond
)

// soak is one run of daemons as processes, with faults from outside. It checks what callers and endpoints see.
type soak struct {
	t        *testing.T
	random   *rand.Rand
	store    *platformtest.Store
	links    []*harness.Link // to the store, by daemon
	settings []string
	entries  []string
	daemons  []*harness.Process
	runners  []*soakRunner
	version  int

	lastDaemon, lastRunner int

	mu      sync.Mutex
	runs    map[string]int // of bookings by request id
	refused []string       // ids of bookings that were answered as not run
	served  map[string]int
	stopped bool
}

// soakRunner is one endpoint behind a link of its own.
type soakRunner struct {
	runner  *platformtest.Endpoint
	link    *harness.Link
	service string
	phase   string
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), store: platformtest.NewStore(), runs: map[string]int{},
		served: map[string]int{},
	}
	t.Cleanup(s.store.Close)
	for i := range 5 {
		s.addRunner(fmt.Sprintf("model-%d", i), "model", "both", s.stream)
	}
	for i := range 3 {
		s.addRunner(fmt.Sprintf("plain-%d", i), "plain", "", s.book)
	}
	s.configure()
	for i := range soakDaemons {
		s.addDaemon(i)
	}
	return s
}

func (s *soak) addRunner(id, service, phase string, answer func(http.ResponseWriter, *http.Request)) {
	r := &soakRunner{runner: platformtest.NewEndpoint(id), service: service, phase: phase}
	s.t.Cleanup(r.runner.Close)
	r.runner.Handler = answer
	r.link = harness.Proxy(s.t, r.runner.Address())
	s.runners = append(s.runners, r)
	s.register(r, "ready")
}

func (s *soak) register(r *soakRunner, state string) {
	entry := r.runner.Registration(r.service, "a", state, r.phase)
	s.store.Put("servers/"+r.runner.ID, strings.Replace(entry, r.runner.Address(), r.link.Address(), 1))
}

// configure puts the next version in force; each has a route of its own beside those that stay.
func (s *soak) configure() {
	s.version += 1 + s.random.IntN(3)
	s.store.Put("op/config", fmt.Sprintf(`{"version":%d,"routes":[
 {"name":"once","host":"h","prefix":"/once/","type":"unsafe","timeout_ms":2000,"service":"plain","attempts":1},
 {"name":"version","host":"h","prefix":"/version/%d/","type":"safe","timeout_ms":2000,"service":"plain","attempts":2},
 {"name":"stream","host":"h","prefix":"/stream/","type":"streaming","timeout_ms":8000,"slo_ms":2000,"service":"model",
  "attempts":5,"resumable":true,"gap_aim_ms":700}],
 "services":[{"name":"plain","max_conns":90},{"name":"model","max_conns":90,"engine":{"kv_capacity":9000,"backups":true,"moves":true,
  "handle_s":4}}],
 "tenants":[{"name":"t","api_keys":[%q]}]}`, s.version, s.version, soakKey))
}

func (s *soak) addDaemon(i int) {
	link := harness.Proxy(s.t, s.store.Address())
	entry := harness.FreeAddress(s.t)
	path := filepath.Join(s.t.TempDir(), fmt.Sprintf("daemon-%d.toml", i))
	text := fmt.Sprintf("interface = \"forward\"\nplace = \"a\"\nlisten = %q\nreadiness-listen = %q\npeer-listen = %q\n"+
		"operator-listen = %q\nplatform = %q\n[timeouts]\nwatch-wait = \"2s\"\nplatform = \"700ms\"\nconnect = \"250ms\"\n"+
		"exchange-interval = \"500ms\"\ndrain-delay = \"300ms\"\ndrain = \"6s\"\nendpoint-idle = \"3s\"\n[forward]\nretry-slack = 400\n",
		entry, harness.FreeAddress(s.t), harness.FreeAddress(s.t), harness.FreeAddress(s.t), link.Address())
	require.NoError(s.t, os.WriteFile(path, []byte(text), 0o600))
	s.links, s.settings, s.entries = append(s.links, link), append(s.settings, path), append(s.entries, entry)
	s.daemons = append(s.daemons, nil)
	s.startDaemon(i)
}

func (s *soak) startDaemon(i int) {
	s.daemons[i] = harness.Start(s.t, harness.Binary(s.t), "serve", "--settings", s.settings[i])
}

// stream answers with the events that the caller lacks, and sometimes breaks off within one. Some streams take so long that
// the engine with the copy of their memory may be lost meanwhile.
func (s *soak) stream(w http.ResponseWriter, r *http.Request) {
	if rand.IntN(16) == 0 {
		platformtest.SlowEvents(soakEvents, soakPace)(w, r)
		return
	}
	cut := 0
	if rand.IntN(3) == 0 {
		cut = 1 + rand.IntN(soakEvents-1)
	}
	if last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")); cut <= last {
		cut = 0
	}
	platformtest.Events(soakEvents, cut)(w, r)
}

// book counts a run, or refuses. Some answers are lost.
func (s *soak) book(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platformtest.RequestIDHeader)
	if rand.IntN(8) == 0 {
		w.Header().Del(platformtest.SignatureHeader)
		w.Header().Set("X-Radishhollow-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/once/") {
		s.mu.Lock()
		s.runs[id]++
		s.mu.Unlock()
	}
	if rand.IntN(8) == 0 {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "booked "+id)
}

// runCaller sends requests until the soak ends.
func (s *soak) runCaller(n int) {
	client := &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := 0; !s.ended(); i++ {
		id := fmt.Sprintf("caller-%d-%d", n, i)
		kind := []string{"/once/x", "/stream/x"}[rand.IntN(2)]
		r, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+s.entries[rand.IntN(soakDaemons)]+kind, nil)
		if !assert.NoError(s.t, err) { //nolint:testifylint // The method runs in another goroutine than the test.
			return
		}
		r.Host = "h"
		r.Header.Set("Authorization", "Token "+soakKey)
		r.Header.Set(platformtest.RequestIDHeader, id)
		response, err := client.Do(r)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		s.check(kind, id, response, string(body), err == nil)
	}
}

func (s *soak) check(kind, id string, response *http.Response, body string, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := response.StatusCode
	assert.NotContains(s.t, []int{http.StatusUnauthorized, http.StatusNotFound}, status, "%s is allowed by every version", id)
	switch {
	case status == http.StatusServiceUnavailable && kind == "/once/x":
		s.refused = append(s.refused, id)
	case status != http.StatusOK:
	case kind == "/once/x" && whole:
		assert.Equal(s.t, "booked "+id, body)
		s.served[kind]++
	case kind == "/stream/x":
		want := ""
		for n := 1; n <= soakEvents; n++ {
			want += fmt.Sprintf("id: %d\ndata: part %d\n\n", n, n)
		}
		assert.True(s.t, strings.HasPrefix(want, body), "%s: a piece is missing, repeated or broken:\n%s", id, body)
		if whole {
			assert.Equal(s.t, want, body, "%s looks complete", id)
			s.served[kind]++
		}
	}
}

func (s *soak) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// fault brings one fault about on a daemon or an endpoint other than those of the last one, and returns the function that
// ends it.
func (s *soak) fault() (name string, heal func()) {
	s.lastDaemon = (s.lastDaemon + 1 + s.random.IntN(soakDaemons-1)) % soakDaemons
	s.lastRunner = (s.lastRunner + 1 + s.random.IntN(len(s.runners)-1)) % len(s.runners)
	i, r := s.lastDaemon, s.runners[s.lastRunner]
	switch s.random.IntN(14) {
	case 0:
		s.daemons[i].Pause(s.t)
		return "pause", s.daemons[i].Continue
	case 1:
		s.daemons[i].Kill()
		s.daemons[i].Wait(s.t, 10*time.Second)
		return "kill", func() { s.startDaemon(i) }
	case 2:
		s.daemons[i].Terminate()
		return "terminate", func() {
			s.daemons[i].Wait(s.t, 15*time.Second)
			s.startDaemon(i)
		}
	case 3:
		s.links[i].Cut()
		return "store-cut", func() { s.links[i].Restore(s.t) }
	case 4:
		s.links[i].Partition(s.t)
		return "store-silent", func() { s.links[i].Restore(s.t) }
	case 5:
		r.link.Cut()
		return "endpoint-cut", func() { r.link.Restore(s.t) }
	case 6:
		r.link.Delay(s.t, time.Duration(20+s.random.IntN(200))*time.Millisecond)
		return "endpoint-slow", func() { r.link.Restore(s.t) }
	case 7:
		s.register(r, "draining")
		return "leaving", func() { s.register(r, "ready") }
	case 8:
		s.links[i].PartitionOneWay(s.t, harness.Downstream)
		return "store-answers-lost", func() { s.links[i].Restore(s.t) }
	case 9:
		r.link.PartitionOneWay(s.t, harness.Downstream)
		return "endpoint-answers-lost", func() { r.link.Restore(s.t) }
	case 10:
		r.link.PartitionOneWay(s.t, harness.Upstream)
		return "endpoint-questions-lost", func() { r.link.Restore(s.t) }
	case 11:
		r.link.Reset(s.t)
		return "endpoint-reset", func() { r.link.Restore(s.t) }
	case 12:
		s.store.Remove("servers/" + r.runner.ID)
		return "endpoint-gone", func() { s.register(r, "ready") }
	default:
		s.configure()
		return "configuration", func() {}
	}
}

// runFaults brings faults about in series and overlapping, at most two at a time.
func (s *soak) runFaults(length time.Duration) {
	var heals []func()
	for end := time.Now().Add(length); time.Now().Before(end); {
		name, heal := s.fault()
		s.t.Logf("fault %s", name)
		if heals = append(heals, heal); len(heals) == 2 {
			heals[0]()
			heals = heals[1:]
		}
		time.Sleep(time.Duration(200+s.random.IntN(500)) * time.Millisecond)
	}
	for _, heal := range heals {
		heal()
	}
}

// awaitService waits until each daemon serves the newest version of the configuration.
func (s *soak) awaitService() {
	for i := range s.entries {
		require.Eventually(s.t, func() bool {
			url := fmt.Sprintf("http://%s/version/%d/x", s.entries[i], s.version)
			r, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, url, nil)
			require.NoError(s.t, err)
			r.Host = "h"
			r.Header.Set("Authorization", "Token "+soakKey)
			r.Header.Set(platformtest.RequestIDHeader, "probe")
			response, err := http.DefaultClient.Do(r)
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		}, 20*time.Second, 50*time.Millisecond, "daemon %d does not serve version %d", i, s.version)
	}
}

func (s *soak) run(length time.Duration) {
	s.awaitService()
	var callers sync.WaitGroup
	for n := range 6 {
		callers.Go(func() { s.runCaller(n) })
	}
	s.runFaults(length)
	s.awaitService()
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	callers.Wait()
	for id, runs := range s.runs {
		require.LessOrEqual(s.t, runs, 1, "booking %s ran more than once", id)
	}
	for _, id := range s.refused {
		require.Zero(s.t, s.runs[id], "booking %s was refused as not run", id)
	}
	s.t.Logf("served %v, %d bookings ran, %d refused", s.served, len(s.runs), len(s.refused))
	require.Positive(s.t, s.served["/once/x"])
	require.Positive(s.t, s.served["/stream/x"])
}

// Guards against broken promises to callers while processes, links, the store, endpoints and the configuration fail in
// series and overlapping: whole streams, bookings at most once, true refusals, no request refused that every version
// allows, and service after the faults.
func TestForwardSoak(t *testing.T) {
	for n := range *soakSeeds {
		seed := *soakFirst + uint64(n)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			newSoak(t, seed).run(time.Duration(*soakSeconds) * time.Second)
		})
	}
}
