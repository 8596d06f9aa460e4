package generation

import (
	"cmp"
	"context"
	"io"
	"time"

	"github.com/juju/errors"
)

// read delivers the stream's chunks. It returns nil when the generation has finished or another attempt must be made.
func (r *driverCall) read(ctx context.Context) error {
	lastAccepted := time.Now()
	for {
		chunk, err := r.nextChunk(ctx, lastAccepted)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if _, moved := errors.AsType[movedError](err); moved {
			return nil
		}
		if err != nil {
			r.endAttempt(lossClass(err), err)
			return r.checkWaitBound(err)
		}
		part, fresh, err := r.Log.Accept(chunk)
		if err != nil {
			r.observeDropped(ClassCrossed, len(chunk.Tokens()))
			r.endAttempt(ClassCrossed, err)
			return r.checkWaitBound(err)
		}
		r.observeDropped(ClassDuplicate, len(chunk.Tokens())-len(part.Tokens()))
		if !fresh {
			// A repeated chunk is no progress. While such chunks are always available, no wait for one times out.
			if silence := time.Since(lastAccepted); silence > maxSlowdown*r.chunkTimeout() {
				err := SilenceError{Endpoint: r.choice.Address(), After: silence}
				r.endAttempt(ClassSilence, err)
				return r.checkWaitBound(err)
			}
			continue
		}
		if !r.awaitingFirst {
			r.timeouts.ObserveGap(time.Since(lastAccepted))
		}
		if err := r.deliver(part); err != nil {
			return err
		}
		lastAccepted = time.Now()
		if part.Finish() != NotFinished {
			r.closeStream()
			return nil
		}
	}
}

// maxSlowdown limits the silence of a slow engine that repeats chunks, in chunk timeouts.
const maxSlowdown = 2

// checkWaitBound returns an error if the caller's wait bound has passed since the last delivery and no attempt is
// reserved.
func (r *driverCall) checkWaitBound(cause error) error {
	if r.reserved != nil || !r.callerWaitExceeded() || r.Log.Finish() != NotFinished || r.reachedMaxTokens() {
		return nil
	}
	return WaitExceededError{Bound: r.waitBeforeError(), Offset: r.Log.Len(), Result: r.outcome(), Cause: cause}
}

func lossClass(err error) string {
	if _, silent := errors.AsType[SilenceError](err); silent {
		return ClassSilence
	}
	return ClassConnection
}

// nextChunk waits for a chunk. It returns a SilenceError only if the engine is silent and the generation can continue
// elsewhere or may not wait longer.
func (r *driverCall) nextChunk(ctx context.Context, lastAccepted time.Time) (Chunk, error) {
	chunk, err := r.awaitChunk(ctx, lastAccepted)
	silence, silent := errors.AsType[SilenceError](err)
	if !silent || ctx.Err() != nil {
		return chunk, err
	}
	return r.moveOrWait(ctx, silence)
}

// awaitChunk waits for a chunk until the stream's timeout, counted from the last accepted chunk so that duplicates do
// not extend it. It waits longer for an engine whose load reports explain the delay.
func (r *driverCall) awaitChunk(ctx context.Context, lastAccepted time.Time) (Chunk, error) {
	timeout := r.chunkTimeout()
	chunk, timedOut, err := r.waitUnlessStalled(ctx, lastAccepted, timeout)
	if !timedOut {
		return chunk, err
	}
	if ctx.Err() == nil && time.Since(lastAccepted) < timeout {
		// The wait ended early because the engine has stalled or the wait bound has passed.
		return Chunk{}, SilenceError{Endpoint: r.choice.Address(), After: time.Since(lastAccepted)}
	}
	if r.isQueued(ctx, lastAccepted) {
		return r.waitInQueue(ctx, lastAccepted)
	}
	if alive, slowdown := r.health(r.choice.Address()); alive && slowdown > 1 {
		timeout = r.capTimeout(lastAccepted, time.Duration(float64(timeout)*slowdown))
		chunk, timedOut, err = r.waitForChunk(ctx, lastAccepted.Add(timeout))
		if !timedOut {
			return chunk, err
		}
	}
	return Chunk{}, SilenceError{Endpoint: r.choice.Address(), After: timeout}
}

