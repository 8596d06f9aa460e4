package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"radishhollow/core/claim"
	"radishhollow/core/failure"
)

// requestResult is what the caller of one request observed, together with the execution at the endpoint.
type requestResult struct {
	outcome  failure.Outcome
	replayed bool
	// value is the body of the response, or empty if the caller received none.
	value string
	// executed is the value produced by the execution that this request caused, or empty if it caused none.
	executed string
}

// history records the operations of callers of two daemons that share one key-value store.
type history struct {
	rng         *rand.Rand
	mu          sync.Mutex
	logicalTime atomic.Int64
	nextID      atomic.Int64
	ops         []porcupine.Operation
	counts      map[string]int
}

// historyModel allows one execution per key, the outcome NotRun only for requests that caused no execution, and replays
// only of the response of that execution.
var historyModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range all {
			key, _ := op.Input.(string)
			byKey[key] = append(byKey[key], op)
		}
		parts := make([][]porcupine.Operation, 0, len(byKey))
		for _, ops := range byKey {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		out, _ := output.(requestResult)
		switch {
		case out.executed != "":
			return state == "" && out.outcome != failure.NotRun && (out.value == "" || out.value == out.executed), out.executed
		case out.outcome == failure.Ran:
			return out.replayed && state == out.value, state
		default:
			return true, state
		}
	},
}

func (h *history) random() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rng.Float64()
}

func (h *history) sleepSometimes() {
	if h.random() < 0.2 {
		time.Sleep(time.Duration(h.random() * float64(4*time.Second)))
	}
}

// request sends one call through one daemon to an endpoint that refuses it, executes it, or loses the connection.
func (h *history) request(r *claim.Recorder, key, digest string) requestResult {
	ctx := context.Background()
	ticket, err := r.Claim(ctx, "w", "s", key, digest)
	if err != nil {
		return requestResult{outcome: failure.Of(err).Outcome()}
	}
	if !ticket.Owned() {
		recorded, err := ticket.Await(ctx)
		if err != nil {
			return requestResult{outcome: failure.Of(err).Outcome()}
		}
		return requestResult{outcome: recorded.Outcome, replayed: true, value: string(recorded.Body)}
	}
	h.sleepSometimes()
	draw := h.random()
	if ticket.Check() != nil || draw < 0.4 {
		_ = ticket.Release(ctx)
		return requestResult{outcome: failure.NotRun}
	}
	value := fmt.Sprintf("run-%d", h.nextID.Add(1))
	h.sleepSometimes()
	switch {
	case draw < 0.5: // The connection was lost before the endpoint executed the call.
		_ = ticket.Finish(ctx, claim.Result{Outcome: failure.Unknown})
		return requestResult{outcome: failure.Unknown}
	case draw < 0.6: // The connection was lost after the execution.
		_ = ticket.Finish(ctx, claim.Result{Outcome: failure.Unknown})
		return requestResult{outcome: failure.Unknown, executed: value}
	case draw < 0.7: // The daemon crashed after the execution and records nothing.
		return requestResult{outcome: failure.Unknown, executed: value}
	default:
		_ = ticket.Finish(ctx, claim.Result{Outcome: failure.Ran, Status: 200, Body: []byte(value)})
		return requestResult{outcome: failure.Ran, value: value, executed: value}
	}
}

func (h *history) runCaller(caller int, r *claim.Recorder, requests int) {
	for range requests {
		key := fmt.Sprintf("key-%d", int(h.random()*2))
		digest := "digest"
		if h.random() < 0.05 {
			digest = "other"
		}
		time.Sleep(time.Duration(h.random() * float64(500*time.Millisecond)))
		calledAt := h.logicalTime.Add(1)
		out := h.request(r, key, digest)
		op := porcupine.Operation{ClientId: caller, Input: key, Output: out, Call: calledAt, Return: h.logicalTime.Add(1)}
		h.mu.Lock()
		h.ops = append(h.ops, op)
		h.counts[out.outcome.String()]++
		if out.replayed {
			h.counts["replay"]++
		}
		h.mu.Unlock()
	}
}

func (h *history) run(seed uint64) {
	store := newFakeStore(seed, 0.3)
	ctx, cancel := context.WithCancel(context.Background())
	var recorders, callers sync.WaitGroup
	for daemon := range 2 {
		r := &claim.Recorder{Store: store.store()}
		recorders.Go(func() { _ = r.Run(ctx) })
		for caller := range 3 {
			callers.Go(func() { h.runCaller(3*daemon+caller, r, 4) })
		}
	}
	callers.Wait()
	cancel()
	recorders.Wait()
	time.Sleep(4 * time.Second) // Delayed writes must be applied before the synctest bubble ends.
}

// Guards against a second execution under one key, the outcome NotRun for a request that was executed, and a replay of
// another response. Random histories with lost and delayed writes are checked against historyModel.
func TestHistories(t *testing.T) {
	counts := map[string]int{}
	for seed := uint64(1); seed <= 300; seed++ {
		synctest.Test(t, func(t *testing.T) {
			h := &history{rng: rand.New(rand.NewPCG(seed, 2)), counts: counts}
			h.run(seed)
			require.True(t, porcupine.CheckOperations(historyModel, h.ops), "seed %d: %+v", seed, h.ops)
		})
	}
	t.Logf("requests by outcome: %v", counts)
	for _, class := range []string{"ran", "not-run", "unknown", "replay"} {
		require.Greater(t, counts[class], 100, "the histories contain too few requests of class %s", class)
	}
}
