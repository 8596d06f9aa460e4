package booking_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/booking"
	"radishhollow/core/claim"
	"radishhollow/core/config"
	"radishhollow/core/failure"
	"radishhollow/core/kv"
	"radishhollow/core/route"
)

type unreachable struct{}

func (unreachable) Error() string            { return "connection refused" }
func (unreachable) Code() string             { return "endpoint-unreachable" }
func (unreachable) Outcome() failure.Outcome { return failure.NotRun }

// fakeEndpoints handles the n-th send with the n-th step and later sends with the last one, and records the endpoint of
// each send.
type fakeEndpoints struct {
	mu    sync.Mutex
	steps []func(ctx context.Context) (booking.Response, error)
	sent  []string
	picks int
}

func (f *fakeEndpoints) pick(_ context.Context, criteria route.Criteria) (route.Choice, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.picks++
	for n := range 5 {
		if address := "e" + strconv.Itoa(n); !criteria.Exclude[address] {
			return route.NewChoice(address, "", "", nil), nil
		}
	}
	return route.Choice{}, unreachable{}
}

func (f *fakeEndpoints) send(ctx context.Context, choice route.Choice, _ booking.Request) (booking.Response, error) {
	f.mu.Lock()
	step := f.steps[min(len(f.sent), len(f.steps)-1)]
	f.sent = append(f.sent, choice.Address())
	f.mu.Unlock()
	return step(ctx)
}

func (f *fakeEndpoints) sender(budget bool) *booking.Sender {
	return &booking.Sender{Pick: f.pick, Send: f.send, TakeRetry: func(booking.Call) bool { return budget }}
}

func respondWith(code int, notRun string) func(context.Context) (booking.Response, error) {
	return func(context.Context) (booking.Response, error) {
		return booking.Response{Status: code, Header: http.Header{"Not-Run": {notRun}}, Body: []byte("b")}, nil
	}
}

func failWith(err error) func(context.Context) (booking.Response, error) {
	return func(context.Context) (booking.Response, error) { return booking.Response{}, err }
}

type steps = []func(context.Context) (booking.Response, error)

// Guards against a non-idempotent call that is sent again after it may have been executed, and against trust in a
// refusal by a service whose refusals are not trusted.
func TestDo(t *testing.T) {
	ok, refused, broken := respondWith(200, ""), respondWith(503, "1"), failWith(context.DeadlineExceeded)
	tests := []struct {
		name                string
		idempotent, trusted bool
		noBudget            bool
		steps               steps
		sent                int
		outcome             failure.Outcome
	}{
		{name: "ran", steps: steps{ok}, sent: 1, outcome: failure.Ran},
		{name: "client error", steps: steps{respondWith(404, "")}, sent: 1, outcome: failure.Ran},
		{name: "broken", steps: steps{broken, ok}, sent: 1, outcome: failure.Unknown},
		{name: "server error", steps: steps{respondWith(500, ""), ok}, sent: 1, outcome: failure.Unknown},
		{name: "untrusted refusal", steps: steps{refused, ok}, sent: 1, outcome: failure.Unknown},
		{name: "untrusted rate limit", steps: steps{respondWith(429, "1"), ok}, sent: 1, outcome: failure.Unknown},
		{name: "own timeout", trusted: true, steps: steps{respondWith(408, ""), ok}, sent: 1, outcome: failure.Unknown},
		{name: "own misdirection", trusted: true, steps: steps{respondWith(421, ""), ok}, sent: 1, outcome: failure.Unknown},
		{name: "trusted refusal", trusted: true, steps: steps{refused, ok}, sent: 2, outcome: failure.Ran},
		{name: "trusted, no header", trusted: true, steps: steps{respondWith(503, ""), ok}, sent: 1, outcome: failure.Unknown},
		{name: "endpoint unreachable", steps: steps{failWith(unreachable{}), ok}, sent: 2, outcome: failure.Ran},
		{name: "no budget", noBudget: true, steps: steps{failWith(unreachable{}), ok}, sent: 1, outcome: failure.NotRun},
		{name: "all refuse", trusted: true, steps: steps{refused}, sent: 3, outcome: failure.NotRun},
		{name: "unreachable, then lost", steps: steps{failWith(unreachable{}), broken, ok}, sent: 2, outcome: failure.Unknown},
		{name: "idempotent lost response", idempotent: true, steps: steps{broken, ok}, sent: 2, outcome: failure.Ran},
		{name: "idempotent without budget", idempotent: true, noBudget: true, steps: steps{broken, ok}, sent: 1},
		{name: "idempotent error", idempotent: true, steps: steps{respondWith(500, "")}, sent: 3},
		{name: "idempotent refused", idempotent: true, trusted: true, steps: steps{refused}, sent: 3, outcome: failure.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeEndpoints{steps: tt.steps}
			service := config.Service{Name: "s", TrustsRefusals: tt.trusted, Calls: []config.Call{
				{Method: "GET", Path: "/*", Idempotent: tt.idempotent},
			}}
			resp, err := f.sender(!tt.noBudget).Do(t.Context(), booking.Call{
				Service: service, Request: booking.Request{Method: "GET", Path: "/x"},
			})
			outcome := resp.Outcome
			if err != nil {
				outcome = failure.Of(err).Outcome()
			}
			require.Equal(t, tt.outcome, outcome)
			require.Len(t, f.sent, tt.sent)
			unique := map[string]bool{}
			for _, address := range f.sent {
				require.False(t, unique[address], "an endpoint that failed was picked again")
				unique[address] = true
			}
		})
	}
}