// waitInQueue waits for the first token of a request that is still in the engine's queue. Another attempt would wait in
// the queue of another engine, which would have to repeat the prefill.
func (r *driverCall) waitInQueue(ctx context.Context, lastAccepted time.Time) (Chunk, error) {
	for r.isQueued(ctx, lastAccepted) {
		chunk, timedOut, err := r.waitForChunk(ctx, time.Now().Add(stallCheckInterval))
		if !timedOut {
			return chunk, err
		}
	}
	return Chunk{}, SilenceError{Endpoint: r.choice.Address(), After: time.Since(lastAccepted)}
}

// isQueued reports whether the engine's load reports explain that the first token has not arrived yet.
func (r *driverCall) isQueued(ctx context.Context, lastAccepted time.Time) bool {
	return r.Queued != nil && r.awaitingFirst && !r.recovering && ctx.Err() == nil &&
		time.Since(lastAccepted) < cmp.Or(r.QueueWaitBound, DefaultQueueWaitBound) &&
		!r.stalled(r.choice.Address()) && r.Queued(r.choice.Address())
}

// waitUnlessStalled waits for a chunk until the timeout since lastAccepted has passed or the engine has stalled.
func (r *driverCall) waitUnlessStalled(
	ctx context.Context, lastAccepted time.Time, timeout time.Duration,
) (chunk Chunk, timedOut bool, err error) {
	deadline := lastAccepted.Add(timeout)
	nextCheck := lastAccepted.Add(r.stallGrace())
	for r.Stalled != nil && nextCheck.Before(deadline) {
		chunk, timedOut, err = r.waitForChunk(ctx, nextCheck)
		if !timedOut || ctx.Err() != nil || r.waitBoundPassed() || r.stalled(r.choice.Address()) {
			return chunk, timedOut, err
		}
		nextCheck = time.Now().Add(stallCheckInterval)
	}
	return r.waitForChunk(ctx, deadline)
}

// waitBoundPassed reports whether a recovery has used up the caller's wait bound. waitForChunk then waits no longer.
func (r *driverCall) waitBoundPassed() bool { return r.isBounded() && r.callerWaitExceeded() }

// isBounded reports whether the wait bound applies to the current stream.
func (r *driverCall) isBounded() bool { return r.recovering && !r.openedLate }

// callerWaitExceeded reports whether the caller has waited for the wait bound.
func (r *driverCall) callerWaitExceeded() bool {
	return time.Since(r.lastDelivery) >= r.waitBeforeError()
}

// stallGrace returns the silence after which the stream of a stalled engine is given up.
func (r *driverCall) stallGrace() time.Duration {
	if r.awaitingFirst {
		return firstStallGrace
	}
	return r.timeouts.floor()
}

// chunkTimeout returns the silence that is allowed before the next chunk.
func (r *driverCall) chunkTimeout() time.Duration {
	if r.awaitingFirst {
		return r.firstTimeout
	}
	return r.timeouts.ChunkTimeout()
}

// capTimeout limits the timeout of a slow engine so that half of the caller's wait bound is left for a resume on
// another engine. A first chunk may take longer, as most of its wait is in the engine's queue, and another attempt
// would have to wait in a queue again.
func (r *driverCall) capTimeout(lastAccepted time.Time, timeout time.Duration) time.Duration {
	limit := r.waitBeforeError() / 2
	if r.awaitingFirst {
		limit = r.waitBeforeError() * 5 / 6
	}
	return max(min(timeout, limit-lastAccepted.Sub(r.lastDelivery)), r.chunkTimeout())
}

// waitForChunk waits for a chunk until the deadline, or until the wait bound during a recovery. A timer that fires late
// shows that this daemon was paused or short of CPU time, so that output of the engine may be waiting unread. The wait
// is then extended once.
func (r *driverCall) waitForChunk(ctx context.Context, deadline time.Time) (chunk Chunk, timedOut bool, err error) {
	if r.isBounded() {
		if bound := r.lastDelivery.Add(r.waitBeforeError()); bound.Before(deadline) {
			deadline = bound
		}
	}
	expected := time.Now()
	if deadline.After(expected) {
		expected = deadline
	}
	chunk, timedOut, err = r.waitUntil(ctx, deadline)
	if timedOut && ctx.Err() == nil && time.Since(expected) > lateTimerThreshold {
		chunk, timedOut, err = r.waitUntil(ctx, time.Now().Add(r.timeouts.floor()))
	}
	return chunk, timedOut, err
}

