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
	wastedTokens           int // tokens of responses that ended with an error, also outside the measurement
	completed              int
	running, maxRunning    int
	admitted               []time.Time // arrival of each first token
	errors                 map[string]int
	wrong, checked         int
}

// daemonWeights are the fractions of the requests that each daemon receives, in the order of the five daemons of Share.
var daemonWeights = []float64{0.4, 0.25, 0.15, 0.1, 0.1}

// Run sends requests until ctx ends and waits for their responses.
func (l *UnevenLoad) Run(ctx context.Context) {
	l.client = NewHTTPClient()
	defer l.client.CloseIdleConnections()
	l.counts = map[string]*workspaceCounts{}
	for i, w := range l.Fleet.Fields().Workspaces {
		l.counts[w.Name] = &workspaceCounts{errors: map[string]int{}}
		rate := l.RequestsPerSecond[w.Name]
		if rate > 0 {
			random := rand.New(rand.NewPCG(l.Seed, uint64(i)))
			l.group.Go(func() { l.run(ctx, random, w.Name, rate) })
		}
	}
	l.group.Wait()
}

func (l *UnevenLoad) run(ctx context.Context, random *rand.Rand, workspace string, perSecond float64) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for next := time.Now(); ; {
		next = next.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		prompt := make([]uint32, l.PromptTokens)
		for i := range prompt {
			prompt[i] = uint32(random.IntN(30000))
		}
		tokens := l.MinOutputTokens + random.IntN(l.MaxOutputTokens-l.MinOutputTokens+1)
		daemon := l.pickDaemon(random, workspace)
		calls.Go(func() { l.sendRequest(ctx, workspace, daemon, prompt, tokens) })
	}
}

func (l *UnevenLoad) pickDaemon(random *rand.Rand, workspace string) string {
	nodes := l.Fleet.DaemonNodes()
	draw, i := random.Float64(), 0
	for i < len(nodes)-1 && draw > daemonWeights[i] {
		draw -= daemonWeights[i]
		i++
	}
	if workspace == l.ReversedWorkspace {
		i = len(nodes) - 1 - i
	}
	for nodes[i].isStopped() {
		i = random.IntN(len(nodes))
	}
	return nodes[i].Address()
}

func (l *UnevenLoad) sendRequest(ctx context.Context, workspace, daemon string, prompt []uint32, tokens int) {
	counts := l.counts[workspace]
	received := 0
	l.withLock(func() {
		if l.measuring.Load() {
			counts.offered++
			counts.offeredTokens += tokens
		}
	})
	g := Generation{Prompt: prompt, OnEvent: func(g *Generation) {
		l.withLock(func() {
			if received == 0 {
				counts.admitted = append(counts.admitted, time.Now())
				counts.running++
				counts.maxRunning = max(counts.maxRunning, counts.running)
			}
			if l.measuring.Load() {
				counts.deliveredTokens += len(g.Tokens) - received
			}
			received = len(g.Tokens)
		})
	}}
	c := Caller{Key: exampleKey(workspace), HTTP: l.client}
	err := c.Resume(ctx, daemon, l.Fleet.Fields().Models[0].Name, &g, tokens)
	l.withLock(func() { counts.recordEnd(ctx, g, err, tokens) })
}

func (l *UnevenLoad) withLock(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (c *workspaceCounts) recordEnd(ctx context.Context, g Generation, err error, tokens int) {
	if len(g.Tokens) > 0 {
		c.running--
		c.checked++
		if g.Code == "" && err == nil && g.Check(tokens) != nil {
			c.wrong++
		}
	}
	switch {
	case g.Code != "":
		c.errors[g.Code]++
		c.wastedTokens += len(g.Tokens)
	case err != nil && ctx.Err() == nil:
		c.errors["transport"]++
		c.wastedTokens += len(g.Tokens)
	case err == nil:
		c.completed++
	}
}

// isStopped reports whether the daemon has stopped or Stop has been called.
func (d *Daemon) isStopped() bool {
	select {
	case <-d.done:
		return true
	default:
		return d.stopping.Load()
	}
}
