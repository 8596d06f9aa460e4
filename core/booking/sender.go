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

// Defaults for the fields of Sender.
const (
	DefaultTimeout     = 30 * time.Second
	DefaultMaxAttempts = 3
)

// Sender sends calls to plain services. Its fields are set before use and not changed after that; its methods are
// safe for concurrent use.
type Sender struct {
	// Pick selects an endpoint.
	Pick func(ctx context.Context, criteria route.Criteria) (route.Choice, error)
	// Send sends a request to one endpoint at most once. The outcome of its error is NotRun only if no byte was
	// written.
	Send func(ctx context.Context, choice route.Choice, r Request) (Response, error)
	// ObserveSend, if not nil, is called after each Send with its error, which may be nil.
	ObserveSend func(choice route.Choice, err error)
	// Claim creates the idempotency record of a key, as claim.Recorder.Claim does. It may be nil if no call has a key.
	Claim func(ctx context.Context, workspace, service, key, digest string) (claim.Ticket, error)
	// TakeRetry takes one retry from the retry budget and reports false if none is left. It is called before every
	// attempt except the first.
	TakeRetry func(call Call) bool
	// Classify determines whether the endpoint executed the request. If it is nil, the error of Send and the status
	// code decide, and for services whose refusals are trusted also the Not-Run response header.
	Classify func(call Call, response Response, err error) failure.Outcome
	// OnUnrecorded, if not nil, is called when the writes of claim.Ticket.Finish have not recorded an outcome.
	OnUnrecorded func(err error)
	// Timeout limits the duration of one attempt. Zero means DefaultTimeout.
	Timeout time.Duration
	// MaxAttempts limits the number of attempts of one call. Zero means DefaultMaxAttempts.
	MaxAttempts int
	// HedgeAfter is the delay before a second, concurrent attempt of an idempotent call starts. Zero disables hedging.
	HedgeAfter time.Duration
}

// Call is one request from a workspace to a service, with the policy for sending it.
type Call struct {
	Workspace string
	Service   config.Service
	Request   Request
	// Key is the idempotency key, or empty. An idempotent call ignores it: it has no record and no replayed response.
	Key string
	// Kind determines whether the call may be repeated. If it is empty, the service's configured calls decide.
	Kind config.RouteKind
	// Criteria holds further requirements on the endpoint. The Sender sets its Kind, Name, Workspace and Exclude.
	Criteria route.Criteria
	// Deadline is the deadline of all attempts together. Zero means Sender.Timeout for each attempt.
	Deadline time.Time
	// Ending ends all attempts of the call, also one of a non-idempotent call that is in flight, whose outcome is then
	// unknown. No attempt is sent after it. It may be nil.
	Ending context.Context
	// Admit is called before each attempt but the first. Its error, whose outcome must be failure.NotRun, prevents that
	// attempt. It may be nil.
	Admit func() error
	// MaxResponses limits the number of endpoints that respond to a non-idempotent call. Endpoints that cannot be
	// reached do not count. Zero means no limit.
	MaxResponses int
	// MaxAttempts and HedgeAfter override those of the Sender unless they are zero.
	MaxAttempts int
	HedgeAfter  time.Duration
}

func (c Call) idempotent() bool {
	if c.Kind != "" {
		return c.Kind == config.KindIdempotent
	}
	return Idempotent(c.Service.Calls, c.Request)
}

func (c Call) endingErr() error {
	if c.Ending == nil {
		return nil
	}
	return c.Ending.Err()
}

func (c Call) admit() error {
	if c.Admit == nil {
		return nil
	}
	return c.Admit()
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	address  string
	response Response
	err      error
	outcome  failure.Outcome
	// sent is false if the attempt ended before Send, for example because no endpoint was found or the claim has
	// expired.
	sent bool
}

// Do sends a call. For a non-idempotent call it returns a response only if the endpoint executed the request; any other
// outcome is a typed error.
func (s *Sender) Do(ctx context.Context, call Call) (Response, error) {
	idempotent := call.idempotent()
	call.Request.ReuseConnection = call.Request.ReuseConnection || idempotent
	switch {
	case idempotent:
		return s.sendIdempotent(ctx, call)
	case call.Key == "":
		return s.sendNonIdempotent(ctx, call, func(string) error { return nil }).toResponse(call.Service.Name)
	default:
		return s.sendKeyed(ctx, call)
	}
}

