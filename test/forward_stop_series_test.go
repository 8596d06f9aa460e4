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
	"strings"
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
	stopDaemons = flag.Int("stop-daemons", 5, "number of daemons in the test of a series of stops")
	stopStreams = flag.Duration("stop-interval", 80*time.Millisecond, "time between two streams in the test of a series of stops")
)

const (
	// seriesGrace is the time between SIGTERM and SIGKILL. Streams take about as long.
	seriesGrace = 8 * time.Second
	// seriesOutlives is the time after SIGTERM up to which a request may be taken although the kill may cut it.
	seriesOutlives = 3 * time.Second
	// seriesWait and seriesPause are the longest time before the first event of a stream and the time between its events.
	seriesWait  = 2 * time.Second
	seriesPause = 30 * time.Millisecond
)

// stopSeries runs daemons as processes that are stopped in one short series, and killed if they have not ended after the
// grace time, under streams that take about as long.
type stopSeries struct {
	t         *testing.T
	random    *rand.Rand
	store     *platformtest.Store
	addresses []string
	daemons   []*harness.Process

	mu        sync.Mutex
	stoppedAt []time.Time
	// arrived holds the ids of the requests that have reached an endpoint.
	arrived map[string]bool
	ends    map[string]int
}

func newStopSeries(t *testing.T, seed uint64) *stopSeries {
	s := &stopSeries{
		t: t, random: rand.New(rand.NewPCG(seed, 2)), store: platformtest.NewStore(), stoppedAt: make([]time.Time, *stopDaemons),
		arrived: map[string]bool{}, ends: map[string]int{},
	}
	t.Cleanup(s.store.Close)
	for i := range 6 {
		e := platformtest.NewEndpoint(fmt.Sprintf("model-%d", i))
		t.Cleanup(e.Close)
		e.Handler = s.serve
		s.store.Put("servers/"+e.ID, e.Registration("model", "a", "ready", "both"))
	}
	s.store.Put("op/config", `{"version":1,"routes":[
 {"name":"stream","host":"h","prefix":"/stream/","type":"streaming","timeout_ms":25000,"slo_ms":4500,"service":"model",
  "attempts":5,"resumable":true,"gap_aim_ms":700}],
 "services":[{"name":"model","max_conns":900,"engine":{"kv_capacity":90000,"backups":true,"moves":true,"handle_s":4}}],
 "tenants":[{"name":"t","api_keys":["k"]}]}`)
	for i := range *stopDaemons {
		address, ready := harness.FreeAddress(t), harness.FreeAddress(t)
		path := filepath.Join(t.TempDir(), fmt.Sprintf("daemon-%d.toml", i))
		text := fmt.Sprintf("interface = \"forward\"\nplace = \"a\"\nlisten = %q\nreadiness-listen = %q\npeer-listen = %q\n"+
			"operator-listen = %q\nplatform = %q\n[timeouts]\nwatch-wait = \"2s\"\nconnect = \"250ms\"\ndrain-delay = \"2500ms\"\n"+
			"drain = %q\n[forward]\nretry-slack = 400\nretry-ratio = 0.8\nstop-grace = %q\nmemory-mb = 134\n", address, ready,
			harness.FreeAddress(t), harness.FreeAddress(t), s.store.Address(), seriesGrace, seriesGrace)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		s.addresses = append(s.addresses, address)
		s.daemons = append(s.daemons, harness.StartProcess(t, harness.Binary(t), "serve", "--settings", path))
		require.Eventually(t, func() bool { return isReady(t, ready) }, 20*time.Second, 10*time.Millisecond)
	}
	return s
}

// serve sends the header of a stream with its first event, as engines do.
func (s *stopSeries) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.arrived[r.Header.Get(platformtest.RequestIDHeader)] = true
	s.mu.Unlock()
	select {
	case <-time.After(seriesWait/2 + rand.N(seriesWait/2)):
	case <-r.Context().Done():
		return
	}
	platformtest.SlowEvents(150+rand.IntN(130), seriesPause)(w, r)
}

// stop stops a daemon, at times with further signals, and kills it after the grace time. It reports whether the daemon ended
// by itself.
func (s *stopSeries) stop(i int, signals []syscall.Signal) (ended bool) {
	daemon := s.daemons[i]
	s.mu.Lock()
	s.stoppedAt[i] = time.Now()
	s.mu.Unlock()
	daemon.Terminate()
	kill := time.AfterFunc(seriesGrace, daemon.Kill)
	for _, signal := range signals {
		_ = syscall.Kill(daemon.PID(), signal)
	}
	daemon.Wait(s.t, seriesGrace+10*time.Second)
	return kill.Stop()
}

// runCallers starts a caller in each interval until the daemons have ended.
func (s *stopSeries) runCallers(done <-chan struct{}) {
	ticker := time.NewTicker(*stopStreams)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
			group.Go(func() { s.runCaller(n) })
		case <-done:
			return
		}
	}
}

