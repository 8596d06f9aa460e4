package test

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"radishhollow/test/harness"
)

// callOutput is the result of one call as its caller received it, together with the number of its executions as counted
// by the runners.
type callOutput struct {
	id, outcome, code, body string
	runs                    int
	// executedFor is the id of the call whose execution produced the response.
	executedFor string
}

// keyState describes the execution under a key: the id of the call that caused it, and the response that callers with
// the outcome "ran" received. Each is empty until it is known.
type keyState struct{ executedFor, body string }

// historyModel allows one execution per key, the outcome "not-run" only for calls that caused no execution, and only
// replays that are identical to the first response byte for byte.
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
	Init: func() any { return keyState{} },
	Step: func(state, _, output any) (bool, any) {
		s, out := state.(keyState), output.(callOutput)
		if out.runs > 0 {
			if out.runs > 1 || s.executedFor != "" || out.outcome == "not-run" {
				return false, s
			}
			s.executedFor = out.id
		}
		if out.outcome == "ran" {
			if s.executedFor == "" || out.executedFor != s.executedFor || (s.body != "" && s.body != out.body) {
				return false, s
			}
			s.body = out.body
		}
		return true, s
	},
}

// history records the calls of concurrent callers.
type history struct {
	d *harness.Deployment
	// parent is the test that contains the subtests of all seeds. Replacement daemons are stopped at its end.
	parent *testing.T
	seed   uint64
	// addresses and daemonIndexes hold the address of the daemon in each slot and its index in the deployment. A new
	// daemon takes the slot of the one that it replaces.
	addresses     []atomic.Pointer[string]
	daemonIndexes []int
	start         time.Time
	stop          atomic.Bool
	mu            sync.Mutex
	ops           []porcupine.Operation
}

// call sends one call and records it. A call with an unknown outcome may take effect at any later time, so it never
// returns in the recorded history.
func (h *history) call(t testing.TB, client int, key string, n int, address string, timeout time.Duration) callResult {
	id := fmt.Sprintf("%d-%d-%d", h.seed, client, n)
	begin := time.Since(h.start)
	r := serviceCall{key: key, id: id}.sendToAddress(t, address, timeout)
	end := time.Since(h.start)
	if r.outcome == "unknown" {
		end = math.MaxInt64
	}
	var executed struct {
		ID string `json:"test-id"`
	}
	if r.outcome == "ran" {
		_ = json.Unmarshal(r.body, &executed)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: key, Call: int64(begin), Return: int64(end),
		Output: callOutput{
			id: id, outcome: r.outcome, code: r.code, body: fmt.Sprint(r.status, r.header, string(r.body)), executedFor: executed.ID,
		},
	})
	return r
}

// runCaller sends bookings until stop is set. It draws one of four keys, three of which change every 100 ms, so that
// callers use the same keys concurrently. It sends each booking up to three times, each time to a random daemon, and
// mostly does not repeat it after the outcome "ran".
func (h *history) runCaller(t testing.TB, client int) {
	rng := rand.New(rand.NewPCG(h.seed, uint64(client)))
	for n := 0; !h.stop.Load(); n++ {
		key := fmt.Sprintf("s%d-%d", h.seed, int(time.Since(h.start)/(100*time.Millisecond))*3+rng.IntN(4))
		for range 3 {
			address := *h.addresses[rng.IntN(len(h.addresses))].Load()
			r := h.call(t, client, key, n, address, 2500*time.Millisecond)
			if r.outcome == "ran" && rng.IntN(3) > 0 {
				break
			}
			n++
			time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		}
	}
}

// injectFaults injects the kinds of faults in a random order, each at least once, until the duration has passed and
// needsMoreCalls returns false. A daemon is replaced only once; later rounds pause a daemon instead.
func (h *history) injectFaults(t *testing.T, duration time.Duration) {
	rng := rand.New(rand.NewPCG(h.seed, 1000))
	sleep := func() { time.Sleep(time.Duration(50+rng.IntN(250)) * time.Millisecond) }
	setPlatformFaults := func(faults map[string]any) { harness.SetFaults(t, h.d.Platform(), faults) }
	faultOrder := rng.Perm(5)
	for n := 0; n < len(faultOrder) || time.Since(h.start) < duration || h.needsMoreCalls(); n++ {
		h.setRunnerFaults(t, rng)
		slot := rng.IntN(len(h.daemonIndexes))
		switch kind := faultOrder[n%len(faultOrder)]; {
		case kind == 0:
			setPlatformFaults(map[string]any{"down": true})
			// The outage is longer than the time for which a claim retries its write, which is about 0.3 s.
			time.Sleep(700 * time.Millisecond)
		case kind == 1:
			setPlatformFaults(map[string]any{"delay-ms": 100 + rng.IntN(800)})
			sleep()
		case kind == 2:
			setPlatformFaults(map[string]any{"lose-answers": 1 + rng.IntN(8)})
			sleep()
		case kind == 3 && n < len(faultOrder):
			h.replaceDaemon(slot)
		default:
			p := h.d.Daemon(h.daemonIndexes[slot])
			p.Pause(t)
			sleep()
			sleep()
			p.Continue()
		}
		setPlatformFaults(map[string]any{})
		sleep()
	}
}

