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
	simSeeds           = flag.Int("model.seeds", 1, "seeds per variant of TestChoiceModel")
	simSeconds         = flag.Int("model.seconds", 20, "simulated seconds of TestChoiceModel")
	simPolicyReportLag = flag.Duration("model.own-lag", 400*time.Millisecond, "Policy.ReportLag of TestChoiceModel")
	simRate            = flag.Float64("model.rate", 24, "mean requests per second of TestChoiceModel")
)

const (
	simStep         = 10 * time.Millisecond
	simPollInterval = 250 * time.Millisecond
	simReportDelay  = 200 * time.Millisecond
	simEngines      = 20
	simDaemons      = 5
	simSlots        = 16
	simPrefillRate  = 3000.0 // prefill tokens per second
	simCacheBlocks  = 1500
	simTokenGap     = 0.02 // seconds per token with an empty batch; twice that with a full batch
)

type simRequest struct {
	// arrived is the arrival time; when the prefill is done, it becomes the time since arrival.
	arrived time.Duration
	prefill float64 // prompt tokens left to prefill
	output  float64 // tokens left to generate
	blocks  []uint64
	choice  route.Choice
}

type simReport struct {
	at     time.Duration
	report route.Report
	events []route.CacheEvent
}

// simEngine prefills its requests in order and decodes them in one batch.
type simEngine struct {
	address string
	waiting []*simRequest
	running []*simRequest
	cache   map[uint64]int // tick of the last use by block
	tick    int            // number of admitted requests
	events  []route.CacheEvent
	reports []simReport
}

func (e *simEngine) admit(r *simRequest, prompt int) {
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
	for len(e.cache) > simCacheBlocks {
		e.evict()
	}
	r.prefill = float64(max(prompt-hit*route.BlockTokens, 1))
	e.waiting = append(e.waiting, r)
}

// evict drops the blocks of the least recently used prompt.
func (e *simEngine) evict() {
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
	slices.Sort(evicted) // map order would make runs with the same seed differ
	for _, b := range evicted {
		delete(e.cache, b)
		e.events = append(e.events, route.CacheEvent{Kind: route.CacheEvicted, Block: b})
	}
}

func (e *simEngine) gap() float64 {
	return simTokenGap * (1 + float64(len(e.running))/simSlots)
}

