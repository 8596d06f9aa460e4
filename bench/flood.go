package bench

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Flood offers generations to daemons unevenly, without regard to how many of them still wait.
type Flood struct {
	Fleet *Fleet
	Seed  uint64
	// PerSecond is the arrival rate by workspace.
	PerSecond map[string]float64
	// Reversed is a workspace whose arrivals favour the last daemons; those of all others favour the first.
	Reversed string
	// PromptTokens, Shortest and Longest shape the requests.
	PromptTokens      int
	Shortest, Longest int

	counting atomic.Bool
	client   *http.Client
	group    sync.WaitGroup
	mu       sync.Mutex
	tallies  map[string]*tally
}

// tally counts one workspace's answers.
type tally struct {
	offered, offeredTokens int // in the measured time
	delivered              int // tokens in the measured time
	wasted                 int // tokens of answers that ended with an error
	ended                  int
	running, mostRunning   int
	admitted               []time.Time
	errors                 map[string]int
	wrong, checked         int
}

// unevenDaemons are the parts of the arrivals at the daemons in their order.
var unevenDaemons = []float64{0.4, 0.25, 0.15, 0.1, 0.1}

// Run offers requests until ctx ends.
func (f *Flood) Run(ctx context.Context) {
	f.client = NewHTTP()
	defer f.client.CloseIdleConnections()
	f.tallies = map[string]*tally{}
	for i, w := range f.Fleet.Fields().Workspaces {
		f.tallies[w.Name] = &tally{errors: map[string]int{}}
		rate := f.PerSecond[w.Name]
		if rate > 0 {
			random := rand.New(rand.NewPCG(f.Seed, uint64(i)))
			f.group.Go(func() { f.run(ctx, random, w.Name, rate) })
		}
	}
	f.group.Wait()
}

func (f *Flood) run(ctx context.Context, random *rand.Rand, workspace string, perSecond float64) {
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
		tokens := f.Shortest + random.IntN(f.Longest-f.Shortest+1)
		daemon := f.daemon(random, workspace)
		calls.Go(func() { f.call(ctx, workspace, daemon, prompt, tokens) })
	}
}

func (f *Flood) daemon(random *rand.Rand, workspace string) string {
	nodes := f.Fleet.DaemonNodes()
	drawn, i := random.Float64(), 0
	for i < len(nodes)-1 && drawn > unevenDaemons[i] {
		drawn -= unevenDaemons[i]
		i++
	}
	if workspace == f.Reversed {
		i = len(nodes) - 1 - i
	}
	for nodes[i].stopped() {
		i = random.IntN(len(nodes))
	}
	return nodes[i].Address()
}

func (f *Flood) call(ctx context.Context, workspace, daemon string, prompt []uint32, tokens int) {
	t := f.tallies[workspace]
	held := 0
	f.update(func() {
		if f.counting.Load() {
			t.offered++
			t.offeredTokens += tokens
		}
	})
	g := Generation{Prompt: prompt, Observe: func(g *Generation) {
		f.update(func() {
			if held == 0 {
				t.admitted = append(t.admitted, time.Now())
				t.running++
				t.mostRunning = max(t.mostRunning, t.running)
			}
			if f.counting.Load() {
				t.delivered += len(g.Tokens) - held
			}
			held = len(g.Tokens)
		})
	}}
	c := Caller{Key: exampleKey(workspace), HTTP: f.client}
	err := c.Resume(ctx, daemon, f.Fleet.Fields().Models[0].Name, &g, tokens)
	f.update(func() { t.finish(ctx, g, err, tokens) })
}

func (f *Flood) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (t *tally) finish(ctx context.Context, g Generation, err error, tokens int) {
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
		t.wasted += len(g.Tokens)
	case err != nil && ctx.Err() == nil:
		t.errors["transport"]++
		t.wasted += len(g.Tokens)
	case err == nil:
		t.ended++
	}
}

func (d *Daemon) stopped() bool {
	select {
	case <-d.done:
		return true
	default:
		return d.stopping.Load()
	}
}
