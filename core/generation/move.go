package generation

import (
	"context"
	"maps"
	"time"

	"radishhollow/core/route"
)

// moveCheckInterval is the time between two attempts to reserve a move away from a silent engine. It is short compared
// with the pause that a caller tolerates, and bounds the calls of Pick and TakeRetry of a long silence.
const moveCheckInterval = 200 * time.Millisecond

// Reasons why the stream of a silent engine is kept. They are the classes of EventKept.
const (
	ReasonAttemptsUsed = "attempts-used"
	ReasonNotResumable = "not-resumable"
	ReasonWaitBound    = "wait-bound"
	ReasonRetryBudget  = "retry-budget"
	ReasonNoEndpoint   = "no-endpoint"
	ReasonNotAdmitted  = "not-admitted"
	ReasonMoveFailed   = "move-failed"
)

// move is the endpoint and the retry of the next attempt, reserved while the current attempt still runs.
type move struct {
	choice  route.Choice
	charged bool // a retry was taken from the retry budget
}

// reserveMove reserves the next attempt at another endpoint and returns an empty string, or why the generation
// cannot continue elsewhere. A silent engine is given up only after that, because it may be sound and go on.
func (r *driverCall) reserveMove(ctx context.Context) (reason string) {
	if r.reachedMaxTokens() {
		// Only the end of the stream is missing, for which no other engine is needed.
		return ""
	}
	late := r.callerWaitExceeded()
	if reason = r.reasonToStay(late); reason != "" {
		return reason
	}
	charged := r.isCharged()
	if charged && !r.TakeRetry() {
		return ReasonRetryBudget
	}
	// The retry is taken first, so that a caller without one does not pick an endpoint at each check.
	choice, err := r.pickOther(ctx)
	if err != nil {
		if charged {
			r.returnRetry()
		}
		return ReasonNoEndpoint
	}
	reserved := &move{choice: choice, charged: charged}
	switch {
	case choice.Address() == r.choice.Address():
		reason = ReasonNoEndpoint
	case !late && r.callerWaitExceeded():
		// Pick has taken too long. An attempt that starts now would end at once.
		reason = ReasonWaitBound
	case !r.mayMove():
		// Admission is asked last, because it may be granted to one attempt only.
		reason = ReasonNotAdmitted
	default:
		r.reserved = reserved
		return ""
	}
	r.returnUnused(reserved)
	return reason
}

// reasonToStay returns why the stream must not leave its engine, or an empty string. Late reports whether the wait bound
// has passed. After so long a wait, only an engine that does not respond to anything is left; a slow one will go on.
func (r *driverCall) reasonToStay(late bool) (reason string) {
	runs := r.runs
	if r.opening {
		runs++
	}
	switch {
	case r.MaxRuns > 0 && runs >= r.MaxRuns:
		reason = ReasonAttemptsUsed
	case !r.Log.CanResumeElsewhere():
		reason = ReasonNotResumable
	}
	if late && (reason != "" || !r.stalled(r.choice.Address())) {
		return ReasonWaitBound
	}
	return reason
}

// pickOther picks an endpoint other than that of the current attempt. As in open, endpoints that were excluded before
// become eligible again if there is no other.
func (r *driverCall) pickOther(ctx context.Context) (route.Choice, error) {
	criteria := r.pickCriteria()
	criteria.Resume, criteria.ExcludeSilent = true, true
	criteria.Exclude = maps.Clone(r.exclude)
	criteria.Exclude[r.choice.Address()] = true
	if r.silent != nil {
		criteria.Exclude[r.silent.choice.Address()] = true
	}
	choice, err := r.Pick(ctx, criteria)
	if err == nil || len(r.exclude) == 0 {
		return choice, err
	}
	clear(r.exclude)
	criteria.Exclude = map[string]bool{r.choice.Address(): true}
	return r.Pick(ctx, criteria)
}

// returnMove frees the reserved move, if there is one.
func (r *driverCall) returnMove() {
	if r.reserved != nil {
		r.returnUnused(r.reserved)
		r.reserved = nil
	}
}

func (r *driverCall) returnUnused(m *move) {
	m.choice.Release()
	if m.charged {
		r.returnRetry()
	}
}

func (r *driverCall) returnRetry() {
	if r.ReturnRetry != nil {
		r.ReturnRetry()
	}
}

// moveOrWait handles a silence of the current stream's engine. It returns the SilenceError once a move is reserved, and
// until then waits for the next chunk, up to the request's deadline, or up to the wait bound if it has none.
func (r *driverCall) moveOrWait(ctx context.Context, silence SilenceError) (Chunk, error) {
	boundCtx, cancel := r.withSilenceBound(ctx)
	defer cancel()
	for boundCtx.Err() == nil {
		reason := r.reserveMove(boundCtx)
		wait := time.Duration(0)
		if reason != "" {
			r.observeKept(reason)
			wait = moveCheckInterval
		}
		// With a reserved move, this takes a chunk that has arrived meanwhile.
		chunk, timedOut, err := r.waitUntil(boundCtx, time.Now().Add(wait))
		if !timedOut {
			r.returnMove()
			return chunk, err
		}
		if reason != "" {
			continue
		}
		if r.reserved == nil {
			return Chunk{}, silence
		}
		next, moved := r.handOver(ctx, silence)
		if moved {
			return Chunk{}, movedError{silence}
		}
		if next != nil {
			return *next, nil
		}
		r.observeKept(ReasonMoveFailed)
		if chunk, timedOut, err = r.waitUntil(boundCtx, time.Now().Add(r.moveBackoff)); !timedOut {
			return chunk, err
		}
	}
	return Chunk{}, silence
}

// withSilenceBound limits the context to the time for which a silent engine may be waited for. The deadline of a
// request is such a limit; the wait bound is the one of a request without a deadline.
func (r *driverCall) withSilenceBound(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, limited := ctx.Deadline(); limited {
		return ctx, func() {}
	}
	return r.withWaitBound(ctx)
}

// observeKept reports once for each silence that the stream of the silent engine is kept.
func (r *driverCall) observeKept(reason string) {
	if r.keptReported {
		return
	}
	r.keptReported = true
	silence := time.Since(r.lastDelivery)
	r.observe(Event{
		Kind: EventKept, Class: reason, Address: r.choice.Address(), Incarnation: r.choice.Incarnation(),
		Attempt: r.Log.Attempt(), Wait: silence, Cause: SilenceError{Endpoint: r.choice.Address(), After: silence},
	})
}
