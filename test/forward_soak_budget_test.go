package test

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/io/peer"
	"radishhollow/platform/platformtest"
	"radishhollow/test/arrivals"
	"radishhollow/test/harness"
)

var budgetSeconds = flag.Int("budget-seconds", 14, "duration of the faults of each seed of the retry budget soak in seconds")

const (
	// budgetWindow is shorter than the platform's, so that a run has several of them.
	budgetWindow = 4 * time.Second
	budgetRatio  = 0.8
	budgetSlack  = 150
	// budgetInterval is the time between two requests to one service, over all callers.
	budgetInterval = 22 * time.Millisecond
	// budgetLapse is the time after which the registration of a killed daemon ends.
	budgetLapse = 500 * time.Millisecond
)

// budgetSoak runs daemons as processes that stop, die, start again and lose sight of each other while most endpoints fail,
// and counts what reaches the endpoints.
type budgetSoak struct {
	t             *testing.T
	random        *rand.Rand
	store         *platformtest.Store
	links         []*harness.Link
	settings      []string
	addresses     []string
	peerAddresses []string
	daemons       []*harness.Process
	arrivals      map[string]*arrivals.Counter // by service
	failing       atomic.Bool
}

// newBudgetSoak starts the daemons. If blind is set, they reject each other's messages.
func newBudgetSoak(t *testing.T, seed uint64, daemons int, blind bool) *budgetSoak {
	s := &budgetSoak{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), store: platformtest.NewStore(), daemons: make([]*harness.Process, daemons),
		arrivals: map[string]*arrivals.Counter{"plain": {}, "model": {}},
	}
	t.Cleanup(s.store.Close)
	for service, counter := range s.arrivals {
		for i := range 5 {
			e := platformtest.NewEndpoint(fmt.Sprintf("%s-%d", service, i))
			t.Cleanup(e.Close)
			e.Handler = s.handler(counter)
			s.store.Put("servers/"+e.ID, e.Registration(service, "a", "ready", map[string]string{"model": "both"}[service]))
		}
	}
	s.store.Put("op/config", fmt.Sprintf(`{"version":1,"routes":[
 {"name":"safe","host":"h","prefix":"/plain/","type":"safe","timeout_ms":2000,"service":"plain","attempts":5},
 {"name":"stream","host":"h","prefix":"/model/","type":"streaming","timeout_ms":4000,"slo_ms":2000,"service":"model",
  "attempts":5,"resumable":true,"gap_aim_ms":700}],
 "services":[{"name":"plain","max_conns":900},{"name":"model","max_conns":900,"engine":{"kv_capacity":9000,"handle_s":4}}],
 "tenants":[{"name":"t","api_keys":[%q]}]}`, soakAPIKey))
	for i := range daemons {
		s.addDaemon(blind)
		s.start(i)
	}
	return s
}

// handler counts the arrivals of a service. While failing is set, its endpoints answer with an error.
func (s *budgetSoak) handler(counter *arrivals.Counter) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		counter.Arrived(r.Header.Get(platformtest.RequestIDHeader))
		if s.failing.Load() && rand.IntN(10) > 0 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		platformtest.Events(3, 0)(w, r)
	}
}

func (s *budgetSoak) addDaemon(blind bool) {
	i, keys := len(s.addresses), ""
	if blind {
		keys = fmt.Sprintf("peer-keys = [%q]\n", strings.Repeat(fmt.Sprintf("%02x", i), 32))
	}
	address, peerAddress, link := harness.FreeAddress(s.t), harness.FreeAddress(s.t), harness.NewLink(s.t, s.store.Address())
	path := filepath.Join(s.t.TempDir(), fmt.Sprintf("daemon-%d.toml", i))
	text := fmt.Sprintf("interface = \"forward\"\nplace = \"a\"\nlisten = %q\nreadiness-listen = %q\npeer-listen = %q\n"+
		"operator-listen = %q\nplatform = %q\n%s[timeouts]\nwatch-wait = \"2s\"\nplatform = \"700ms\"\nconnect = \"250ms\"\n"+
		"exchange-interval = \"500ms\"\ndrain-delay = \"300ms\"\ndrain = \"1s\"\nendpoint-idle = \"3s\"\n[forward]\nretry-ratio = %g\n"+
		"retry-slack = %d\nretry-window = %q\n", address, harness.FreeAddress(s.t), peerAddress, harness.FreeAddress(s.t),
		link.Address(), keys, budgetRatio, budgetSlack, budgetWindow)
	require.NoError(s.t, os.WriteFile(path, []byte(text), 0o600))
	s.links, s.settings = append(s.links, link), append(s.settings, path)
	s.addresses, s.peerAddresses = append(s.addresses, address), append(s.peerAddresses, peerAddress)
}

