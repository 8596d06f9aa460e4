package route_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/route"
)

var (
	modelSeeds   = flag.Int("model.seeds", 1, "seeds per variant of TestChoiceModel")
	modelSeconds = flag.Int("model.seconds", 20, "simulated seconds of TestChoiceModel")
	modelOwnLag  = flag.Duration("model.own-lag", 400*time.Millisecond, "Policy.ReportLag of TestChoiceModel")
	modelRate    = flag.Float64("model.rate", 24, "mean requests per second of TestChoiceModel")
)

const (
	modelStep    = 10 * time.Millisecond
	modelPoll    = 250 * time.Millisecond
	modelLag     = 200 * time.Millisecond
	modelEngines = 20
	modelDaemons = 5
	modelSlots   = 16
	modelRefill  = 3000.0 // prefill tokens per second
	modelBlocks  = 1500
	modelGap     = 0.02 // seconds per token of an empty batch; a full batch doubles it
)

type modelRequest struct {
	arrived time.Duration
	prefill float64
	output  float64
	blocks  []uint64
	choice  route.Choice
}

type modelReport struct {
	at     time.Duration
	report route.Report
	events []route.CacheEvent
}

// modelEngine prefills its requests in order and decodes them in one batch.
type modelEngine struct {
	address string
	waiting []*modelRequest
	running []*modelRequest
	cache   map[uint64]int // block to the tick of its last use
	tick    int
	events  []route.CacheEvent
	reports []modelReport
}

func (e *modelEngine) admit(r *modelRequest, prompt int) {
	e.tick++
	hit := 0
	for hit < len(r.blocks) && e.cache[r.blocks[hit]] > 0 {
		hit++
	}
	for _, b := range r.blocks {
		if e.cache[b] == 0 {
			e.events = append(e.events, route.CacheEvent{Kind: route.CacheStored, Block: b})
		}
		e.cache[b] = e.tick
	}
	for len(e.cache) > modelBlocks {
		e.evict()
	}
	r.prefill = float64(max(prompt-hit*route.BlockTokens, 1))
	e.waiting = append(e.waiting, r)
}

// evict drops the blocks of the prompt used longest ago.
func (e *modelEngine) evict() {
	oldest := math.MaxInt
	for _, tick := range e.cache {
		oldest = min(oldest, tick)
	}
	var evicted []uint64
	for b, tick := range e.cache {
		if tick == oldest {
			evicted = append(evicted, b)
		}
	}
	slices.Sort(evicted) // map order would make runs of one seed differ
	for _, b := range evicted {
		delete(e.cache, b)
		e.events = append(e.events, route.CacheEvent{Kind: route.CacheEvicted, Block: b})
	}
}

func (e *modelEngine) gap() float64 {
	return modelGap * (1 + float64(len(e.running))/modelSlots)
}

func (e *modelEngine) step(now time.Duration, done func(*modelRequest)) {
	tokens := modelStep.Seconds() / e.gap()
	e.running = slices.DeleteFunc(e.running, func(r *modelRequest) bool {
		r.output -= tokens
		if r.output <= 0 {
			done(r)
		}
		return r.output <= 0
	})
	budget := modelRefill * modelStep.Seconds()
	for budget > 0 && len(e.waiting) > 0 && len(e.running) < modelSlots {
		r := e.waiting[0]
		used := min(budget, r.prefill)
		r.prefill -= used
		budget -= used
		if r.prefill <= 0 {
			e.waiting = e.waiting[1:]
			e.running = append(e.running, r)
			r.arrived = now - r.arrived
		}
	}
}

func (e *modelEngine) snapshot(now time.Duration, sequence uint64) {
	prefill := 0.0
	for _, r := range e.waiting {
		prefill += r.prefill
	}
	e.reports = append(e.reports, modelReport{at: now, events: e.events, report: route.Report{
		Address: e.address, Incarnation: "1", State: route.StateReady, Sequence: sequence,
		Running: len(e.running), Waiting: len(e.waiting), Slots: modelSlots, CacheBlocks: modelBlocks,
		CacheBlocksUsed: len(e.cache), WaitingPrefillTokens: int(prefill), PrefillRate: modelRefill,
		TokenGap: time.Duration(e.gap() * float64(time.Second)), Role: "mixed", Specs: []string{"m@1"},
	}})
	e.events = nil
}

type modelRun struct {
	random  *rand.Rand
	tables  []*route.Table
	engines map[string]*modelEngine
	order   []*modelEngine
	waits   []float64
	prefill float64
	prompts float64
}

func newModelRun(policy route.Policy, seed uint64) *modelRun {
	m := &modelRun{random: rand.New(rand.NewPCG(seed, 7)), engines: make(map[string]*modelEngine)}
	var list []route.Listing
	for i := range modelEngines {
		address := fmt.Sprintf("127.0.0.1:%d", 9000+i)
		e := &modelEngine{address: address, cache: make(map[uint64]int)}
		m.engines[address] = e
		m.order = append(m.order, e)
		list = append(list, route.Listing{
			Address: address, Incarnation: "1", Place: fmt.Sprint(i % 4), Kind: route.KindModel, Name: "m",
		})
	}
	for i := range modelDaemons {
		policy.Seed = seed*100 + uint64(i)
		t := route.New(fmt.Sprint("daemon-", i), policy)
		t.Sync(list)
		m.tables = append(m.tables, t)
	}
	return m
}

