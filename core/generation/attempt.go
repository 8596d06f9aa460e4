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

// Pauses between picks while no endpoint is available. The first is short because a table entry may be about to
// arrive; the longest keeps the load on the table low.
const (
	firstPickPause = 10 * time.Millisecond
	lastPickPause  = 200 * time.Millisecond
	// stalledPause is the time between checks for a stalled engine, short against the resume target of 1.5 s.
	stalledPause = 100 * time.Millisecond
	// firstPatience is two poll intervals of the load report, so that an engine that was idle has reported since.
	firstPatience = 600 * time.Millisecond
	// lateTimer is well above the delay of timers on a busy machine that still keeps up.
	lateTimer = 50 * time.Millisecond
	// maxAttachTries bounds the search for an attempt number above that of other entries that attached.
	maxAttachTries = 6
)

// run is the state of one Driver.Run.
type run struct {
	*Driver
	pace     Timeouts
	started  time.Time
	progress time.Time // time of the last delivery, or of the start
	lost     bool      // an attempt has failed since the last delivery
	opened   bool      // an attempt may have run
	resumed  bool      // an attempt has failed after it may have run
	tries    int       // opened attempts, for the retry budget
	runs     int       // attempts that may have run
	granted  int       // resumes made apart from the retry budget
	earned   bool      // the next resume is apart from the retry budget, if OwnResumes are not used up
	last     error     // the last attempt's failure
	exclude  map[string]bool
	choice   route.Choice
	held     bool // choice is to be released
	stream   *Stream
	reattach bool          // the engine of choice may still run the stream
	fresh    bool          // no chunk has been accepted from the current stream
	owned    int           // the attempt number that the engine of choice has taken from this run; 0 if none
	unpicked bool          // the last pick found no endpoint, even among those that had failed before
	first    time.Duration // deadline of the current stream's first chunk
}

