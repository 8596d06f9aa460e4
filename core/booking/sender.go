package booking

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/claim"
	"radishhollow/core/config"
	"radishhollow/core/failure"
	"radishhollow/core/route"
)

// Defaults of Sender.
const (
	DefaultTimeout     = 30 * time.Second
	DefaultMaxAttempts = 3
)

// Sender sends plain-service calls. The fields are set before use and are safe for concurrent calls.
type Sender struct {
	// Pick chooses an endpoint.
	Pick func(ctx context.Context, need route.Criteria) (route.Choice, error)
	// Send sends a request to one endpoint at most once. Its error is NotRun only if no byte was written.
	Send func(ctx context.Context, choice route.Choice, r Request) (Response, error)
	// Sent is told the result of each Send; it may be nil.
	Sent func(choice route.Choice, err error)
	// Claim creates the idempotency record of a key.
	Claim func(ctx context.Context, workspace, service, key, digest string) (claim.Ticket, error)
	// MayRetry draws on the retry budget before every attempt but the first.
	MayRetry func(call Call) bool
	// Classify tells whether the endpoint ran the request. Nil trusts the service's refusals and status codes.
	Classify func(call Call, response Response, err error) failure.Outcome
	// Unrecorded is told that an outcome could not be recorded at once; it may be nil.
	Unrecorded func(err error)
	// Timeout bounds one attempt. Zero means DefaultTimeout.
	Timeout time.Duration
	// MaxAttempts bounds the attempts of one call. Zero means DefaultMaxAttempts.
	MaxAttempts int
	// HedgeAfter is the wait before a second attempt of an idempotent call starts. Zero means no hedging.
	HedgeAfter time.Duration
}

// Call is one request of a workspace to a service.
type Call struct {
	Workspace string
	Service   config.Service
	Request   Request
	// Key is the idempotency key, or empty.
	Key string
	// Kind tells whether the call may be repeated; empty asks the service's calls.
	Kind config.Kind
	// Need holds wishes for the endpoint; the sender sets its kind, name, workspace and exclusions.
	Need route.Criteria
	// Deadline bounds all attempts together; zero means Sender.Timeout for each.
	Deadline time.Time
	// MaxSends bounds the endpoints that answer the call, apart from those that could not be reached; 0 means no bound.
	MaxSends int
	// MaxAttempts and HedgeAfter replace those of the Sender unless they are zero.
	MaxAttempts int
	HedgeAfter  time.Duration
}

func (c Call) idempotent() bool {
	if c.Kind != "" {
		return c.Kind == config.KindIdempotent
	}
	return Idempotent(c.Service.Calls, c.Request)
}

// result is what one attempt led to.
type result struct {
	address  string
	response Response
	err      error
	outcome  failure.Outcome
	// sent is false where no endpoint was found or the claim has expired.
	sent bool
}

// Do executes a call. The response of a non-idempotent call has run; everything else is a typed error.
func (s *Sender) Do(ctx context.Context, call Call) (Response, error) {
	idempotent := call.idempotent()
	call.Request.Reuse = call.Request.Reuse || idempotent
	switch {
	case idempotent:
		return s.repeat(ctx, call)
	case call.Key == "":
		return s.once(ctx, call, func(string) error { return nil }).answer(call.Service.Name)
	default:
		return s.keyed(ctx, call)
	}
}

// keyed sends a call under an idempotency record, or replays the record of an earlier request.
func (s *Sender) keyed(ctx context.Context, call Call) (Response, error) {
	r := call.Request
	digest := claim.Digest(r.Method, r.Path, r.Query, r.Body)
	ticket, err := s.Claim(ctx, call.Workspace, call.Service.Name, call.Key, digest)
	if err != nil {
		return Response{}, err
	}
	if !ticket.Owned() {
		recorded, err := ticket.Await(ctx)
		if err != nil {
			return Response{}, err
		}
		return Response{
			Status: recorded.Status, Header: recorded.Header, Body: recorded.Body, Outcome: recorded.Outcome,
		}, nil
	}
	res := s.once(ctx, call, func(string) error { return ticket.Check() })
	err = ticket.Finish(ctx, claim.Recorded{
		Outcome: res.outcome, Status: res.response.Status, Header: res.response.Header, Body: res.response.Body,
	})
	if err != nil && s.Unrecorded != nil {
		s.Unrecorded(err)
	}
	return res.answer(call.Service.Name)
}