// Guards against a hedge that is sent to the same slow endpoint, and against hedging a non-idempotent call.
func TestHedge(t *testing.T) {
	slow := func(ctx context.Context) (booking.Response, error) {
		<-ctx.Done()
		return booking.Response{}, ctx.Err()
	}
	for _, idempotent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeEndpoints{steps: steps{slow, respondWith(200, "")}}
			sender := f.sender(true)
			sender.HedgeAfter = 100 * time.Millisecond
			begin := time.Now()
			_, err := sender.Do(t.Context(), booking.Call{
				Service: config.Service{Calls: []config.Call{{Method: "GET", Path: "/*", Idempotent: idempotent}}},
				Request: booking.Request{Method: "GET", Path: "/x"},
			})
			if idempotent {
				require.NoError(t, err)
				require.Equal(t, 100*time.Millisecond, time.Since(begin))
				require.Equal(t, []string{"e0", "e1"}, f.sent)
			} else {
				require.Equal(t, failure.Unknown, failure.Of(err).Outcome())
				require.Len(t, f.sent, 1)
			}
		})
	}
}

// newMemoryStore returns an in-memory key-value store whose writes fail while *down is set.
func newMemoryStore(down *bool) kv.Store {
	var mu sync.Mutex
	entries, revision := map[string]kv.Entry{}, kv.Revision{}
	return kv.Store{
		Grant: func(context.Context, time.Duration) (kv.Lease, error) { return kv.NewLease(0, "l"), nil },
		Get: func(_ context.Context, key string) (kv.Entry, error) {
			mu.Lock()
			defer mu.Unlock()
			return entries[key], nil
		},
		Put: func(_ context.Context, key string, value []byte, ifRevision kv.Revision, _ kv.Lease) (kv.Revision, error) {
			mu.Lock()
			defer mu.Unlock()
			if *down {
				return kv.Revision{}, kv.UnavailableError{Call: "put", Cause: context.DeadlineExceeded}
			}
			if current := entries[key].Revision(); current != ifRevision {
				return kv.Revision{}, kv.ConflictError{Key: key, Current: current}
			}
			revision = revision.Next()
			entries[key] = kv.NewEntry(key, value, revision, false)
			return revision, nil
		},
	}
}

