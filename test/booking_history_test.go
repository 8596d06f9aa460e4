package test

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"radishhollow/test/harness"
)

// historyOutput is what one call led to: the caller's reply, and its own runs by the runners' counts.
type historyOutput struct {
	id, class, code, body string
	runs                  int
	// origin is the call whose run the reply tells of.
	origin string
}

// historyState is a key's run: the call that caused it and the answer that callers have seen.
type historyState struct{ origin, body string }

// historyModel allows one run for each key, "not run" only to a call that caused no run, and replays of the run only,
// byte for byte.
var historyModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range all {
			byKey[op.Input.(string)] = append(byKey[op.Input.(string)], op)
		}
		parts := [][]porcupine.Operation{}
		for _, ops := range byKey {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() any { return historyState{} },
	Step: func(state, _, output any) (bool, any) {
		s, out := state.(historyState), output.(historyOutput)
		if out.runs > 0 {
			if out.runs > 1 || s.origin != "" || out.class == "not-run" {
				return false, s
			}
			s.origin = out.id
		}
		if out.class == "ran" {
			if s.origin == "" || out.origin != s.origin || (s.body != "" && s.body != out.body) {
				return false, s
			}
			s.body = out.body
		}
		return true, s
	},
}

// history drives callers against daemons whose addresses change.
type history struct {
	d *harness.Deployment
	// owner is the test that outlives all seeds and stops the daemons that replace killed ones.
	owner     *testing.T
	seed      uint64
	addresses []atomic.Pointer[string]
	daemons   []int
	start     time.Time
	stop      atomic.Bool
	mu        sync.Mutex
	ops       []porcupine.Operation
}

// call makes one call and records it. A call whose outcome is unknown may take effect at any later time.
func (h *history) call(t testing.TB, client int, key string, n int, address string, timeout time.Duration) reply {
	id := fmt.Sprintf("%d-%d-%d", h.seed, client, n)
	begin := time.Since(h.start)
	r := order{key: key, id: id}.send(t, address, timeout)
	end := time.Since(h.start)
	if r.class == "unknown" {
		end = math.MaxInt64
	}
	var answer struct {
		ID string `json:"test-id"`
	}
	if r.class == "ran" {
		_ = json.Unmarshal(r.body, &answer)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: key, Call: int64(begin), Return: int64(end),
		Output: historyOutput{id: id, class: r.class, code: r.code, body: fmt.Sprint(r.status, r.header, string(r.body)), origin: answer.ID},
	})
	return r
}

// loopCaller books, and repeats most bookings that are not known to have run at another daemon.
func (h *history) loopCaller(t testing.TB, client int) {
	rng := rand.New(rand.NewPCG(h.seed, uint64(client)))
	for n := 0; !h.stop.Load(); n++ {
		key := fmt.Sprintf("s%d-%d", h.seed, int(time.Since(h.start)/(100*time.Millisecond))*3+rng.IntN(4))
		for range 3 {
			address := *h.addresses[rng.IntN(len(h.addresses))].Load()
			r := h.call(t, client, key, n, address, 2500*time.Millisecond)
			if r.class == "ran" && rng.IntN(3) > 0 {
				break
			}
			n++
			time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		}
	}
}

// runChaos injects the faults in a drawn order, each at least once, until the time is over.
func (h *history) runChaos(t *testing.T, length time.Duration) {
	rng := rand.New(rand.NewPCG(h.seed, 1000))
	pause := func() { time.Sleep(time.Duration(50+rng.IntN(250)) * time.Millisecond) }
	platform := func(faults map[string]any) { harness.SetFaults(t, h.d.Platform(), faults) }
	order := rng.Perm(5)
	for n := 0; n < len(order) || time.Since(h.start) < length; n++ {
		h.disturbRunners(t, rng)
		slot := rng.IntN(len(h.daemons))
		switch kind := order[n%len(order)]; {
		case kind == 0:
			platform(map[string]any{"down": true})
			// A claim repeats its write for about 0.3 s.
			time.Sleep(700 * time.Millisecond)
		case kind == 1:
			platform(map[string]any{"delay-ms": 100 + rng.IntN(800)})
			pause()
		case kind == 2:
			platform(map[string]any{"lose-answers": 1 + rng.IntN(8)})
			pause()
		case kind == 3 && n < len(order):
			h.replace(slot)
		default:
			p := h.d.Daemon(h.daemons[slot])
			p.Pause(t)
			pause()
			pause()
			p.Continue()
		}
		platform(map[string]any{})
		pause()
	}
}

