package generation

import (
	"cmp"
	"context"
	"io"
	"time"

	"github.com/juju/errors"
)

// read delivers the stream's chunks. It returns nil when the generation has finished or the next attempt is due.
func (r *run) read(ctx context.Context) error {
	heard := time.Now()
	for {
		chunk, err := r.next(ctx, heard)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			r.fail(lossClass(err), err)
			return r.withinBound(err)
		}
		part, fresh, err := r.Log.Accept(chunk)
		if err != nil {
			r.drop(ClassCrossed, len(chunk.Tokens()))
			r.fail(ClassCrossed, err)
			return r.withinBound(err)
		}
		r.drop(ClassDuplicate, len(chunk.Tokens())-len(part.Tokens()))
		if !fresh {
			continue
		}
		if !r.fresh {
			r.pace.Observe(time.Since(heard))
		}
		if err := r.deliver(part); err != nil {
			return err
		}
		heard = time.Now()
		if part.Finish() != NotFinished {
			r.closeStream()
			return nil
		}
	}
}

// withinBound ends the run when the caller's wait bound has passed since the last delivery.
func (r *run) withinBound(cause error) error {
	if time.Since(r.progress) < r.waitBound() || r.Log.Finish() != NotFinished || r.full() {
		return nil
	}
	return WaitExceededError{Bound: r.waitBound(), Offset: r.Log.Len(), Result: r.result(), Cause: cause}
}

func lossClass(err error) string {
	if _, silent := errors.AsType[SilenceError](err); silent {
		return ClassSilence
	}
	return ClassConnection
}

// next waits for a chunk until the silence deadline, counted from the last accepted chunk so that duplicates do not
// extend it.
func (r *run) next(ctx context.Context, heard time.Time) (Chunk, error) {
	allowed := r.allowed()
	chunk, timedOut, err := r.waitUnlessStalled(ctx, heard, allowed)
	if !timedOut {
		return chunk, err
	}
	if ctx.Err() == nil && time.Since(heard) < allowed {
		return Chunk{}, SilenceError{Endpoint: r.choice.Address(), After: time.Since(heard)}
	}
	if r.inQueue(ctx, heard) {
		return r.awaitTurn(ctx, heard)
	}
	if alive, slow := r.alive(r.choice.Address()); alive && slow > 1 {
		allowed = r.capped(heard, time.Duration(float64(allowed)*slow))
		chunk, timedOut, err = r.wait(ctx, heard.Add(allowed))
		if !timedOut {
			return chunk, err
		}
	}
	return Chunk{}, SilenceError{Endpoint: r.choice.Address(), After: allowed}
}

// awaitTurn waits for the first token of a request that is still in the engine's queue. A second attempt would wait in
// another queue and make its engine repeat the prefill.
func (r *run) awaitTurn(ctx context.Context, heard time.Time) (Chunk, error) {
	for r.inQueue(ctx, heard) {
		chunk, timedOut, err := r.wait(ctx, time.Now().Add(stalledPause))
		if !timedOut {
			return chunk, err
		}
	}
	return Chunk{}, SilenceError{Endpoint: r.choice.Address(), After: time.Since(heard)}
}

// inQueue tells whether the engine's reports explain that the first token has not come yet.
func (r *run) inQueue(ctx context.Context, heard time.Time) bool {
	return r.Queued != nil && r.fresh && !r.lost && ctx.Err() == nil &&
		time.Since(heard) < cmp.Or(r.QueueWaitBound, DefaultFirstBound) &&
		!r.stalled(r.choice.Address()) && r.Queued(r.choice.Address())
}

// waitUnlessStalled waits for a chunk until the deadline, or until the engine is known to have stalled.
func (r *run) waitUnlessStalled(
	ctx context.Context, heard time.Time, allowed time.Duration,
) (chunk Chunk, timedOut bool, err error) {
	end := heard.Add(allowed)
	until := heard.Add(r.patience())
	for r.Stalled != nil && until.Before(end) {
		chunk, timedOut, err = r.wait(ctx, until)
		if !timedOut || ctx.Err() != nil || r.stalled(r.choice.Address()) {
			return chunk, timedOut, err
		}
		until = time.Now().Add(stalledPause)
	}
	return r.wait(ctx, end)
}

// patience is the silence after which a stalled engine is given up.
func (r *run) patience() time.Duration {
	if r.fresh {
		return firstPatience
	}
	return r.pace.floor()
}

func (r *run) allowed() time.Duration {
	if r.fresh {
		return r.first
	}
	return r.pace.Deadline()
}

