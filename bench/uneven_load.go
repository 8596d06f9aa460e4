package bench

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// UnevenLoad is an open-loop load of generations: requests arrive at a fixed mean rate, no matter how many still wait.
// They are distributed unevenly over the daemons. Exported fields must be set before Run.
type UnevenLoad struct {
	Fleet *Fleet
	Seed  uint64
	// RequestsPerSecond is the mean arrival rate by workspace.
	RequestsPerSecond map[string]float64
	// ReversedWorkspace sends most of its requests to the last daemons; all other workspaces send most to the first.
	ReversedWorkspace string
	// PromptTokens is the prompt length. The output length is uniform between MinOutputTokens and MaxOutputTokens.
	PromptTokens                     int
	MinOutputTokens, MaxOutputTokens int

	measuring atomic.Bool
	client    *http.Client
	group     sync.WaitGroup
	mu        sync.Mutex
	counts    map[string]*workspaceCounts
}

// workspaceCounts holds the counters of one workspace's requests.
type workspaceCounts struct {
	offered, offeredTokens int // during the measurement
	deliveredTokens        int // tokens during the measurement
	wastedTokens           int // tokens of responses that ended with an error
	completed              int
	running, maxRunning    int
	admitted               []time.Time
	errors                 map[string]int
	wrong, checked         int
}

// daemonWeights are the fractions of the requests that each daemon receives, in the order of the daemons.
var daemonWeights = []float64{0.4, 0.25, 0.15, 0.1, 0.1}

// Run sends requests until ctx ends and waits for their responses.
func (f *UnevenLoad) Run(ctx context.Context) {
	f.client = NewHTTPClient()
	defer f.client.CloseIdleConnections()
	f.counts = map[string]*workspaceCounts{}
	for i, w := range f.Fleet.Fields().Workspaces {
		f.counts[w.Name] = &workspaceCounts{errors: map[string]int{}}
		rate := f.RequestsPerSecond[w.Name]
		if rate > 0 {
			random := rand.New(rand.NewPCG(f.Seed, uint64(i)))
			f.group.Go(func() { f.run(ctx, random, w.Name, rate) })
		}
	}
	f.group.Wait()
}

func (f *UnevenLoad) run(ctx context.Context, random *rand.Rand, workspace string, perSecond float64) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for next := time.Now(); ; {
		next = next.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		prompt := make([]uint32, f.PromptTokens)
		for i := range prompt {
			prompt[i] = uint32(random.IntN(30000))
		}
		tokens := f.MinOutputTokens + random.IntN(f.MaxOutputTokens-f.MinOutputTokens+1)
		daemon := f.pickDaemon(random, workspace)
		calls.Go(func() { f.sendRequest(ctx, workspace, daemon, prompt, tokens) })
	}
}

func (f *UnevenLoad) pickDaemon(random *rand.Rand, workspace string) string {
	nodes := f.Fleet.DaemonNodes()
	draw, i := random.Float64(), 0
	for i < len(nodes)-1 && draw > daemonWeights[i] {
		draw -= daemonWeights[i]
		i++
	}
	if workspace == f.ReversedWorkspace {
		i = len(nodes) - 1 - i
	}
	for nodes[i].isStopped() {
		i = random.IntN(len(nodes))
	}
	return nodes[i].Address()
}

func (f *UnevenLoad) sendRequest(ctx context.Context, workspace, daemon string, prompt []uint32, tokens int) {
	counts := f.counts[workspace]
	received := 0
	f.withLock(func() {
		if f.measuring.Load() {
			counts.offered++
			counts.offeredTokens += tokens
		}
	})
	g := Generation{Prompt: prompt, OnEvent: func(g *Generation) {
		f.withLock(func() {
			if received == 0 {
				counts.admitted = append(counts.admitted, time.Now())
				counts.running++
				counts.maxRunning = max(counts.maxRunning, counts.running)
			}
			if f.measuring.Load() {
				counts.deliveredTokens += len(g.Tokens) - received
			}
			received = len(g.Tokens)
		})
	}}
	c := Caller{Key: exampleKey(workspace), HTTP: f.client}
	err := c.Resume(ctx, daemon, f.Fleet.Fields().Models[0].Name, &g, tokens)
	f.withLock(func() { counts.recordEnd(ctx, g, err, tokens) })
}

func (f *UnevenLoad) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (t *workspaceCounts) recordEnd(ctx context.Context, g Generation, err error, tokens int) {
	if len(g.Tokens) > 0 {
		t.running--
		t.checked++
		if g.Code == "" && err == nil && g.Check(tokens) != nil {
			t.wrong++
		}
	}
	switch {
	case g.Code != "":
		t.errors[g.Code]++
		t.wastedTokens += len(g.Tokens)
	case err != nil && ctx.Err() == nil:
		t.errors["transport"]++
		t.wastedTokens += len(g.Tokens)
	case err == nil:
		t.completed++
	}
}

func (d *Daemon) isStopped() bool {
	select {
	case <-d.done:
		return true
	default:
		return d.stopping.Load()
	}
}