func (h *history) disturbRunners(t *testing.T, rng *rand.Rand) {
	kinds := []string{
		"run-then-503", "run-then-cut", "refuse", "refuse", "refuse", "delay", "delay-answer", "cut-before", "redirect",
	}
	for i := range h.d.Services {
		faults := []map[string]any{}
		for range 3 {
			faults = append(faults, map[string]any{
				"kind": kinds[rng.IntN(len(kinds))], "count": 1 + rng.IntN(3), "delay-ms": rng.IntN(500),
				"status": 307, "location": "/x",
			})
		}
		harness.SetFaults(t, h.d.ServiceRunner(i), map[string]any{"faults": faults})
	}
}

// replace kills a daemon and starts another one.
func (h *history) replace(slot int) {
	h.d.Daemon(h.daemons[slot]).Kill()
	h.d.AddDaemon(h.owner)
	h.daemons[slot] = h.d.Daemons
	h.d.Daemons++
	address := h.d.Settings(h.daemons[slot]).Listen
	h.addresses[slot].Store(&address)
}

// check completes the operations with the runners' counts and checks them.
func (h *history) check(t *testing.T) {
	runs, classes := map[string]int{}, map[string]int{}
	for i := range h.d.Services {
		for id, n := range runsOf(t, h.d.ServiceRunner(i)) {
			runs[id] += n
		}
	}
	for i, op := range h.ops {
		out := op.Output.(historyOutput)
		out.runs = runs[out.id]
		h.ops[i].Output = out
		classes[out.class]++
		classes[out.class+" "+out.code]++
		if out.class == "ran" && out.origin != out.id {
			classes["replay"]++
		}
		require.LessOrEqual(t, runs[op.Input.(string)], 1, "seed %d: runs of %s", h.seed, op.Input)
	}
	t.Logf("seed %d: %d calls by class: %v", h.seed, len(h.ops), classes)
	for _, class := range []string{"ran", "not-run", "unknown", "replay"} {
		require.Greaterf(t, classes[class], 3, "seed %d: the history must contain %s", h.seed, class)
	}
	result, _ := porcupine.CheckOperationsVerbose(historyModel, h.ops, time.Minute)
	require.Equalf(t, porcupine.Ok, result, "seed %d: %+v", h.seed, h.ops)
}

// Guards against combinations of faults of runners, daemons and the platform in which a key runs twice, a call that ran
// is told as not run, or a replay is another answer than the first.
func TestBookingHistories(t *testing.T) {
	parallel(t)
	d, _ := gated(t, 5)
	h := &history{d: d, owner: t, daemons: []int{0, 1, 2, 3, 4}, addresses: make([]atomic.Pointer[string], 5)}
	for i := range h.addresses {
		address := d.Settings(i).Listen
		h.addresses[i].Store(&address)
	}
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			h.seed, h.ops, h.start = seed, nil, time.Now()
			h.stop.Store(false)
			var callers sync.WaitGroup
			for client := range 10 {
				callers.Go(func() { h.loopCaller(t, client) })
			}
			defer callers.Wait()
			defer h.stop.Store(true)
			h.runChaos(t, 3*time.Second)
			h.stop.Store(true)
			callers.Wait()
			h.check(t)
		})
	}
}