// capped keeps half of the caller's wait bound for the resume on another engine. A first chunk may take longer, as
// most of its wait is the engine's queue, where a second attempt would wait again.
func (r *run) capped(heard time.Time, allowed time.Duration) time.Duration {
	limit := r.waitBound() / 2
	if r.fresh {
		limit = r.waitBound() * 5 / 6
	}
	return max(min(allowed, limit-heard.Sub(r.progress)), r.allowed())
}

// wait waits for a chunk until the deadline. A deadline that is noticed late shows that this daemon was paused or short
// of processor time, so that the engine's output may be waiting unread.
func (r *run) wait(ctx context.Context, until time.Time) (chunk Chunk, timedOut bool, err error) {
	if r.lost {
		if bound := r.progress.Add(r.waitBound()); bound.Before(until) {
			until = bound
		}
	}
	due := time.Now()
	if until.After(due) {
		due = until
	}
	chunk, timedOut, err = r.waitUntil(ctx, until)
	if timedOut && ctx.Err() == nil && time.Since(due) > lateTimer {
		chunk, timedOut, err = r.waitUntil(ctx, time.Now().Add(r.pace.floor()))
	}
	return chunk, timedOut, err
}

func (r *run) waitUntil(ctx context.Context, until time.Time) (chunk Chunk, timedOut bool, err error) {
	waitCtx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	chunk, err = r.stream.Next(waitCtx)
	if err != nil && waitCtx.Err() != nil {
		return Chunk{}, true, err
	}
	if errors.Is(err, io.EOF) {
		// An end mark without a finish reason is a lost stream, never a normal end.
		err = io.ErrUnexpectedEOF
	}
	return chunk, false, err
}

func (r *run) deliver(part Chunk) error {
	now := time.Now()
	event := Event{
		Kind: EventGap, Address: r.choice.Address(), Incarnation: r.choice.Incarnation(), Attempt: part.Attempt(),
		Wait: now.Sub(r.progress), Tokens: len(part.Tokens()),
	}
	if r.progress.Equal(r.started) {
		event.Kind = EventFirst
	}
	if r.lost && r.resumed {
		resumed := event
		resumed.Kind = EventResumed
		r.observe(resumed)
	}
	if !r.lost || event.Kind == EventFirst {
		r.observe(event)
	}
	r.lost, r.fresh, r.earned, r.last = false, false, true, nil
	clear(r.exclude)
	err := r.Deliver(part)
	r.progress = time.Now()
	if err != nil {
		return CallerGoneError{Cause: err}
	}
	return nil
}

// fail ends the current attempt after a loss. The engine may still run the stream after a lost connection or chunk;
// attaching again then costs no prefill, while a silent engine or one that crosses streams is left.
func (r *run) fail(class string, err error) {
	r.closeStream()
	r.lost, r.resumed, r.last = true, true, err
	if class == ClassConnection && r.granted == 0 {
		// The first broken connection counts like output: the work that waited on a dead engine is not repeated.
		r.earned = true
	}
	r.observe(Event{
		Kind: EventLoss, Class: class, Address: r.choice.Address(), Incarnation: r.choice.Incarnation(),
		Attempt: r.Log.Attempt(), Cause: err,
	})
	if r.mayAttach(class, err) {
		r.reattach = true
		return
	}
	r.abandon(err)
}

func (r *run) mayAttach(class string, err error) bool {
	_, gap := errors.AsType[GapError](err)
	if r.Attach == nil || r.fresh || (class != ClassConnection && !gap) {
		return false
	}
	alive, _ := r.alive(r.choice.Address())
	return alive
}

// abandon gives up the current engine and cancels the superseded attempt there. The number is the one that the engine
// took from this run: a raised one may belong to another entry that attached meanwhile.
func (r *run) abandon(err error) {
	r.last = err
	r.exclude[r.choice.Address()] = true
	if r.owned > 0 && r.Cancel != nil {
		r.Cancel(r.choice.Address(), r.Log.Generation(), r.owned, 0)
	}
	r.release()
}

// refuse passes over an endpoint that did not run the attempt.
func (r *run) refuse(err error) {
	r.lost, r.last = true, err
	r.exclude[r.choice.Address()] = true
	r.observe(Event{
		Kind: EventRefused, Address: r.choice.Address(), Incarnation: r.choice.Incarnation(), Attempt: r.Log.Attempt(), Cause: err,
	})
	r.release()
}

func (r *run) drop(class string, tokens int) {
	if tokens > 0 {
		r.observe(Event{Kind: EventDropped, Class: class, Address: r.choice.Address(), Tokens: tokens})
	}
}