// runCaller sends requests on one connection, up to the end of the connection, or on one for each request. A stream that is
// refused or cut goes on at the next daemon.
func (s *stopSeries) runCaller(n int) {
	keep := n%2 == 0
	last := 0
	for attempt := range 4 {
		i := (n + attempt) % len(s.addresses)
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(s.t.Context(), "tcp", s.addresses[i])
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(time.Minute))
		reader := bufio.NewReader(conn)
		complete, usable := true, true
		for k := 0; complete && usable && (k == 0 || keep); k++ {
			var events int
			events, complete, usable = s.stream(conn, reader, i, fmt.Sprintf("stream-%d-%d-%d", n, attempt, k), last)
			if last += events; complete {
				last = 0
			}
		}
		_ = conn.Close()
		if complete {
			return
		}
	}
}

// stream sends one request, reads its response and checks how it ends. It returns the number of events, and whether the
// response is a complete stream and the connection may be used again.
func (s *stopSeries) stream(conn net.Conn, reader *bufio.Reader, i int, id string, last int) (events int, complete, usable bool) {
	sentAt := time.Now()
	_, err := fmt.Fprintf(conn, "POST /stream/x HTTP/1.1\r\nHost: h\r\nAuthorization: Token k\r\n%s: %s\r\n"+
		"X-Radishhollow-Deadline-Ms: 25000\r\nLast-Event-Id: %d\r\nContent-Length: 4\r\n\r\nbody", platformtest.RequestIDHeader, id, last)
	if err != nil {
		return 0, false, false
	}
	response, err := http.ReadResponse(reader, nil)
	status := 0
	var body []byte
	if err == nil {
		status = response.StatusCode
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		usable = err == nil && !response.Close
	}
	s.check(i, id, sentAt, status, err)
	if status == http.StatusServiceUnavailable {
		time.Sleep(50 * time.Millisecond)
	}
	return strings.Count(string(body), "\n\n"), err == nil && status == http.StatusOK, usable
}

// check checks the end of one response. Only a stream that was taken early in the stop may be cut, and only by the end of
// the grace time.
func (s *stopSeries) check(i int, id string, sentAt time.Time, status int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stoppedAt := s.stoppedAt[i]
	what := fmt.Sprintf("%s at daemon %d, sent %s and ended %s after SIGTERM, status %d, error %v", id, i,
		sentAt.Sub(stoppedAt).Round(time.Millisecond), time.Since(stoppedAt).Round(time.Millisecond), status, err)
	switch {
	case err == nil:
		s.ends[strconv.Itoa(status)]++
	case !s.arrived[id]:
		s.ends["not passed on"]++
	case status == 0:
		s.ends["no response"]++
		assert.Fail(s.t, "a request that was passed on has no response", what)
	default:
		s.ends["cut"]++
		early := !stoppedAt.IsZero() && sentAt.Sub(stoppedAt) <= seriesOutlives
		assert.True(s.t, early && time.Since(stoppedAt) >= seriesGrace*5/6, "a stream was cut: %s", what)
	}
}

// checkLogs checks that the log of a daemon names each request that it has passed on.
func (s *stopSeries) checkLogs() {
	logged := map[string]bool{}
	for i, daemon := range s.daemons {
		output := daemon.Output()
		for line := range strings.Lines(output) {
			if _, rest, found := strings.Cut(line, `"msg":"request ended"`); found {
				_, rest, _ = strings.Cut(rest, `"request":"`)
				id, _, _ := strings.Cut(rest, `"`)
				logged[id] = true
			}
		}
		assert.Regexp(s.t, `"msg":"requests ended".*"unfinished":0`, output, "daemon %d", i)
		assert.Regexp(s.t, `"dropped-lines":0.*"msg":"daemon ends"`, output, "daemon %d", i)
	}
	for id := range s.arrived {
		assert.True(s.t, logged[id], "no log has the end of %s", id)
	}
}

// Guards against a request that a stopping daemon has passed on and that ends without an answer, while all daemons stop in
// a short series with streams that outlast the grace time.
func TestForwardStopSeries(t *testing.T) {
	for n := range *soakSeeds {
		seed := *soakFirstSeed + uint64(n)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			s := newStopSeries(t, seed)
			done, ended := make(chan struct{}), make(chan struct{})
			go func() { defer close(ended); s.runCallers(done) }()
			time.Sleep(time.Duration(3+s.random.IntN(10)) * time.Second)
			var group sync.WaitGroup
			for i := range s.daemons {
				signals := [][]syscall.Signal{nil, nil, {syscall.SIGTERM}, {syscall.SIGHUP}, {syscall.SIGHUP, syscall.SIGTERM}}[s.random.IntN(5)]
				group.Go(func() { assert.True(t, s.stop(i, signals), "daemon %d was killed", i) })
				time.Sleep(time.Duration(s.random.Int64N(int64(400 * time.Millisecond))))
			}
			group.Wait()
			close(done)
			<-ended
			s.checkLogs()
			t.Logf("ends of the streams: %v", s.ends)
		})
	}
}