// Guards against a call with an idempotency key that is executed again on a retry, and against one that is executed
// without a record.
func TestIdempotencyKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := false
		f := &fakeEndpoints{steps: steps{failWith(unreachable{}), respondWith(201, "")}}
		sender := f.sender(false)
		sender.Claim = (&claim.Recorder{Store: newMemoryStore(&down)}).Claim
		call := booking.Call{
			Workspace: "w", Service: config.Service{Name: "s"}, Key: "k", Request: booking.Request{Method: "POST", Path: "/x"},
		}
		_, err := sender.Do(t.Context(), call)
		require.Equal(t, failure.NotRun, failure.Of(err).Outcome())
		first, err := sender.Do(t.Context(), call)
		require.NoError(t, err, "a call that was not executed must release its key")
		again, err := sender.Do(t.Context(), call)
		require.NoError(t, err)
		require.Equal(t, first, again)
		require.Len(t, f.sent, 2)

		down, call.Key = true, "other"
		_, err = sender.Do(t.Context(), call)
		_, failed := errors.AsType[claim.FailedError](err)
		require.True(t, failed)
		require.Len(t, f.sent, 2)
	})
}

// Guards against a non-idempotent call that is aborted, and so has an unknown outcome, because its caller canceled.
func TestCallerCancels(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	f := &fakeEndpoints{steps: steps{func(ctx context.Context) (booking.Response, error) {
		cancel()
		return booking.Response{Status: 200}, ctx.Err()
	}}}
	call := booking.Call{Request: booking.Request{Method: "POST", Path: "/x"}}
	_, err := f.sender(true).Do(ctx, call)
	require.NoError(t, err)
	_, err = f.sender(true).Do(ctx, call)
	require.Error(t, err)
	require.Len(t, f.sent, 1, "a call whose caller has canceled was sent")
}

// Guards against a forwarded non-idempotent request that is sent to more endpoints than its route allows, and against
// one that is given up although it could not be sent to any endpoint yet.
func TestMaxResponses(t *testing.T) {
	refused := respondWith(503, "1")
	tests := []struct {
		name     string
		steps    steps
		limit    int
		sent     int
		outcome  failure.Outcome
		attempts int
	}{
		{name: "refused once", steps: steps{refused, respondWith(200, "")}, limit: 1, sent: 1, outcome: failure.NotRun},
		{name: "refused twice", steps: steps{refused, respondWith(200, "")}, limit: 2, sent: 2, outcome: failure.Ran},
		{name: "unreachable", steps: steps{failWith(unreachable{}), respondWith(200, "")}, limit: 1, sent: 2, outcome: failure.Ran},
		{name: "attempts", steps: steps{failWith(unreachable{})}, limit: 1, attempts: 2, sent: 2, outcome: failure.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeEndpoints{steps: tt.steps}
			resp, err := f.sender(true).Do(t.Context(), booking.Call{
				Kind: config.KindOnce, Service: config.Service{Name: "s", TrustsRefusals: true}, MaxResponses: tt.limit,
				MaxAttempts: tt.attempts, Request: booking.Request{Method: "GET", Path: "/x", ReuseConnection: true},
			})
			outcome := resp.Outcome
			if err != nil {
				outcome = failure.Of(err).Outcome()
			}
			require.Equal(t, tt.outcome, outcome)
			require.Len(t, f.sent, tt.sent)
		})
	}
}

// Guards against a non-idempotent call that continues past its caller's deadline because the endpoint does not respond.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoints{steps: steps{func(ctx context.Context) (booking.Response, error) {
			<-ctx.Done()
			return booking.Response{}, ctx.Err()
		}}}
		begin := time.Now()
		_, err := f.sender(true).Do(t.Context(), booking.Call{
			Kind: config.KindOnce, Deadline: begin.Add(1200 * time.Millisecond),
		})
		require.Equal(t, failure.Unknown, failure.Of(err).Outcome())
		require.Equal(t, 1200*time.Millisecond, time.Since(begin))
	})
}