func (s *budgetSoak) start(i int) {
	s.daemons[i] = harness.StartProcess(s.t, harness.Binary(s.t), "serve", "--settings", s.settings[i])
}

// kill kills daemons at the same moment, and starts them again in turn after their registrations have lapsed.
func (s *budgetSoak) kill(indexes []int) {
	var group sync.WaitGroup
	for _, i := range indexes {
		group.Go(s.daemons[i].Kill)
	}
	group.Wait()
	time.Sleep(budgetLapse)
	for _, i := range indexes {
		s.store.Remove(peer.MembersPrefix + s.peerAddresses[i])
	}
	for _, i := range indexes {
		s.start(i)
	}
}

// inject injects one fault and returns its name. Daemons that were stopped are running again when it returns.
func (s *budgetSoak) inject() string {
	indexes := s.random.Perm(len(s.daemons))
	i := indexes[0]
	switch s.random.IntN(5) {
	case 0:
		s.kill(indexes)
		return "kill all"
	case 1:
		s.kill(indexes[:1+s.random.IntN(len(indexes)-1)])
		return "kill some"
	case 2:
		for _, i := range indexes {
			s.kill([]int{i})
		}
		return "kill in turn"
	case 3:
		for _, i := range indexes {
			s.daemons[i].Terminate()
			s.daemons[i].Wait(s.t, 15*time.Second)
			s.start(i)
		}
		return "stop in turn"
	default:
		s.links[i].Partition(s.t)
		s.store.Remove(peer.MembersPrefix + s.peerAddresses[i])
		time.Sleep(budgetWindow / 2)
		s.links[i].Restore(s.t)
		return "lose sight"
	}
}

// runCallers sends requests at a steady rate until stop is closed, each to a random daemon, and waits for the responses.
func (s *budgetSoak) runCallers(stop <-chan struct{}) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 50}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(budgetInterval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
			for service := range s.arrivals {
				group.Go(func() { s.send(client, service, fmt.Sprintf("%s-%d", service, n)) })
			}
		case <-stop:
			return
		}
	}
}

func (s *budgetSoak) send(client *http.Client, service, id string) {
	ctx := httptrace.WithClientTrace(s.t.Context(), &httptrace.ClientTrace{
		WroteHeaders: sync.OnceFunc(s.arrivals[service].Sent),
	})
	url := fmt.Sprintf("http://%s/%s/x", s.addresses[rand.IntN(len(s.addresses))], service)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return
	}
	r.Host = "h"
	r.Header.Set("Authorization", "Token "+soakAPIKey)
	r.Header.Set(platformtest.RequestIDHeader, id)
	if response, err := client.Do(r); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

func (s *budgetSoak) run(duration time.Duration) {
	time.Sleep(time.Second)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { defer close(done); s.runCallers(stop) }()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		s.failing.Store(false)
		time.Sleep(time.Duration(s.random.IntN(int(budgetWindow))))
		s.failing.Store(true)
		for range 1 + s.random.IntN(3) {
			time.Sleep(time.Duration(s.random.IntN(int(budgetWindow / 2))))
			s.t.Logf("fault %s", s.inject())
		}
		time.Sleep(time.Second)
	}
	close(stop)
	<-done
	for service, counter := range s.arrivals {
		over := counter.OverBudget(budgetWindow, budgetRatio, budgetSlack)
		s.t.Logf("%s: %d repeats, %.1f over the budget in the worst window", service, counter.Repeats(), over)
		require.LessOrEqual(s.t, over, 0.0, "%s: repeats beyond the budget that all daemons share", service)
	}
}

// Guards against repeats beyond the retry budget that all daemons share, while daemons stop, die, start again and lose sight
// of each other and most endpoints fail: a process does not know what the one before it, or another one, has spent.
func TestForwardSoakRetryBudget(t *testing.T) {
	for n := range *soakSeeds {
		seed := *soakFirstSeed + uint64(n)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			newBudgetSoak(t, seed, 5, seed%2 == 0).run(time.Duration(*budgetSeconds) * time.Second)
		})
	}
}
