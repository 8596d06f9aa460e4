package bench

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"radishhollow/standin/engine"
)

// maxRestarts bounds how often the caller of a load starts over.
const maxRestarts = 3

// Load sends generations at seeded Poisson arrivals. Exported fields are set before Run.
type Load struct {
	Fleet *Fleet
	Seed  uint64
	// Share is the wanted number of running generations as a share of the engines' slots.
	Share float64
	// PromptTokens is the length of the part of each prompt that no other request shares.
	PromptTokens int
	// Prefixes is the number of shared prefixes of PrefixTokens each, of which every prompt has one; 0 means none.
	Prefixes, PrefixTokens int
	// Shortest and Longest bound the uniform output length.
	Shortest, Longest int
	// For is the time in which requests arrive.
	For time.Duration
	// Cut ends all answers that still run when the time is over.
	Cut bool
	// StartOver makes a caller discard a failed answer and ask again.
	StartOver bool

	random   *rand.Rand
	prefixes [][]uint32
	client   *http.Client
	group    sync.WaitGroup
	mu       sync.Mutex
	answers  []*answer
}

// Run sends requests until the time is over and waits for all answers.
func (l *Load) Run(ctx context.Context) {
	l.random, l.client = rand.New(rand.NewPCG(l.Seed, 1)), NewHTTP()
	defer l.client.CloseIdleConnections()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for range l.Prefixes {
		l.prefixes = append(l.prefixes, l.ids(l.PrefixTokens))
	}
	e := engine.New()
	running := l.Share * float64(l.Fleet.Engines*e.Slots)
	// The load starts at its stationary level: each running answer has a uniform part of its length left.
	for range int(running) {
		l.start(ctx, l.random.Float64())
	}
	batch := l.Share * float64(e.Slots)
	gap := e.TokenGap.Seconds() + max(batch-1, 0)*e.TokenGapPerStream.Seconds()
	perSecond := running / (gap * float64(l.Shortest+l.Longest) / 2)
	end := time.Now().Add(l.For)
	for next := time.Now(); ; {
		next = next.Add(time.Duration(l.random.ExpFloat64() / perSecond * float64(time.Second)))
		if next.After(end) || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(next))
		l.start(ctx, 1)
	}
	if l.Cut {
		cancel()
	}
	l.group.Wait()
}

// ids draws token ids.
func (l *Load) ids(n int) []uint32 {
	ids := make([]uint32, n)
	for i := range ids {
		ids[i] = uint32(l.random.IntN(30000))
	}
	return ids
}

// prompt draws a prompt; prefixes have the popularity of a Zipf distribution.
func (l *Load) prompt() []uint32 {
	if len(l.prefixes) == 0 {
		return l.ids(l.PromptTokens)
	}
	zipf := rand.NewZipf(l.random, 1.1, 1, uint64(len(l.prefixes)-1))
	return append(slices.Clone(l.prefixes[zipf.Uint64()]), l.ids(l.PromptTokens)...)
}

// start begins one request of a random workspace, weighted by its share, at a random daemon.
func (l *Load) start(ctx context.Context, part float64) {
	length := l.Shortest + l.random.IntN(l.Longest-l.Shortest+1)
	a := &answer{
		workspace: l.workspace(), prompt: l.prompt(), arrived: time.Now(),
		maxTokens: max(int(part*float64(length)), 1),
	}
	daemons := l.Fleet.DaemonNodes()
	a.daemon = daemons[l.random.IntN(len(daemons))].Address()
	l.mu.Lock()
	l.answers = append(l.answers, a)
	l.mu.Unlock()
	l.group.Go(func() { l.run(ctx, a) })
}

func (l *Load) workspace() string {
	total := 0.0
	list := l.Fleet.Fields().Workspaces
	for _, w := range list {
		total += w.Share
	}
	drawn := l.random.Float64() * total
	for _, w := range list {
		if drawn -= w.Share; drawn <= 0 {
			return w.Name
		}
	}
	return list[len(list)-1].Name
}

func (l *Load) run(ctx context.Context, a *answer) {
	c := Caller{Key: exampleKey(a.workspace), HTTP: l.client}
	model := l.Fleet.Fields().Models[0].Name
	for try := 0; ; try++ {
		g := Generation{Prompt: a.prompt, Observe: a.observe}
		err := c.Resume(ctx, a.daemon, model, &g, a.maxTokens)
		if !l.StartOver || err == nil && g.Code == "" || try == maxRestarts || ctx.Err() != nil {
			a.finish(g, err)
			return
		}
		a.discarded += len(g.Tokens)
	}
}

// MarkHit marks the answers that run on the endpoints now and returns their number.
func (l *Load) MarkHit(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.answers {
		a.markHit(addresses)
	}
}