func (h *history) setRunnerFaults(t *testing.T, rng *rand.Rand) {
	faultKinds := []string{
		"run-then-503", "run-then-cut", "refuse", "refuse", "refuse", "delay", "delay-answer", "cut-before", "redirect",
	}
	for i := range h.d.Services {
		faults := []map[string]any{}
		for range 3 {
			faults = append(faults, map[string]any{
				"kind": faultKinds[rng.IntN(len(faultKinds))], "count": 1 + rng.IntN(3), "delay-ms": rng.IntN(500),
				"status": 307, "location": "/x",
			})
		}
		harness.SetFaults(t, h.d.ServiceRunner(i), map[string]any{"faults": faults})
	}
}

// replaceDaemon kills the daemon in a slot and starts a new one with another address.
func (h *history) replaceDaemon(slot int) {
	h.d.Daemon(h.daemonIndexes[slot]).Kill()
	h.d.AddDaemon(h.parent)
	h.daemonIndexes[slot] = h.d.Daemons
	h.d.Daemons++
	address := h.d.Settings(h.daemonIndexes[slot]).Listen
	h.addresses[slot].Store(&address)
}

// maxHistoryDuration limits the extension of a history that lacks calls of some kind. Most calls with the outcome
// not-run are made during an outage of the platform. On a busy machine few calls may be made during one.
const maxHistoryDuration = 20 * time.Second

// minCallsOfKind is the number of calls that a history must exceed for each of checkedKinds, so that its check covers
// all of them.
const minCallsOfKind = 3

// checkedKinds are the kinds of calls, as countByKind names them, that a history must contain.
var checkedKinds = []string{"ran", "not-run", "unknown", "replay"}

// needsMoreCalls reports whether the history still lacks calls of some kind and maxHistoryDuration has not passed.
func (h *history) needsMoreCalls() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := h.countByKind()
	lacking := slices.ContainsFunc(checkedKinds, func(name string) bool { return counts[name] <= minCallsOfKind })
	return lacking && time.Since(h.start) < maxHistoryDuration
}

// countByKind counts the recorded calls by outcome, by outcome and error code, and as "replay" those that received the
// response to another call.
func (h *history) countByKind() map[string]int {
	counts := map[string]int{}
	for _, op := range h.ops {
		out := op.Output.(callOutput)
		counts[out.outcome]++
		counts[out.outcome+" "+out.code]++
		if out.outcome == "ran" && out.executedFor != out.id {
			counts["replay"]++
		}
	}
	return counts
}

// check adds the runners' counts to the recorded calls, requires a minimum number of calls of each kind, and checks the
// history against historyModel.
func (h *history) check(t *testing.T) {
	runs := map[string]int{}
	for i := range h.d.Services {
		for id, n := range runsByKey(t, h.d.ServiceRunner(i)) {
			runs[id] += n
		}
	}
	for i, op := range h.ops {
		out := op.Output.(callOutput)
		out.runs = runs[out.id]
		h.ops[i].Output = out
		require.LessOrEqual(t, runs[op.Input.(string)], 1, "seed %d: executions of %s", h.seed, op.Input)
	}
	counts := h.countByKind()
	t.Logf("seed %d: %d calls, by outcome: %v", h.seed, len(h.ops), counts)
	for _, name := range checkedKinds {
		require.Greaterf(t, counts[name], minCallsOfKind, "seed %d: too few calls of kind %s", h.seed, name)
	}
	result, _ := porcupine.CheckOperationsVerbose(historyModel, h.ops, time.Minute)
	require.Equalf(t, porcupine.Ok, result, "seed %d: %+v", h.seed, h.ops)
}

// Guards against a second execution under one key, the outcome not-run for a call that was executed, and a replay that
// differs from the first response. Random faults of runners, daemons and the platform are combined.
func TestBookingHistories(t *testing.T) {
	parallel(t)
	d, _ := startWithClaimProxies(t, 5)
	h := &history{d: d, parent: t, daemonIndexes: []int{0, 1, 2, 3, 4}, addresses: make([]atomic.Pointer[string], 5)}
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
				callers.Go(func() { h.runCaller(t, client) })
			}
			defer callers.Wait()
			defer h.stop.Store(true)
			h.injectFaults(t, 3*time.Second)
			h.stop.Store(true)
			callers.Wait()
			h.check(t)
		})
	}
}