// once sends a non-idempotent call and tries another endpoint only while nothing has run.
func (s *Sender) once(ctx context.Context, call Call, check func(address string) error) result {
	exclude := map[string]bool{}
	var last result
	answers := 0
	for n := range s.maxAttempts(call) {
		if n > 0 && !s.MayRetry(call) {
			break
		}
		res := s.attempt(ctx, call, exclude, check)
		if !res.sent && n > 0 {
			break
		}
		last = res
		if !res.sent || res.outcome != failure.NotRun {
			break
		}
		if res.err == nil {
			answers++
		}
		if call.MaxSends > 0 && answers >= call.MaxSends {
			break
		}
		exclude[res.address] = true
	}
	return last
}

// attempt picks an endpoint and sends once. The caller's departure ends the wait for an endpoint, but not a
// non-idempotent call that is under way, whose outcome is still to be recorded.
func (s *Sender) attempt(ctx context.Context, call Call, exclude map[string]bool, check func(address string) error) result {
	need := call.Need
	need.Kind, need.Name, need.Workspace = route.KindService, call.Service.Name, call.Workspace
	need.Exclude = exclude
	choice, err := s.Pick(ctx, need)
	if err != nil {
		return result{err: err, outcome: failure.NotRun}
	}
	defer choice.Release()
	if err := errors.Trace(ctx.Err()); err != nil {
		return result{err: err, outcome: failure.NotRun}
	}
	if !call.idempotent() {
		ctx = context.WithoutCancel(ctx)
	}
	deadline := call.Deadline
	if deadline.IsZero() {
		deadline = time.Now().Add(cmp.Or(s.Timeout, DefaultTimeout))
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := check(choice.Address()); err != nil {
		return result{err: err, outcome: failure.NotRun}
	}
	response, err := s.Send(ctx, choice, call.Request)
	if s.Sent != nil {
		s.Sent(choice, err)
	}
	outcome := s.Classify
	if outcome == nil {
		outcome = classify
	}
	response.Outcome = outcome(call, response, err)
	return result{
		address: choice.Address(), response: response, err: err, outcome: response.Outcome, sent: true,
	}
}

// classify tells whether the endpoint ran the request.
func classify(call Call, response Response, err error) failure.Outcome {
	switch {
	case err != nil && failure.Of(err).Outcome() == failure.NotRun:
		return failure.NotRun
	case err != nil:
		return failure.Unknown
	case response.refused() && call.Service.Refusal:
		return failure.NotRun
	case response.Status >= http.StatusInternalServerError || response.Status == http.StatusTooManyRequests:
		return failure.Unknown
	case response.redirect() && !call.Request.Reuse:
		// The caller's library would follow it and send the booking again, past the idempotency record.
		return failure.Unknown
	default:
		return failure.Ran
	}
}

// answer turns the last attempt into the caller's answer.
func (r result) answer(service string) (Response, error) {
	switch {
	case r.outcome == failure.Ran && r.err == nil:
		return r.response, nil
	case r.outcome == failure.NotRun && r.err != nil && failure.Of(r.err).Outcome() == failure.NotRun:
		return Response{}, r.err
	case r.outcome == failure.NotRun:
		return Response{}, errors.Trace(RefusedError{Service: service, Cause: r.err})
	default:
		return Response{}, errors.Trace(OutcomeUnknownError{
			Service: service, Endpoint: r.address, Status: r.response.Status, Cause: r.err,
		})
	}
}

func (s *Sender) maxAttempts(call Call) int {
	return cmp.Or(call.MaxAttempts, s.MaxAttempts, DefaultMaxAttempts)
}