func (r *driverCall) waitUntil(ctx context.Context, deadline time.Time) (chunk Chunk, timedOut bool, err error) {
	waitCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	chunk, err = r.stream.Next(waitCtx)
	if err != nil && waitCtx.Err() != nil {
		return Chunk{}, true, err
	}
	return chunk, false, endOfStream(err)
}

// endOfStream returns the error of a stream that ends: an end marker without a finish reason is its loss, not a normal
// end.
func endOfStream(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (r *driverCall) deliver(part Chunk) error {
	now := time.Now()
	event := Event{
		Kind: EventGap, Address: r.choice.Address(), Incarnation: r.choice.Incarnation(), Attempt: part.Attempt(),
		Wait: now.Sub(r.lastDelivery), Tokens: len(part.Tokens()),
	}
	if r.lastDelivery.Equal(r.started) {
		event.Kind = EventFirst
	}
	if r.recovering && r.resumed {
		resumed := event
		resumed.Kind = EventResumed
		r.observe(resumed)
	}
	if !r.recovering || event.Kind == EventFirst {
		r.observe(event)
	}
	r.recovering, r.awaitingFirst, r.exemptNext, r.lastErr, r.keptReported = false, false, true, nil, false
	r.moveBackoff = 0
	clear(r.exclude)
	err := r.Deliver(part)
	r.lastDelivery = time.Now()
	if err != nil {
		return CallerGoneError{Cause: err}
	}
	return nil
}

// endAttempt ends the current attempt after a loss. After a lost connection or chunk, the engine may still run the
// stream, and attaching to it again costs no prefill. An engine that is silent or mixes up streams is abandoned.
func (r *driverCall) endAttempt(class string, err error) {
	r.closeStream()
	r.recovering, r.resumed, r.lastErr, r.leftSilent = true, true, err, class == ClassSilence
	if class == ClassConnection && r.exemptUsed == 0 {
		// After the first broken connection, the next resume is exempt from the retry budget even without new output: an
		// attempt that only waited at a dead engine leaves no work to repeat.
		r.exemptNext = true
	}
	r.observe(Event{
		Kind: EventLoss, Class: class, Address: r.choice.Address(), Incarnation: r.choice.Incarnation(),
		Attempt: r.Log.Attempt(), Cause: err,
	})
	if r.canReattach(class, err) {
		r.reattach = true
		return
	}
	r.abandon(err)
}

// canReattach reports whether the loss may have left the stream running on an engine that is alive.
func (r *driverCall) canReattach(class string, err error) bool {
	_, gap := errors.AsType[GapError](err)
	if r.Attach == nil || r.awaitingFirst || (class != ClassConnection && !gap) {
		return false
	}
	alive, _ := r.health(r.choice.Address())
	return alive
}

// abandon gives up the current engine and cancels its attempt. It cancels the attempt number that the engine accepted
// from this call of Run, as a higher one may belong to another daemon that has attached since.
func (r *driverCall) abandon(err error) {
	r.lastErr = err
	r.exclude[r.choice.Address()] = true
	if r.acceptedAttempt > 0 && r.Cancel != nil {
		r.Cancel(r.choice.Address(), r.Log.Generation(), r.acceptedAttempt, 0)
	}
	r.release()
}

// skipEndpoint excludes an endpoint that did not run the attempt, because it refused it or could not be reached.
func (r *driverCall) skipEndpoint(err error) {
	r.recovering, r.lastErr = true, err
	r.exclude[r.choice.Address()] = true
	r.observe(Event{
		Kind: EventRefused, Address: r.choice.Address(), Incarnation: r.choice.Incarnation(), Attempt: r.Log.Attempt(), Cause: err,
		Charged: r.charged,
	})
	r.release()
}

func (r *driverCall) observeDropped(class string, tokens int) {
	if tokens > 0 {
		r.observe(Event{Kind: EventDropped, Class: class, Address: r.choice.Address(), Tokens: tokens})
	}
}
