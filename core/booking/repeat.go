package booking

import (
	"cmp"
	"context"
	"maps"
	"sync"
	"time"

	"radishhollow/core/failure"
)

// race is one idempotent call with its attempts in flight.
type race struct {
	sender  *Sender
	call    Call
	results chan result
	started int
	flying  int

	mu   sync.Mutex
	used map[string]bool
}

// repeat sends an idempotent call, retries it and hedges it within the retry budget. The first complete answer wins.
func (s *Sender) repeat(ctx context.Context, call Call) (Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &race{sender: s, call: call, results: make(chan result, s.maxAttempts(call)), used: map[string]bool{}}
	r.start(ctx)
	var hedge <-chan time.Time
	if after := cmp.Or(call.HedgeAfter, s.HedgeAfter); after > 0 {
		timer := time.NewTimer(after)
		defer timer.Stop()
		hedge = timer.C
	}
	var last result
	for r.flying > 0 {
		select {
		case <-hedge:
			r.more(ctx)
		case res := <-r.results:
			r.flying--
			if res.outcome == failure.Ran {
				return res.response, nil
			}
			if res.sent || !last.sent {
				last = res
			}
			if res.sent && ctx.Err() == nil {
				r.more(ctx)
			}
		}
	}
	if last.err == nil && last.outcome == failure.Unknown {
		return last.response, nil
	}
	return last.answer(call.Service.Name)
}

// more starts another attempt if the bound and the retry budget allow it.
func (r *race) more(ctx context.Context) {
	if r.started < r.sender.maxAttempts(r.call) && r.sender.MayRetry(r.call) {
		r.start(ctx)
	}
}

func (r *race) start(ctx context.Context) {
	r.started++
	r.flying++
	go r.runAttempt(ctx)
}

func (r *race) runAttempt(ctx context.Context) {
	r.mu.Lock()
	exclude := maps.Clone(r.used)
	r.mu.Unlock()
	r.results <- r.sender.attempt(ctx, r.call, exclude, r.use)
}

// use keeps later attempts, hedges among them, away from an endpoint that has been tried.
func (r *race) use(address string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used[address] = true
	return nil
}