func (r *run) attachCursor(ctx context.Context) error {
	r.choice, r.held, r.opened = r.AttachTo, true, true
	l := r.Log
	var err error
	for range maxAttachTries {
		var stream Stream
		attempt := l.Raise()
		stream, err = r.attach(ctx, attempt)
		if err == nil {
			r.use(stream, ClassAttach)
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
	// A stream that was never attached is not attached to a second time.
	r.fresh = true
	r.fail(ClassConnection, err)
	return nil
}

func (r *run) attach(ctx context.Context, attempt int) (Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, r.pace.Deadline())
	defer cancel()
	return r.Attach(ctx, r.choice.Address(), r.Log.Generation(), attempt, r.Log.Len())
}

// connect opens the next stream: on the same engine if that still runs it, else on another.
func (r *run) connect(ctx context.Context) error {
	if r.reattach {
		r.reattach = false
		attempt := r.Log.Raise()
		stream, err := r.attach(ctx, attempt)
		if err == nil {
			r.use(stream, ClassAttach)
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
	if !r.Log.Complete() {
		return CursorLostError{Endpoint: r.choice.Address(), Offset: r.Log.Len()}
	}
	return r.open(ctx)
}

func (r *run) open(ctx context.Context) error {
	ctx, cancel := r.bounded(ctx)
	defer cancel()
	pause := firstPickPause
	for {
		if r.MaxRuns > 0 && r.runs >= r.MaxRuns {
			return r.giveUp(r.cause(BudgetError{Attempt: r.Log.Attempt() + 1}))
		}
		choice, err := r.Pick(ctx, r.need())
		r.unpicked = err != nil && len(r.exclude) == 0
		if err == nil {
			if r.exclude[choice.Address()] && clock.Sleep(ctx, pause) != nil {
				choice.Release()
				return r.cause(ctx.Err())
			}
			r.hold(choice)
			if !r.mayRetry() {
				return r.giveUp(BudgetError{Attempt: r.Log.Attempt() + 1})
			}
			if err = r.start(ctx); err == nil {
				return nil
			}
			pause = min(2*pause, lastPickPause)
		} else {
			if r.unserved(err) {
				return r.giveUp(r.last)
			}
			if pauseErr := clock.Sleep(ctx, pause); pauseErr != nil {
				return err
			}
			pause = min(2*pause, lastPickPause)
		}
		if ctx.Err() != nil {
			return err
		}
	}
}

// unserved notes that no endpoint was found, and tells whether a generation that has not run waits no longer.
func (r *run) unserved(err error) bool {
	if r.last == nil {
		r.last = err
	}
	clear(r.exclude)
	return r.runs == 0 && r.FirstPickBound > 0 && time.Since(r.started) >= r.FirstPickBound
}

// mayRetry draws on the retry budget, unless output has arrived since the last attempt: a resume then repeats no work
// but the prefill.
func (r *run) mayRetry() bool {
	if r.tries == 0 || r.MayRetry == nil || r.owns() {
		return true
	}
	return r.MayRetry()
}

func (r *run) owns() bool { return r.earned && r.granted < r.ownResumes() }

// bounded limits the context to what is left of the caller's wait bound.
func (r *run) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(ctx, r.progress.Add(r.waitBound()), WaitExceededError{Bound: r.waitBound()})
}

// start opens an attempt on the held choice.
func (r *run) start(ctx context.Context) error {
	l := r.Log
	priority, class := r.Priority, ClassFirst
	if r.resumed {
		priority, class = r.ResumePriority, ClassResume
	}
	sampling := r.Sampling
	sampling.MaxTokens = r.remaining()
	r.tries++
	attempt, owns := l.Raise(), r.owns()
	openCtx, cancel := context.WithTimeout(ctx, r.pace.FirstDeadline())
	defer cancel()
	defer r.watch(openCtx, cancel)()
	began := time.Now()
	stream, err := r.Open(openCtx, r.choice.Address(), Start{
		Generation: l.Generation(), Attempt: attempt, Model: r.Model, Prompt: l.Input(), Offset: l.Len(),
		Sampling: sampling, Priority: priority,
	})
	if err != nil && failure.Of(err).Outcome() == failure.NotRun {
		r.refuse(err)
		return err
	}
	r.runs++
	if r.earned = false; owns {
		r.granted++
	}
	if err == nil {
		r.use(stream, class)
		return nil
	}
	r.opened, r.owned, r.fresh = true, attempt, true
	return r.failOpening(ctx, openCtx.Err() != nil, time.Since(began), err)
}

// failOpening classifies an attempt that may run although its opening failed.
func (r *run) failOpening(ctx context.Context, timedOut bool, after time.Duration, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return err
	}
	if !timedOut || ctx.Err() != nil {
		r.fail(ClassConnection, err)
		return err
	}
	if r.stalled(r.choice.Address()) {
		err = SilenceError{Endpoint: r.choice.Address(), After: after}
	}
	r.fail(ClassSilence, err)
	return err
}

// watch cancels the opening of an attempt on an engine that has stalled. The returned function ends the watch.
func (r *run) watch(ctx context.Context, cancel context.CancelFunc) (stop func()) {
	if r.Stalled == nil {
		return func() {}
	}
	ctx, end := context.WithCancel(ctx)
	address, done := r.choice.Address(), make(chan struct{})
	go func() {
		defer close(done)
		r.runWatch(ctx, address, cancel)
	}()
	return func() {
		end()
		<-done
	}
}

func (r *run) runWatch(ctx context.Context, address string, cancel context.CancelFunc) {
	for pause := firstPatience; clock.Sleep(ctx, pause) == nil; pause = stalledPause {
		if r.stalled(address) {
			cancel()
			return
		}
	}
}

func (r *run) use(stream Stream, class string) {
	r.stream, r.opened, r.fresh, r.owned = &stream, true, true, r.Log.Attempt()
	r.first = r.pace.FirstDeadline()
	if class == ClassAttach {
		// An attached stream has done its prefill.
		r.first = r.pace.Deadline()
	}
	r.observe(Event{
		Kind: EventAttempt, Class: class, Address: r.choice.Address(), Incarnation: r.choice.Incarnation(),
		Attempt: r.Log.Attempt(), Tokens: r.Log.PromptLen() + r.Log.Len(),
	})
}

func (r *run) need() route.Criteria {
	need := r.Need
	need.Prompt = r.Log.Input()
	need.MaxTokens = r.remaining()
	need.Resume = r.resumed
	need.Exclude = r.exclude
	if spec := r.Log.Spec(); !spec.IsZero() {
		need.Spec = spec.String()
	}
	return need
}

func (r *run) hold(choice route.Choice) {
	r.release()
	r.choice, r.held, r.owned = choice, true, 0
}

func (r *run) release() {
	if r.held {
		r.held = false
		r.choice.Release()
	}
}

func (r *run) closeStream() {
	if r.stream != nil {
		// The attempt is over; an error of its close changes nothing.
		_ = r.stream.Close()
		r.stream = nil
	}
}

// end turns the error of a loop step into the error that the caller gets.
func (r *run) end(ctx context.Context, err error) error {
	r.closeStream()
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	if _, gone := errors.AsType[CallerGoneError](err); gone {
		r.cancelForCaller()
		return err
	}
	if ctx.Err() != nil || isEnd(err) {
		return err
	}
	if r.specLost(ctx) {
		return SpecLostError{Spec: r.Log.Spec(), Offset: r.Log.Len()}
	}
	if r.unpicked {
		if r.tries == 0 && r.result() == failure.NotRun {
			return err
		}
		return r.giveUp(r.cause(err))
	}
	return WaitExceededError{Bound: r.waitBound(), Offset: r.Log.Len(), Result: r.result(), Cause: r.cause(err)}
}

func isEnd(err error) bool {
	switch failure.Of(err).(type) {
	case EngineLostError, WaitExceededError, SupersededError, CursorLostError:
		return true
	}
	return false
}

func (r *run) cause(err error) error {
	if r.last != nil {
		return r.last
	}
	return err
}

// specLost tells whether endpoints serve the model, but none with the weights that produced the delivered ids.
func (r *run) specLost(ctx context.Context) bool {
	if r.Log.Spec().IsZero() {
		return false
	}
	need := r.need()
	need.Exclude = nil
	if choice, err := r.Pick(ctx, need); err == nil {
		choice.Release()
		return false
	}
	need.Spec = ""
	choice, err := r.Pick(ctx, need)
	if err != nil {
		return false
	}
	choice.Release()
	return true
}

func (r *run) giveUp(cause error) error {
	return EngineLostError{Endpoint: r.choice.Address(), Offset: r.Log.Len(), Result: r.result(), Cause: cause}
}

// result is NotRun only while every attempt was refused before it ran.
func (r *run) result() failure.Outcome {
	switch {
	case r.Log.Len() > 0:
		return failure.Ran
	case r.opened:
		return failure.Unknown
	}
	return failure.NotRun
}

func (r *run) cancelForCaller() {
	if r.owned > 0 && r.Cancel != nil {
		r.Cancel(r.choice.Address(), r.Log.Generation(), r.owned, cmp.Or(r.ReconnectGrace, DefaultCallerReturn))
	}
}