func (e *simEngine) step(now time.Duration, done func(*simRequest)) {
	tokens := simStep.Seconds() / e.gap()
	e.running = slices.DeleteFunc(e.running, func(r *simRequest) bool {
		r.output -= tokens
		if r.output <= 0 {
			done(r)
		}
		return r.output <= 0
	})
	budget := simPrefillRate * simStep.Seconds()
	for budget > 0 && len(e.waiting) > 0 && len(e.running) < simSlots {
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

func (e *simEngine) snapshot(now time.Duration, sequence uint64) {
	prefill := 0.0
	for _, r := range e.waiting {
		prefill += r.prefill
	}
	e.reports = append(e.reports, simReport{at: now, events: e.events, report: route.Report{
		Address: e.address, Incarnation: "1", State: route.StateReady, Sequence: sequence,
		Running: len(e.running), Waiting: len(e.waiting), Slots: simSlots, CacheBlocks: simCacheBlocks,
		CacheBlocksUsed: len(e.cache), WaitingPrefillTokens: int(prefill), PrefillRate: simPrefillRate,
		TokenGap: time.Duration(e.gap() * float64(time.Second)), Role: "mixed", Specs: []string{"m@1"},
	}})
	e.events = nil
}

type simRun struct {
	random  *rand.Rand
	tables  []*route.Table
	engines map[string]*simEngine
	order   []*simEngine // the engines in a fixed order, so that runs with the same seed are equal
	waits   []float64    // seconds from arrival to the end of the prefill, sorted at the end of run
	prefill float64      // prompt tokens that needed prefill
	prompts float64      // all prompt tokens
}

func newSimRun(policy route.Policy, seed uint64) *simRun {
	s := &simRun{random: rand.New(rand.NewPCG(seed, 7)), engines: make(map[string]*simEngine)}
	var list []route.Listing
	for i := range simEngines {
		address := fmt.Sprintf("127.0.0.1:%d", 9000+i)
		e := &simEngine{address: address, cache: make(map[uint64]int)}
		s.engines[address] = e
		s.order = append(s.order, e)
		list = append(list, route.Listing{
			Address: address, Incarnation: "1", Place: fmt.Sprint(i % 4), Kind: route.KindModel, Name: "m",
		})
	}
	for i := range simDaemons {
		policy.Seed = seed*100 + uint64(i)
		t := route.New(fmt.Sprint("daemon-", i), policy)
		t.Sync(list)
		s.tables = append(s.tables, t)
	}
	return s
}

// arrive sends one request whose prefix other requests share; low prefix numbers are more frequent.
func (s *simRun) arrive(t *testing.T, now time.Duration) {
	prefix := int(40 * math.Pow(s.random.Float64(), 2))
	prompt := make([]uint32, 512+prefix%4*512, 4096)
	for i := range prompt {
		prompt[i] = uint32(prefix*100000 + i)
	}
	for range 64 + s.random.IntN(448) {
		prompt = append(prompt, s.random.Uint32())
	}
	output := 50 + s.random.ExpFloat64()*150
	criteria := route.Criteria{Kind: route.KindModel, Name: "m", Prompt: prompt, MaxTokens: 512}
	choice, err := s.tables[s.random.IntN(simDaemons)].Pick(t.Context(), criteria)
	require.NoError(t, err)
	r := &simRequest{arrived: now, output: output, blocks: route.BlockHashes(prompt), choice: choice}
	s.engines[choice.Address()].admit(r, len(prompt))
	s.prefill += r.prefill
	s.prompts += float64(len(prompt))
}

// poll delivers reports that are simReportDelay old, and their cache events except for a random tenth, which is lost.
func (s *simRun) poll(now time.Duration) {
	for _, e := range s.order {
		for len(e.reports) > 1 && e.reports[1].at <= now-simReportDelay {
			e.reports = e.reports[1:]
		}
		if len(e.reports) == 0 || e.reports[0].at > now-simReportDelay {
			continue
		}
		events := slices.DeleteFunc(slices.Clone(e.reports[0].events), func(route.CacheEvent) bool {
			return s.random.IntN(10) == 0
		})
		for _, t := range s.tables {
			t.Update(e.reports[0].report)
			t.ApplyCacheEvents(e.address, "1", events)
		}
	}
}

func (s *simRun) run(t *testing.T, length time.Duration, rate float64) {
	burst := 1.0
	for now := time.Duration(0); now < length; now += simStep {
		if now%time.Second == 0 {
			// One second in five, on average, has three times the load of the others.
			burst = []float64{0.714, 0.714, 0.714, 0.714, 2.143}[s.random.IntN(5)]
		}
		if now%simReportDelay == 0 {
			for _, e := range s.order {
				e.snapshot(now, uint64(now/simReportDelay)+1)
			}
		}
		if now%simPollInterval == 0 {
			s.poll(now)
		}
		for p := rate * burst * simStep.Seconds(); p > 0; p-- {
			if s.random.Float64() < p {
				s.arrive(t, now)
			}
		}
		for _, e := range s.order {
			before := len(e.running)
			e.step(now, func(r *simRequest) { r.choice.Release(); before-- })
			for _, r := range e.running[max(before, 0):] {
				s.waits = append(s.waits, r.arrived.Seconds())
			}
		}
		time.Sleep(simStep)
	}
	slices.Sort(s.waits)
}

type simVariant struct {
	name   string
	policy route.Policy
}

func simVariants() []simVariant {
	variant := func(name string, method route.Method, sampleSize int, prefix, balance bool) simVariant {
		p := route.DefaultPolicy()
		p.Method, p.SampleSize, p.PrefixAware, p.BalanceResources, p.Headroom = method, sampleSize, prefix, balance, 0
		p.ReportLag = *simPolicyReportLag
		return simVariant{name, p}
	}
	return []simVariant{
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

// Guards against a default policy whose requests wait longer than with random picks, with delayed reports, bursts and
// shared prefixes. Run with -model.seeds=5 -v to log the figures of all variants.
func TestChoiceModel(t *testing.T) {
	length := time.Duration(*simSeconds) * time.Second
	p95 := make(map[string]float64)
	for _, v := range simVariants() {
		var mean, tail, share []float64
		for seed := range *simSeeds {
			synctest.Test(t, func(t *testing.T) {
				s := newSimRun(v.policy, uint64(seed+1))
				s.run(t, length, *simRate)
				sum := 0.0
				for _, w := range s.waits {
					sum += w
				}
				mean = append(mean, sum/float64(len(s.waits)))
				tail = append(tail, s.waits[len(s.waits)*95/100])
				share = append(share, s.prefill/s.prompts)
			})
		}
		p95[v.name], _ = meanDeviation(tail)
		t.Logf("%-28s mean %s s  p95 %s s  prefill share %s",
			v.name, formatMeanDeviation(mean), formatMeanDeviation(tail), formatMeanDeviation(share))
	}
	require.Less(t, p95["best-of-2+prefix"], p95["random"])
}

func formatMeanDeviation(values []float64) string {
	mean, deviation := meanDeviation(values)
	return fmt.Sprintf("%.3f ± %.3f", mean, deviation)
}

func meanDeviation(values []float64) (mean, deviation float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		deviation += (v - mean) * (v - mean)
	}
	return mean, math.Sqrt(deviation / float64(max(len(values)-1, 1)))
}
