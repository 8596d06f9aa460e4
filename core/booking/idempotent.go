package booking

import (
	"cmp"
	"context"
	"maps"
	"sync"
	"time"

	"radishhollow/core/failure"
	"radishhollow/core/guard"
)

// idempotentCall is the state of one idempotent call, whose attempts may run concurrently.
type idempotentCall struct {
	sender   *Sender
	call     Call
	results  chan attemptResult
	started  int
	inFlight int
	// refused is the error of Call.Admit, after which no further attempt is made.
	refused error

	mu    sync.Mutex
	tried map[string]bool // addresses of the endpoints that were sent to; guarded by mu
}

// sendIdempotent sends an idempotent call, with retries and hedging within the retry budget. It returns the first
// response whose outcome is Ran, or else the result of the last attempt that was sent, or of the last one if none was. An
// attempt that did not run does not replace one that may have run. If none may have run because Call.Admit refused another
// attempt, it returns the error of Admit.
func (s *Sender) sendIdempotent(ctx context.Context, call Call) (Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &idempotentCall{
		sender: s, call: call, results: make(chan attemptResult, s.maxAttempts(call)), tried: map[string]bool{},
	}
	c.start(ctx)
	var hedge <-chan time.Time
	if after := cmp.Or(call.HedgeAfter, s.HedgeAfter); after > 0 {
		timer := time.NewTimer(after)
		defer timer.Stop()
		hedge = timer.C
	}
	var last attemptResult
	for c.inFlight > 0 {
		select {
		case <-hedge:
			c.startNext(ctx)
		case res := <-c.results:
			c.inFlight--
			if res.outcome == failure.Ran {
				return res.response, nil
			}
			if res.supersedes(last) {
				last = res
			}
			if res.sent && ctx.Err() == nil {
				c.startNext(ctx)
			}
		}
	}
	if last.outcome == failure.NotRun && c.refused != nil {
		return Response{}, c.refused
	}
	if last.err == nil && last.outcome == failure.Unknown {
		// A response such as 500 is passed on, because the caller may repeat an idempotent call.
		return last.response, nil
	}
	return last.toResponse(call.Service.Name)
}

// supersedes reports whether a result tells the caller more than that of an earlier attempt: it was sent, unless it did
// not run and the earlier one may have.
func (r attemptResult) supersedes(earlier attemptResult) bool {
	if !earlier.sent {
		return true
	}
	return r.sent && (r.outcome != failure.NotRun || earlier.outcome != failure.Unknown)
}

// startNext starts another attempt if the maximum number of attempts, Call.Admit and the retry budget allow it.
func (c *idempotentCall) startNext(ctx context.Context) {
	if c.started >= c.sender.maxAttempts(c.call) {
		return
	}
	if c.refused = c.call.admit(); c.refused == nil && c.sender.TakeRetry(c.call) {
		c.start(ctx)
	}
}

func (c *idempotentCall) start(ctx context.Context) {
	c.started++
	c.inFlight++
	go c.runAttempt(ctx)
}

func (c *idempotentCall) runAttempt(ctx context.Context) {
	c.mu.Lock()
	exclude := maps.Clone(c.tried)
	c.mu.Unlock()
	result := attemptResult{outcome: failure.Unknown}
	if err := guard.Call(func() error {
		result = c.sender.attempt(ctx, c.call, exclude, c.markTried)
		return nil
	}, nil); err != nil {
		result.err = err
	}
	c.results <- result
}

// markTried excludes an endpoint from later attempts of the call, including hedges.
func (c *idempotentCall) markTried(address string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tried[address] = true
	return nil
}
