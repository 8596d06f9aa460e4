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

// maxRestarts bounds how often a caller with Load.StartOver repeats a failed request.
const maxRestarts = 3

// Load is an open-loop load of generations: requests arrive as a Poisson process, no matter how many still wait.
// Exported fields must be set before Run. MarkAffected may be called while Run runs.
type Load struct {
	Fleet *Fleet
	Seed  uint64
	// Occupancy is the target number of running generations as a fraction of the engines' slots.
	Occupancy float64
	// PromptTokens is the length of the part of each prompt that is unique to the request.
	PromptTokens int
	// Prefixes is the number of shared prefixes of PrefixTokens each; every prompt starts with one of them. 0 means
	// none.
	Prefixes, PrefixTokens int
	// MinOutputTokens and MaxOutputTokens bound the output length, which is uniformly distributed.
	MinOutputTokens, MaxOutputTokens int
	// Duration is the time during which requests arrive.
	Duration time.Duration
	// CancelAtEnd cancels the requests that still run when Duration is over.
	CancelAtEnd bool
	// StartOver makes a caller discard a failed response and send the request again from the start.
	StartOver bool

	random   *rand.Rand
	prefixes [][]uint32
	client   *http.Client
	group    sync.WaitGroup
	mu       sync.Mutex
	requests []*request
}

// Run sends requests for Duration and waits until all of them have ended.
func (l *Load) Run(ctx context.Context) {
	l.random, l.client = rand.New(rand.NewPCG(l.Seed, 1)), NewHTTPClient()
	defer l.client.CloseIdleConnections()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for range l.Prefixes {
		l.prefixes = append(l.prefixes, l.drawTokenIDs(l.PrefixTokens))
	}
	e := engine.New()
	running := l.Occupancy * float64(l.Fleet.Engines*e.Slots)
	// The load starts at its stationary level: each running request has a uniformly distributed part of its output
	// left.
	for range int(running) {
		l.start(ctx, l.random.Float64())
	}
	batch := l.Occupancy * float64(e.Slots)
	gap := e.TokenGap.Seconds() + max(batch-1, 0)*e.TokenGapPerStream.Seconds()
	perSecond := running / (gap * float64(l.MinOutputTokens+l.MaxOutputTokens) / 2)
	end := time.Now().Add(l.Duration)
	for next := time.Now(); ; {
		next = next.Add(time.Duration(l.random.ExpFloat64() / perSecond * float64(time.Second)))
		if next.After(end) || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(next))
		l.start(ctx, 1)
	}
	if l.CancelAtEnd {
		cancel()
	}
	l.group.Wait()
}

func (l *Load) drawTokenIDs(n int) []uint32 {
	ids := make([]uint32, n)
	for i := range ids {
		ids[i] = uint32(l.random.IntN(30000))
	}
	return ids
}

// drawPrompt returns a random prompt. The prefixes follow a Zipf distribution.
func (l *Load) drawPrompt() []uint32 {
	if len(l.prefixes) == 0 {
		return l.drawTokenIDs(l.PromptTokens)
	}
	zipf := rand.NewZipf(l.random, 1.1, 1, uint64(len(l.prefixes)-1))
	return append(slices.Clone(l.prefixes[zipf.Uint64()]), l.drawTokenIDs(l.PromptTokens)...)
}

// start sends one request to a random daemon for a random workspace, weighted by share. The argument remaining scales
// the drawn output length.
func (l *Load) start(ctx context.Context, remaining float64) {
	length := l.MinOutputTokens + l.random.IntN(l.MaxOutputTokens-l.MinOutputTokens+1)
	req := &request{
		workspace: l.drawWorkspace(), prompt: l.drawPrompt(), arrived: time.Now(),
		maxTokens: max(int(remaining*float64(length)), 1),
	}
	daemons := l.Fleet.DaemonNodes()
	req.daemon = daemons[l.random.IntN(len(daemons))].Address()
	l.mu.Lock()
	l.requests = append(l.requests, req)
	l.mu.Unlock()
	l.group.Go(func() { l.run(ctx, req) })
}

func (l *Load) drawWorkspace() string {
	total := 0.0
	list := l.Fleet.Fields().Workspaces
	for _, w := range list {
		total += w.Share
	}
	draw := l.random.Float64() * total
	for _, w := range list {
		if draw -= w.Share; draw <= 0 {
			return w.Name
		}
	}
	return list[len(list)-1].Name
}

func (l *Load) run(ctx context.Context, req *request) {
	c := Caller{Key: exampleKey(req.workspace), HTTP: l.client}
	model := l.Fleet.Fields().Models[0].Name
	for restarts := 0; ; restarts++ {
		g := Generation{Prompt: req.prompt, OnEvent: req.observe}
		err := c.Resume(ctx, req.daemon, model, &g, req.maxTokens)
		if !l.StartOver || err == nil && g.Code == "" || restarts == maxRestarts || ctx.Err() != nil {
			req.finish(g, err)
			return
		}
		req.discarded += len(g.Tokens)
	}
}

// MarkAffected marks the requests that currently run on one of the endpoints.
func (l *Load) MarkAffected(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, req := range l.requests {
		req.markAffected(addresses)
	}
}
