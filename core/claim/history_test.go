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

// result is what one request saw, together with what the endpoint knows about it.
type result struct {
	outcome failure.Outcome
	replay  bool
	value   string
	// ran is the value of the run that this request caused, or empty.
	ran string
}

// history drives two entries against one store.
type history struct {
	rng    *rand.Rand
	mu     sync.Mutex
	clock  atomic.Int64
	nextID atomic.Int64
	ops    []porcupine.Operation
	counts map[string]int
}

// model allows one run per key, answers of "not run" only to requests that caused no run, and replays only of the run.
var model = porcupine.Model{
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
		out, _ := output.(result)
		switch {
		case out.ran != "":
			return state == "" && out.outcome != failure.NotRun && (out.value == "" || out.value == out.ran), out.ran
		case out.outcome == failure.Ran:
			return out.replay && state == out.value, state
		default:
			return true, state
		}
	},
}

func (h *history) float() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rng.Float64()
}

func (h *history) pause() {
	if h.float() < 0.2 {
		time.Sleep(time.Duration(h.float() * float64(4*time.Second)))
	}
}

// request is one caller's call through one entry, with an endpoint that refuses, runs, or breaks off.
func (h *history) request(k *claim.Keeper, key, digest string) result {
	ctx := context.Background()
	ticket, err := k.Claim(ctx, "w", "s", key, digest)
	if err != nil {
		return result{outcome: failure.Of(err).Outcome()}
	}
	if !ticket.Owned() {
		recorded, err := ticket.Await(ctx)
		if err != nil {
			return result{outcome: failure.Of(err).Outcome()}
		}
		return result{outcome: recorded.Outcome, replay: true, value: string(recorded.Body)}
	}
	h.pause()
	draw := h.float()
	if ticket.Check() != nil || draw < 0.4 {
		_ = ticket.Release(ctx)
		return result{outcome: failure.NotRun}
	}
	value := fmt.Sprintf("run-%d", h.nextID.Add(1))
	h.pause()
	switch {
	case draw < 0.5: // The connection broke before the endpoint ran the call.
		_ = ticket.Finish(ctx, claim.Recorded{Outcome: failure.Unknown})
		return result{outcome: failure.Unknown}
	case draw < 0.6: // The connection broke after the run.
		_ = ticket.Finish(ctx, claim.Recorded{Outcome: failure.Unknown})
		return result{outcome: failure.Unknown, ran: value}
	case draw < 0.7: // The entry died after the run and records nothing.
		return result{outcome: failure.Unknown, ran: value}
	default:
		_ = ticket.Finish(ctx, claim.Recorded{Outcome: failure.Ran, Status: 200, Body: []byte(value)})
		return result{outcome: failure.Ran, value: value, ran: value}
	}
}

func (h *history) loopCaller(client int, k *claim.Keeper, requests int) {
	for range requests {
		key := fmt.Sprintf("key-%d", int(h.float()*2))
		digest := "digest"
		if h.float() < 0.05 {
			digest = "other"
		}
		time.Sleep(time.Duration(h.float() * float64(500*time.Millisecond)))
		call := h.clock.Add(1)
		out := h.request(k, key, digest)
		op := porcupine.Operation{ClientId: client, Input: key, Output: out, Call: call, Return: h.clock.Add(1)}
		h.mu.Lock()
		h.ops = append(h.ops, op)
		h.counts[out.outcome.String()]++
		if out.replay {
			h.counts["replay"]++
		}
		h.mu.Unlock()
	}
}

func (h *history) run(seed uint64) {
	store := newFakeStore(seed, 0.3)
	ctx, cancel := context.WithCancel(context.Background())
	var keepers, callers sync.WaitGroup
	for entry := range 2 {
		k := &claim.Keeper{Store: store.store()}
		keepers.Go(func() { _ = k.Run(ctx) })
		for caller := range 3 {
			callers.Go(func() { h.loopCaller(3*entry+caller, k, 4) })
		}
	}
	callers.Wait()
	cancel()
	keepers.Wait()
	time.Sleep(4 * time.Second) // Lets delayed writes end within the bubble.
}

// Guards against a second run of a key, a "not run" answer to a request that ran, and a replay of another outcome.
func TestHistories(t *testing.T) {
	counts := map[string]int{}
	for seed := uint64(1); seed <= 300; seed++ {
		synctest.Test(t, func(t *testing.T) {
			h := &history{rng: rand.New(rand.NewPCG(seed, 2)), counts: counts}
			h.run(seed)
			require.True(t, porcupine.CheckOperations(model, h.ops), "seed %d: %+v", seed, h.ops)
		})
	}
	t.Logf("requests by outcome: %v", counts)
	for _, class := range []string{"ran", "not-run", "unknown", "replay"} {
		require.Greater(t, counts[class], 100, "the histories must contain %s", class)
	}
}
