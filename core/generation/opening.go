package generation

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/clock"
	"radishhollow/core/failure"
	"radishhollow/core/guard"
)

// startAttempt opens an attempt on the picked endpoint. While Open waits, an openingWatch may reserve a move and cancel
// it.
func (r *driverCall) startAttempt(ctx context.Context) error {
	l := r.Log
	priority, class := r.Priority, ClassFirst
	if r.resumed || r.silent != nil {
		priority, class = r.ResumePriority, ClassResume
	}
	sampling := r.Sampling
	sampling.MaxTokens = r.remainingTokens()
	r.openCalls++
	attempt, exempt := l.NextAttempt(), r.isExempt()
	ctx, cancel := r.withSilenceBound(ctx)
	defer cancel()
	r.opening = true
	watch := r.watchOpening(ctx)
	stream, err := r.Open(watch.openCtx, r.choice.Address(), Start{
		Generation: l.Generation(), Attempt: attempt, Model: r.Model, Prompt: l.Input(), Offset: l.Len(),
		Sampling: sampling, Priority: priority, Choice: r.choice, Sent: watch.sent,
	})
	watchErr := watch.Close()
	r.opening = false
	if r.silent != nil {
		if r.silent.runsOn(err) {
			r.returnMove()
			r.undoMove(stream, err, exempt)
			return err
		}
		r.finishMove()
	}
	if err != nil && failure.Of(err).Outcome() == failure.NotRun {
		r.skipEndpoint(err)
		return err
	}
	r.countRun(exempt)
	if err == nil {
		// If a move was reserved meanwhile, the engine has answered before Open was canceled.
		r.returnMove()
		r.useStream(stream, class)
		return nil
	}
	r.mayHaveRun, r.acceptedAttempt, r.awaitingFirst = true, attempt, true
	return r.handleOpenError(ctx, watchErr, err)
}

// countRun counts an attempt that may have run.
func (r *driverCall) countRun(exempt bool) {
	r.runs++
	if r.exemptNext = false; exempt {
		r.exemptUsed++
	}
}

// handleOpenError ends an attempt whose opening failed although the engine may run it. The loss is of ClassSilence only
// if watchErr is a SilenceError, and otherwise of ClassConnection, also at the wait bound or the request's deadline,
// with which ctx ends. A canceled request reports no loss.
func (r *driverCall) handleOpenError(ctx context.Context, watchErr, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return err
	}
	if watchErr != nil && ctx.Err() == nil {
		err = watchErr
	}
	r.endAttempt(lossClass(err), err)
	return err
}

// openingWatch watches an attempt while Open waits. An engine counts as silent when it has stalled, or when the timeout
// of the first chunk or the wait bound has passed. The watch then cancels Open as soon as it has reserved a move to
// another engine.
type openingWatch struct {
	call       *driverCall
	openCtx    context.Context
	cancelOpen context.CancelFunc
	stop       context.CancelFunc
	done       chan struct{}
	err        error // why Open was canceled; set before done is closed
	// sent is called when the request has been sent, and is nil if no silent attempt is to be replaced. It closes sentSignal.
	sent       func()
	sentSignal chan struct{}
}

func (r *driverCall) watchOpening(ctx context.Context) *openingWatch {
	w := &openingWatch{call: r, done: make(chan struct{})}
	w.openCtx, w.cancelOpen = context.WithCancel(ctx)
	if r.silent != nil {
		w.sentSignal = make(chan struct{})
		w.sent = sync.OnceFunc(func() { close(w.sentSignal) })
	}
	watchCtx, stop := context.WithCancel(w.openCtx)
	w.stop = stop
	go w.run(watchCtx)
	return w
}

// Close ends the watch, waits for its goroutine and returns why it has canceled Open, or nil.
func (w *openingWatch) Close() error {
	w.stop()
	<-w.done
	w.cancelOpen()
	return w.err
}

func (w *openingWatch) run(ctx context.Context) {
	defer close(w.done)
	// A panic of Pick or Stalled ends only this attempt.
	if w.err = guard.Call(func() error { return w.watch(ctx) }, nil); w.err != nil {
		w.cancelOpen()
	}
}

// watch returns a SilenceError once a move away from the silent engine is reserved, or nil when ctx ends.
func (w *openingWatch) watch(ctx context.Context) error {
	r, began := w.call, time.Now()
	if s := r.silent; s != nil {
		s.watch(ctx, w.sentSignal)
		if s.chunk != nil {
			return s.silence
		}
	}
	timeout, silent := r.timeouts.FirstChunkTimeout(), false
	interval := stallCheckInterval
	for wait := min(firstStallGrace, timeout); clock.Sleep(ctx, wait) == nil; wait = interval {
		elapsed := time.Since(began)
		silent = silent || elapsed >= timeout || r.callerWaitExceeded() || r.stalled(r.choice.Address())
		if !silent {
			continue
		}
		reason := r.reserveMove(ctx)
		if reason == "" {
			return SilenceError{Endpoint: r.choice.Address(), After: elapsed}
		}
		r.observeKept(reason)
		interval = moveCheckInterval
	}
	return nil
}