// sendKeyed sends a call under an idempotency record, or returns the recorded response of the request that holds the
// key.
func (s *Sender) sendKeyed(ctx context.Context, call Call) (Response, error) {
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
	res := s.sendNonIdempotent(ctx, call, func(string) error { return ticket.Check() })
	err = ticket.Finish(ctx, claim.Result{
		Outcome: res.outcome, Status: res.response.Status, Header: res.response.Header, Body: res.response.Body,
	})
	// The caller waits for the writes of the outcome, about claim.Recorder.Timeout at most, but gets the response even if
	// it is not recorded yet; claim.Recorder.Run retries the write.
	if err != nil && s.OnUnrecorded != nil {
		s.OnUnrecorded(err)
	}
	return res.toResponse(call.Service.Name)
}

// sendNonIdempotent sends a non-idempotent call. It tries another endpoint only if the previous one did not execute the
// request and Call.Admit permits. The result is the error of Admit, or that of the last attempt that was sent, or of the
// first attempt if it was not sent. beforeSend is that of attempt.
func (s *Sender) sendNonIdempotent(ctx context.Context, call Call, beforeSend func(address string) error) attemptResult {
	exclude := map[string]bool{}
	var last attemptResult
	responses := 0
	for n := range s.maxAttempts(call) {
		if n > 0 {
			if err := call.admit(); err != nil {
				return attemptResult{err: err, outcome: failure.NotRun}
			}
			if !s.TakeRetry(call) {
				break
			}
		}
		res := s.attempt(ctx, call, exclude, beforeSend)
		if !res.sent && n > 0 {
			break
		}
		last = res
		if !res.sent || res.outcome != failure.NotRun {
			break
		}
		if res.err == nil {
			responses++
		}
		if call.MaxResponses > 0 && responses >= call.MaxResponses {
			break
		}
		exclude[res.address] = true
	}
	return last
}

// attempt picks an endpoint and sends the request once. A request that its caller has canceled is not sent, but a
// non-idempotent one that is in flight is not aborted, because its outcome would then be unknown. beforeSend is called
// immediately before the send; its error, such as that of claim.Ticket.Check, prevents the send. The address is that of
// the endpoint, which idempotentCall.markTried excludes from further attempts.
func (s *Sender) attempt(
	ctx context.Context, call Call, exclude map[string]bool, beforeSend func(address string) error,
) attemptResult {
	criteria := call.Criteria
	criteria.Kind, criteria.Name, criteria.Workspace = route.KindService, call.Service.Name, call.Workspace
	criteria.Exclude = exclude
	choice, err := s.Pick(ctx, criteria)
	if err != nil {
		return attemptResult{err: err, outcome: failure.NotRun}
	}
	defer choice.Release()
	if err := errors.Trace(cmp.Or(ctx.Err(), call.endingErr())); err != nil {
		return attemptResult{err: err, outcome: failure.NotRun}
	}
	if !call.idempotent() {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, s.deadline(call))
	defer cancel()
	if call.Ending != nil {
		defer context.AfterFunc(call.Ending, cancel)()
	}
	if err := beforeSend(choice.Address()); err != nil {
		return attemptResult{err: err, outcome: failure.NotRun}
	}
	choice.Sent()
	response, err := s.Send(ctx, choice, call.Request)
	if s.ObserveSend != nil {
		s.ObserveSend(choice, err)
	}
	classifier := s.Classify
	if classifier == nil {
		classifier = classify
	}
	response.Outcome = classifier(call, response, err)
	return attemptResult{
		address: choice.Address(), response: response, err: err, outcome: response.Outcome, sent: true,
	}
}

// deadline returns the deadline of one attempt of a call.
func (s *Sender) deadline(call Call) time.Time {
	if call.Deadline.IsZero() {
		return time.Now().Add(cmp.Or(s.Timeout, DefaultTimeout))
	}
	return call.Deadline
}

// classify determines whether the endpoint executed the request.
func classify(call Call, response Response, err error) failure.Outcome {
	switch {
	case err != nil && failure.Of(err).Outcome() == failure.NotRun:
		return failure.NotRun
	case err != nil:
		return failure.Unknown
	case response.isRefusal() && call.Service.TrustsRefusals && !response.ConnectionReused:
		return failure.NotRun
	case response.Status >= http.StatusInternalServerError || PromisesNotRun(response.Status):
		return failure.Unknown
	case response.isMethodPreservingRedirect() && !call.Request.ReuseConnection:
		// Without ReuseConnection, the call is not idempotent (see Do). The caller's HTTP library would follow the redirect
		// and send the request again, bypassing the idempotency record if the call has one.
		return failure.Unknown
	default:
		return failure.Ran
	}
}

// toResponse converts the result of the last attempt into the caller's response or error.
func (r attemptResult) toResponse(service string) (Response, error) {
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
