package booking

import (
	"cmp"
	"context"
	"maps"
	"sync"
	"time"

	"radishhollow/core/failure"
)

// idempotentCall is the state of one idempotent call, whose attempts may run concurrently.
type idempotentCall struct {
	sender   *Sender
	call     Call
	results  chan attemptResult
	started  int
	inFlight int

	mu    sync.Mutex
	tried map[string]bool // addresses of the endpoints that were sent to; guarded by mu
}

// sendIdempotent sends an idempotent call, with retries and hedging within the retry budget. It returns the first
// response whose outcome is Ran, or else the result of the last attempt.
func (s *Sender) sendIdempotent(ctx context.Context, call Call) (Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &idempotentCall{
		sender: s, call: call, results: make(chan attemptResult, s.maxAttempts(call)), tried: map[string]bool{},
	}
	r.start(ctx)
	var hedge <-chan time.Time
	if after := cmp.Or(call.HedgeAfter, s.HedgeAfter); after > 0 {
		timer := time.NewTimer(after)
		defer timer.Stop()
		hedge = timer.C
	}
	var last attemptResult
	for r.inFlight > 0 {
		select {
		case <-hedge:
			r.startNext(ctx)
		case res := <-r.results:
			r.inFlight--
			if res.outcome == failure.Ran {
				return res.response, nil
			}
			if res.sent || !last.sent {
				last = res
			}
			if res.sent && ctx.Err() == nil {
				r.startNext(ctx)
			}
		}
	}
	if last.err == nil && last.outcome == failure.Unknown {
		// A response such as 500 is passed on, because the caller may repeat an idempotent call.
		return last.response, nil
	}
	return last.toResponse(call.Service.Name)
}

// startNext starts another attempt if the maximum number of attempts and the retry budget allow it.
func (r *idempotentCall) startNext(ctx context.Context) {
	if r.started < r.sender.maxAttempts(r.call) && r.sender.TakeRetry(r.call) {
		r.start(ctx)
	}
}

func (r *idempotentCall) start(ctx context.Context) {
	r.started++
	r.inFlight++
	go r.runAttempt(ctx)
}

func (r *idempotentCall) runAttempt(ctx context.Context) {
	r.mu.Lock()
	exclude := maps.Clone(r.tried)
	r.mu.Unlock()
	r.results <- r.sender.attempt(ctx, r.call, exclude, r.markTried)
}

// markTried excludes an endpoint from later attempts of the call, including hedges.
func (r *idempotentCall) markTried(address string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tried[address] = true
	return nil
}
