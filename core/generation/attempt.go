package generation

import (
	"cmp"
	"context"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/clock"
	"radishhollow/core/failure"
	"radishhollow/core/route"
)

// Delays and limits of a call of Driver.Run. The delay between picks while no endpoint is available doubles from
// minPickDelay, which is short because the routing table may be about to gain an endpoint, to maxPickDelay, which keeps
// the load on the table low.
const (
	minPickDelay = 10 * time.Millisecond
	maxPickDelay = 200 * time.Millisecond
	// stallCheckInterval is the time between checks for a stalled engine, short compared to the resume target of 1.5 s.
	stallCheckInterval = 100 * time.Millisecond
	// firstStallGrace is the time before the engine of an attempt without output is checked for a stall. It is two poll
	// intervals of the load report at the default load-poll, 250 ms with up to 20 % jitter, so that an engine that was
	// idle before the attempt has reported its load since.
	firstStallGrace = 600 * time.Millisecond
	// lateTimerThreshold is the timer delay above which this process counts as paused or short of CPU time. It is well
	// above the timer delay on a machine that is busy but not overloaded.
	lateTimerThreshold = 50 * time.Millisecond
	// maxAttachCalls bounds the search for an attempt number above those of other daemons that have attached.
	maxAttachCalls = 6
)

// driverCall is the state of one call of Driver.Run.
type driverCall struct {
	*Driver
	timeouts        Timeouts
	started         time.Time
	lastDelivery    time.Time       // time of the last delivery, or of the start
	recovering      bool            // an attempt has failed or did not run since the last delivery
	mayHaveRun      bool            // an attempt may have run
	resumed         bool            // an attempt that may have run has failed; later attempts are resumes
	openCalls       int             // calls of Open; all but the first may be charged to the retry budget
	runs            int             // attempts that may have run; bounded by MaxRuns
	exemptUsed      int             // resumes that were exempt from the retry budget
	exemptNext      bool            // the next resume is exempt from the retry budget if exemptUsed is below ExemptResumes
	lastErr         error           // error of the last failed attempt or pick since the last delivery
	exclude         map[string]bool // addresses of endpoints that were given up or did not run an attempt
	choice          route.Choice    // endpoint of the current or last attempt
	choiceHeld      bool            // choice must still be released
	stream          *Stream
	reattach        bool           // the engine of choice may still run the stream; attach to it next
	awaitingFirst   bool           // no chunk has been accepted from the current stream
	acceptedAttempt int            // attempt number that the engine of choice accepted, or may have; 0 if none
	noEndpoint      bool           // the last pick found no endpoint although none was excluded
	firstTimeout    time.Duration  // timeout for the current stream's first chunk
	opening         bool           // Open waits for the current attempt
	charged         bool           // the current attempt took a retry from the retry budget
	leftSilent      bool           // the last attempt that ran was given up because its engine was silent
	reserved        *move          // next attempt, reserved before the current one is given up
	silent          *silentAttempt // attempt that the current one is to replace, while that is opened
	moveBackoff     time.Duration  // time until the next move after one that failed, or zero
	openedLate      bool           // the current stream was opened after the wait bound, which then does not end the wait for it
	keptReported    bool           // EventKept has been reported for the current silence
}

// attachFromCursor attaches to the stream that the caller's cursor describes, and reads it. A failed attach counts as a
// loss; the next attempt is then opened on any endpoint.
func (r *driverCall) attachFromCursor(ctx context.Context) error {
	r.choice, r.choiceHeld, r.mayHaveRun = r.AttachTo, true, true
	l := r.Log
	var err error
	for range maxAttachCalls {
		var stream Stream
		attempt := l.NextAttempt()
		stream, err = r.attach(ctx, attempt)
		if err == nil {
			r.useStream(stream, ClassAttach)
			if err = r.read(ctx); err != nil {
				return r.end(ctx, err)
			}
			return nil
		}
		if _, stale := errors.AsType[StaleAttemptError](err); !stale {
			break
		}
	}
	if ctx.Err() != nil {
		return r.end(ctx, err)
	}
	// The first chunk counts as still awaited, so that endAttempt does not attach to this stream a second time.
	r.awaitingFirst = true
	r.endAttempt(ClassConnection, err)
	return nil
}

// attach waits for a silent engine longer than for a chunk if no other engine can continue the generation.
func (r *driverCall) attach(ctx context.Context, attempt int) (Stream, error) {
	ctx, cancel := r.withSilenceBound(ctx)
	defer cancel()
	if r.Log.CanResumeElsewhere() {
		ctx, cancel = context.WithTimeout(ctx, r.timeouts.ChunkTimeout())
		defer cancel()
	}
	return r.Attach(ctx, r.choice.Address(), r.Log.Generation(), attempt, r.Log.Len())
}

