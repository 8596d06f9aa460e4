package generation

import (
	"context"
	"sync"
	"time"

	"radishhollow/core/failure"
	"radishhollow/core/route"
)

// handoverTimeout bounds the time for which a silent stream is kept after the request that is to replace it was sent, so
// that the two engines do not both work on the generation for long. A refusal takes about one round trip, but an engine
// may send its response header only with its first token.
const handoverTimeout = 200 * time.Millisecond

// Classes of EventMoveFailed.
const (
	MoveRefused  = "refused"  // the engine did not run the attempt
	MoveLost     = "lost"     // the attempt failed and may have run
	MoveUnneeded = "unneeded" // the silent engine went on first
)

// maxMoveBackoff bounds the time between two moves of one silent stream, which doubles from minPickDelay after each failed
// one. The first ones follow soon, because the engine may be lost. Moves that are refused take retries from a budget that
// other requests need.
const maxMoveBackoff = 8 * moveCheckInterval

// silentAttempt is the attempt of a silent engine while the attempt that is to replace it is opened.
type silentAttempt struct {
	choice          route.Choice
	choiceHeld      bool
	stream          *Stream
	number          int
	acceptedAttempt int
	awaitingFirst   bool
	firstTimeout    time.Duration
	keptReported    bool
	charged         bool
	silence         SilenceError

	// chunk is set if the engine went on, and lost if the connection ended. stream is closed if closed is set. All are set
	// by openingWatch.
	chunk  *Chunk
	lost   error
	closed bool
}

// handOver opens the reserved attempt and gives up the silent one only if that succeeds, if its connection ends, or
// handoverTimeout after the request was sent. Otherwise the silent attempt stays the current one, and handOver returns
// the chunk with which its engine went on, or nil. Moved reports whether the silent attempt was given up.
func (r *driverCall) handOver(ctx context.Context, silence SilenceError) (chunk *Chunk, moved bool) {
	silent := &silentAttempt{
		choice: r.choice, choiceHeld: r.choiceHeld, stream: r.stream, number: r.Log.Attempt(), silence: silence,
		acceptedAttempt: r.acceptedAttempt, awaitingFirst: r.awaitingFirst, firstTimeout: r.firstTimeout,
		keptReported: r.keptReported, charged: r.charged,
	}
	r.silent, r.choiceHeld, r.stream = silent, false, nil
	r.hold(r.reserved.choice)
	r.charged, r.reserved = r.reserved.charged, nil
	// If the attempt fails after the silent one was given up, Run makes another one.
	_ = r.startAttempt(ctx)
	return silent.chunk, r.stream != silent.stream
}

// runsOn reports whether the silent attempt stays the current one, given the error of the attempt that was to replace it.
func (s *silentAttempt) runsOn(err error) bool { return !s.closed && (s.chunk != nil || err != nil) }

// watch waits until the engine goes on, which ends the move, or until the stream is to be given up. Sent must be closed
// once the request of the new attempt is sent.
func (s *silentAttempt) watch(ctx context.Context, sent <-chan struct{}) {
	watchCtx, cancel := context.WithCancel(ctx)
	var timeout sync.WaitGroup
	defer timeout.Wait()
	defer cancel()
	timeout.Go(func() { s.runTimeout(watchCtx, cancel, sent) })
	chunk, err := s.stream.Next(watchCtx)
	switch {
	case err == nil:
		s.chunk = &chunk
	case ctx.Err() != nil:
	default:
		if watchCtx.Err() == nil {
			s.lost = endOfStream(err)
		}
		s.close()
	}
}

// runTimeout cancels the wait for the silent engine handoverTimeout after sent is closed.
func (s *silentAttempt) runTimeout(ctx context.Context, cancel context.CancelFunc, sent <-chan struct{}) {
	select {
	case <-sent:
	case <-ctx.Done():
		return
	}
	timer := time.NewTimer(handoverTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
		cancel()
	case <-ctx.Done():
	}
}

func (s *silentAttempt) close() {
	if !s.closed {
		s.closed = true
		_ = s.stream.Close()
	}
}

// finishMove gives up the silent attempt.
func (r *driverCall) finishMove() {
	s := r.silent
	r.silent = nil
	s.close()
	class, err := ClassSilence, error(s.silence)
	if s.lost != nil {
		class, err = ClassConnection, s.lost
	}
	r.recovering, r.resumed, r.lastErr, r.leftSilent = true, true, err, class == ClassSilence
	r.observe(Event{
		Kind: EventLoss, Class: class, Address: s.choice.Address(), Incarnation: s.choice.Incarnation(), Attempt: s.number,
		Cause: err,
	})
	r.exclude[s.choice.Address()] = true
	if s.acceptedAttempt > 0 && r.Cancel != nil {
		r.Cancel(s.choice.Address(), r.Log.Generation(), s.acceptedAttempt, 0)
	}
	if s.choiceHeld {
		s.choice.Release()
	}
}

// undoMove ends the new attempt, whose Open returned the stream or the error, and makes the silent one current again.
func (r *driverCall) undoMove(stream Stream, err error, exempt bool) {
	s, failed := r.silent, Event{
		Kind: EventMoveFailed, Class: MoveRefused, Address: r.choice.Address(), Incarnation: r.choice.Incarnation(),
		Attempt: r.Log.Attempt(), Charged: r.charged, Cause: err,
	}
	if err == nil {
		_ = stream.Close()
	}
	if err == nil || failure.Of(err).Outcome() != failure.NotRun {
		failed.Class = MoveLost
		r.countRun(exempt)
		if r.Cancel != nil {
			r.Cancel(failed.Address, r.Log.Generation(), failed.Attempt, 0)
		}
	}
	if s.chunk != nil {
		failed.Class = MoveUnneeded
	} else {
		r.exclude[failed.Address] = true
		r.moveBackoff = min(max(2*r.moveBackoff, minPickDelay), maxMoveBackoff)
	}
	r.release()
	r.silent, r.choice, r.choiceHeld, r.stream = nil, s.choice, s.choiceHeld, s.stream
	r.acceptedAttempt, r.awaitingFirst, r.firstTimeout = s.acceptedAttempt, s.awaitingFirst, s.firstTimeout
	r.keptReported, r.charged = s.keptReported, s.charged
	r.Log.returnToAttempt(s.number)
	r.observe(failed)
}