// arrive sends one request with a prefix shared with others; popular prefixes are more frequent.
func (m *modelRun) arrive(t *testing.T, now time.Duration) {
	prefix := int(40 * math.Pow(m.random.Float64(), 2))
	prompt := make([]uint32, 512+prefix%4*512, 4096)
	for i := range prompt {
		prompt[i] = uint32(prefix*100000 + i)
	}
	for range 64 + m.random.IntN(448) {
		prompt = append(prompt, m.random.Uint32())
	}
	output := 50 + m.random.ExpFloat64()*150
	need := route.Criteria{Kind: route.KindModel, Name: "m", Prompt: prompt, MaxTokens: 512}
	choice, err := m.tables[m.random.IntN(modelDaemons)].Pick(t.Context(), need)
	require.NoError(t, err)
	r := &modelRequest{arrived: now, output: output, blocks: route.Blocks(prompt), choice: choice}
	m.engines[choice.Address()].admit(r, len(prompt))
	m.prefill += r.prefill
	m.prompts += float64(len(prompt))
}

// poll delivers reports that are modelLag old, and their cache events with one in ten lost.
func (m *modelRun) poll(now time.Duration) {
	for _, e := range m.order {
		for len(e.reports) > 1 && e.reports[1].at <= now-modelLag {
			e.reports = e.reports[1:]
		}
		if len(e.reports) == 0 || e.reports[0].at > now-modelLag {
			continue
		}
		events := slices.DeleteFunc(slices.Clone(e.reports[0].events), func(route.CacheEvent) bool {
			return m.random.IntN(10) == 0
		})
		for _, t := range m.tables {
			t.Update(e.reports[0].report)
			t.ApplyCacheEvents(e.address, "1", events)
		}
	}
}

func (m *modelRun) run(t *testing.T, length time.Duration, rate float64) {
	burst := 1.0
	for now := time.Duration(0); now < length; now += modelStep {
		if now%time.Second == 0 {
			// One second in five carries three times the load of the others.
			burst = []float64{0.714, 0.714, 0.714, 0.714, 2.143}[m.random.IntN(5)]
		}
		if now%modelLag == 0 {
			for _, e := range m.order {
				e.snapshot(now, uint64(now/modelLag)+1)
			}
		}
		if now%modelPoll == 0 {
			m.poll(now)
		}
		for p := rate * burst * modelStep.Seconds(); p > 0; p-- {
			if m.random.Float64() < p {
				m.arrive(t, now)
			}
		}
		for _, e := range m.order {
			before := len(e.running)
			e.step(now, func(r *modelRequest) { r.choice.Release(); before-- })
			for _, r := range e.running[max(before, 0):] {
				m.waits = append(m.waits, r.arrived.Seconds())
			}
		}
		time.Sleep(modelStep)
	}
	slices.Sort(m.waits)
}

type modelVariant struct {
	name   string
	policy route.Policy
}

func modelVariants() []modelVariant {
	variant := func(name string, method route.Method, candidates int, prefix, balance bool) modelVariant {
		p := route.DefaultPolicy()
		p.Method, p.Candidates, p.PrefixAware, p.BalanceResources, p.Headroom = method, candidates, prefix, balance, 0
		p.ReportLag = *modelOwnLag
		return modelVariant{name, p}
	}
	return []modelVariant{
		variant("random", route.MethodRandom, 0, false, false),
		variant("least-reported", route.MethodLeastReported, 0, false, false),
		variant("best-of-2", route.MethodEstimate, 2, false, false),
		variant("best-of-2+balance", route.MethodEstimate, 2, false, true),
		variant("best-of-2+prefix", route.MethodEstimate, 2, true, false),
		variant("best-of-2+prefix+balance", route.MethodEstimate, 2, true, true),
		variant("best-of-4+prefix", route.MethodEstimate, 4, true, false),
		variant("best-of-4+prefix+balance", route.MethodEstimate, 4, true, true),
		variant("best-of-all", route.MethodEstimate, 0, false, false),
		variant("best-of-all+prefix", route.MethodEstimate, 0, true, false),
		variant("best-of-all+prefix+balance", route.MethodEstimate, 0, true, true),
	}
}

// Guards against a default choice that waits longer than a random one, with late reports, bursts and shared
// prefixes. With -model.seeds=5 -v it prints the figures of all variants.
func TestChoiceModel(t *testing.T) {
	length := time.Duration(*modelSeconds) * time.Second
	p95 := make(map[string]float64)
	for _, v := range modelVariants() {
		var mean, tail, share []float64
		for seed := range *modelSeeds {
			synctest.Test(t, func(t *testing.T) {
				m := newModelRun(v.policy, uint64(seed+1))
				m.run(t, length, *modelRate)
				sum := 0.0
				for _, w := range m.waits {
					sum += w
				}
				mean = append(mean, sum/float64(len(m.waits)))
				tail = append(tail, m.waits[len(m.waits)*95/100])
				share = append(share, m.prefill/m.prompts)
			})
		}
		p95[v.name], _ = spread(tail)
		t.Logf("%-28s mean %s s  p95 %s s  prefill share %s", v.name, show(mean), show(tail), show(share))
	}
	require.Less(t, p95["best-of-2+prefix"], p95["random"])
}

func show(values []float64) string {
	mean, deviation := spread(values)
	return fmt.Sprintf("%.3f ± %.3f", mean, deviation)
}

func spread(values []float64) (mean, deviation float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		deviation += (v - mean) * (v - mean)
	}
	return mean, math.Sqrt(deviation / float64(max(len(values)-1, 1)))
}