// connect gets the next stream: it attaches to the current engine if that may still run the stream, and otherwise opens
// an attempt on another endpoint.
func (r *driverCall) connect(ctx context.Context) error {
	if r.reattach {
		r.reattach = false
		attempt := r.Log.NextAttempt()
		stream, err := r.attach(ctx, attempt)
		if err == nil {
			r.useStream(stream, ClassAttach)
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		if _, stale := errors.AsType[StaleAttemptError](err); stale {
			return SupersededError{Generation: r.Log.Generation(), Attempt: attempt}
		}
		r.abandon(err)
	}
	if !r.Log.CanResumeElsewhere() {
		return CursorLostError{Endpoint: r.choice.Address(), Offset: r.Log.Len()}
	}
	return r.open(ctx)
}

// open picks endpoints until one accepts an attempt, or until a bound or the retry budget ends the search.
func (r *driverCall) open(ctx context.Context) error {
	delay := minPickDelay
	for {
		err := r.tryOpen(ctx, delay)
		if r.stream != nil {
			return nil
		}
		if _, final := errors.AsType[searchEndedError](err); final {
			return errors.Unwrap(err)
		}
		// The bound is checked anew, because it is another one once a silent engine was given up.
		boundCtx, cancel := r.withSearchBound(ctx)
		ended := boundCtx.Err() != nil
		cancel()
		if ended {
			return err
		}
		delay = min(2*delay, maxPickDelay)
	}
}

// tryOpen makes one attempt. Without one, it waits for the delay. It returns a searchEndedError if no other attempt may
// follow.
func (r *driverCall) tryOpen(ctx context.Context, delay time.Duration) error {
	boundCtx, cancel := r.withSearchBound(ctx)
	defer cancel()
	if err := r.checkNext(boundCtx); err != nil {
		return searchEndedError{err}
	}
	choice, err := r.pick(boundCtx)
	r.noEndpoint = err != nil && len(r.exclude) == 0
	if err != nil {
		if r.recordPickError(err) {
			return searchEndedError{r.newEngineLostError(r.lastErr)}
		}
		_ = clock.Sleep(boundCtx, delay)
		return err
	}
	// route.Table.Pick returns no excluded endpoint. If another Pick does, the endpoint is tried only after the delay.
	if r.exclude[choice.Address()] && clock.Sleep(boundCtx, delay) != nil {
		choice.Release()
		return searchEndedError{r.lastErrorOr(boundCtx.Err())}
	}
	r.hold(choice)
	if r.takeRetry() {
		return r.startAttempt(ctx)
	}
	err = RetryBudgetError{Attempt: r.Log.Attempt() + 1}
	r.release()
	// A silent engine was given up for a move. Where that is refused, the stream waits for another retry.
	if !r.leftSilent || clock.Sleep(boundCtx, moveCheckInterval) != nil {
		return searchEndedError{r.newEngineLostError(err)}
	}
	return err
}

// withSearchBound limits the context to the time for which an endpoint is looked for: the wait bound, or the deadline of
// the request after a silent stream was given up, because its engine might have gone on.
func (r *driverCall) withSearchBound(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.leftSilent {
		return r.withSilenceBound(ctx)
	}
	return r.withWaitBound(ctx)
}

// checkNext returns an error if no further attempt may be made.
func (r *driverCall) checkNext(ctx context.Context) error {
	if r.MaxRuns > 0 && r.runs >= r.MaxRuns {
		return r.newEngineLostError(r.lastErrorOr(RetryBudgetError{Attempt: r.Log.Attempt() + 1}))
	}
	return r.admitNext(ctx)
}

// pick returns the endpoint of the reserved move, or picks one if none is reserved.
func (r *driverCall) pick(ctx context.Context) (route.Choice, error) {
	if r.reserved != nil {
		return r.reserved.choice, nil
	}
	return r.Pick(ctx, r.pickCriteria())
}

// recordPickError records that no endpoint was found and makes excluded endpoints eligible again. It reports whether
// FirstPickBound has passed without an attempt that may have run, or will have before an endpoint ends its rest, or whether
// the limits of the endpoints leave no place.
func (r *driverCall) recordPickError(err error) (boundPassed bool) {
	if r.lastErr == nil {
		r.lastErr = err
	}
	clear(r.exclude)
	waited := time.Since(r.started)
	if resting, ok := errors.AsType[route.RestingError](err); ok {
		waited += resting.Left
	}
	if _, limited := errors.AsType[route.LimitedError](err); limited {
		// Too few places become free for the requests that would wait for them.
		waited = max(waited, r.FirstPickBound)
	}
	return r.runs == 0 && r.FirstPickBound > 0 && waited >= r.FirstPickBound
}

// takeRetry takes one retry from the retry budget for the next attempt, unless the reserved move has one. The first
// attempt and exempt resumes are not charged: a resume after new output repeats no work but the prefill.
func (r *driverCall) takeRetry() bool {
	if r.reserved != nil {
		r.charged, r.reserved = r.reserved.charged, nil
		return true
	}
	r.charged = r.isCharged() && r.TakeRetry()
	return r.charged || !r.isCharged()
}

// isCharged reports whether the next attempt is charged to the retry budget.
func (r *driverCall) isCharged() bool { return r.openCalls > 0 && r.TakeRetry != nil && !r.isExempt() }

// isExempt reports whether the next resume is not charged to the retry budget. No resume is exempt that replaces an
// attempt without output.
func (r *driverCall) isExempt() bool {
	return !r.opening && r.exemptNext && r.exemptUsed < r.exemptResumes()
}

// withWaitBound limits the context to what is left of the caller's wait bound.
func (r *driverCall) withWaitBound(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(
		ctx, r.lastDelivery.Add(r.waitBeforeError()), WaitExceededError{Bound: r.waitBeforeError()},
	)
}

// useStream makes the stream of a new attempt the current one. Class is ClassFirst, ClassResume or ClassAttach.
func (r *driverCall) useStream(stream Stream, class string) {
	r.stream, r.mayHaveRun, r.awaitingFirst, r.acceptedAttempt = &stream, true, true, r.Log.Attempt()
	r.firstTimeout, r.keptReported, r.moveBackoff = r.timeouts.FirstChunkTimeout(), false, 0
	r.openedLate = r.leftSilent && r.callerWaitExceeded()
	if class == ClassAttach {
		// The engine of an attached stream has already done the prefill.
		r.firstTimeout = r.timeouts.ChunkTimeout()
	}
	r.observe(Event{
		Kind: EventAttempt, Class: class, Address: r.choice.Address(), Incarnation: r.choice.Incarnation(),
		Attempt: r.Log.Attempt(), Tokens: r.Log.PromptLen() + r.Log.Len(),
	})
}

func (r *driverCall) pickCriteria() route.Criteria {
	criteria := r.Criteria
	criteria.Prompt = r.Log.Input()
	criteria.MaxTokens = r.remainingTokens()
	criteria.Resume = r.resumed
	criteria.Exclude = r.exclude
	if spec := r.Log.Spec(); !spec.IsZero() {
		criteria.Spec = spec.String()
	}
	return criteria
}

func (r *driverCall) hold(choice route.Choice) {
	r.release()
	r.choice, r.choiceHeld, r.acceptedAttempt = choice, true, 0
}

func (r *driverCall) release() {
	if r.choiceHeld {
		r.choiceHeld = false
		r.choice.Release()
	}
}

func (r *driverCall) closeStream() {
	if r.stream != nil {
		// An error of Close is ignored because the attempt is already over.
		_ = r.stream.Close()
		r.stream = nil
	}
}

// end closes the stream and turns the error of an attempt into the error that Run returns.
func (r *driverCall) end(ctx context.Context, err error) error {
	r.closeStream()
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	if _, gone := errors.AsType[CallerGoneError](err); gone {
		r.scheduleCancel()
		return err
	}
	if ctx.Err() != nil || isFinal(err) {
		return err
	}
	if r.specLost(ctx) {
		return SpecLostError{Spec: r.Log.Spec(), Offset: r.Log.Len()}
	}
	if r.noEndpoint {
		if r.openCalls == 0 && r.outcome() == failure.NotRun {
			return err
		}
		return r.newEngineLostError(r.lastErrorOr(err))
	}
	return WaitExceededError{
		Bound: r.waitBeforeError(), Offset: r.Log.Len(), Result: r.outcome(), Cause: r.lastErrorOr(err),
	}
}

func (r *driverCall) lastErrorOr(err error) error {
	if r.lastErr != nil {
		return r.lastErr
	}
	return err
}

// specLost reports whether endpoints serve the model, but none with the weights that produced the delivered ids.
func (r *driverCall) specLost(ctx context.Context) bool {
	if r.Log.Spec().IsZero() {
		return false
	}
	criteria := r.pickCriteria()
	criteria.Exclude = nil
	if choice, err := r.Pick(ctx, criteria); err == nil {
		choice.Release()
		return false
	}
	criteria.Spec = ""
	choice, err := r.Pick(ctx, criteria)
	if err != nil {
		return false
	}
	choice.Release()
	return true
}

// newEngineLostError returns the error for a generation that cannot continue on any endpoint.
func (r *driverCall) newEngineLostError(cause error) error {
	return EngineLostError{Endpoint: r.choice.Address(), Offset: r.Log.Len(), Result: r.outcome(), Cause: cause}
}

// outcome returns NotRun only if no attempt can have run.
func (r *driverCall) outcome() failure.Outcome {
	switch {
	case r.Log.Len() > 0:
		return failure.Ran
	case r.mayHaveRun:
		return failure.Unknown
	}
	return failure.NotRun
}

// scheduleCancel cancels the current attempt once the disconnected caller's time to reconnect has passed.
func (r *driverCall) scheduleCancel() {
	if r.acceptedAttempt > 0 && r.Cancel != nil {
		r.Cancel(r.choice.Address(), r.Log.Generation(), r.acceptedAttempt, cmp.Or(r.ReconnectGrace, DefaultReconnectGrace))
	}
}
