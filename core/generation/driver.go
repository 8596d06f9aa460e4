package generation

import (
	"cmp"
	"context"
	"time"

	"radishhollow/core/route"
)

// Defaults of Driver.
const (
	DefaultWaitBound      = 3 * time.Second
	DefaultReconnectGrace = 10 * time.Second
	DefaultQueueWaitBound = 10 * time.Second
	// DefaultExemptResumes resumes are not charged to the retry budget. The loss of one engine interrupts all of its
	// streams at once, which would exhaust a budget that is sized for single failures.
	DefaultExemptResumes = 3
	// errorDeliveryMargin is the part of the wait bound that is reserved for sending an error to the caller. It is at most
	// a tenth of the bound.
	errorDeliveryMargin = 100 * time.Millisecond
)

// Driver runs one generation to its end, over several attempts if engines fail. All functions but Admit, AdmitMove,
// Attach, Cancel, Health, Stalled, Queued, TakeRetry, ReturnRetry and Observe are required. It is not safe for concurrent use.
//
// A silent engine may be sound and go on, so its stream is given up only after another engine has accepted the next
// attempt, or handoverTimeout after the request was sent there. If the engine goes on first, or the other one refuses,
// fails or cannot be reached, the stream is kept. It is also kept while no move is possible, until its connection ends or
// the deadline of Run's context passes. Without such a deadline, the stream is kept up to WaitBound.
// AdmitMove must return an error where the silent engine may complete the stream and a new run would be cut, as in a planned
// stop.
//
// While Open waits, AdmitMove, Pick, Stalled, TakeRetry, ReturnRetry and, for EventKept, Observe are called from another goroutine.
type Driver struct {
	// Admit is called before each Pick that precedes an attempt, and may wait until its context ends. Its error ends the
	// generation with an AdmissionError.
	Admit func(ctx context.Context) error
	// AdmitMove is called before a silent stream is moved, which replaces Admit for that attempt. It may probe the silent
	// engine as Stalled does, but must not wait longer, because the stream is not read meanwhile. After an error, the stream
	// is kept.
	AdmitMove func() error
	// Pick chooses the endpoint of the next attempt. Its choice may be released without an attempt.
	Pick func(ctx context.Context, criteria route.Criteria) (route.Choice, error)
	// Open starts an attempt. Its context bounds the opening only; the stream stays open until its Close.
	Open func(ctx context.Context, address string, start Start) (Stream, error)
	// Attach takes over a running stream on an engine, with a higher attempt number. It is nil, as is Cancel, for engines
	// that end a stream with its connection.
	Attach func(ctx context.Context, address, generation string, attempt, offset int) (Stream, error)
	// Cancel cancels exactly this attempt on the engine after the delay. It must not block.
	Cancel func(address, generation string, attempt int, after time.Duration)
	// Deliver sends the next part of the output to the caller. An error means that the caller has disconnected.
	Deliver func(part Chunk) error
	// Observe is called before the Deliver of the same chunk.
	Observe func(event Event)
	// Health returns whether the endpoint runs, for example according to its load reports, and the factor by which it is
	// slower than usual. If it is nil, no endpoint counts as running, and a lost stream is not attached to again.
	Health func(address string) (alive bool, slowdown float64)
	// Stalled reports whether an endpoint has stopped responding, for example according to its load reports, other
	// streams or a connection attempt, for which it may block. While a chunk is awaited, it is called every
	// stallCheckInterval, after a silence of firstStallGrace before an attempt's first chunk, and of Timeouts.Floor later.
	// A stream of a stalled endpoint then counts as silent, before its own timeout. Stalled is also called while Open
	// waits, and while the request waits in the engine's queue.
	Stalled func(address string) bool
	// Queued reports whether an endpoint has requests or prompts waiting, according to recent load reports.
	Queued func(address string) bool
	// TakeRetry takes one retry from the retry budget and reports false if none is left. If it is nil, retries are not
	// limited.
	TakeRetry func() bool
	// ReturnRetry returns a retry to the retry budget that TakeRetry took for an attempt which is not made. It must be set
	// if TakeRetry is, because a move from a silent engine may be reserved and returned many times.
	ReturnRetry func()
	// ExemptResumes is the number of resumes of a generation that are not charged to the retry budget. Zero means
	// DefaultExemptResumes, a negative number none.
	ExemptResumes int
	// MaxRuns bounds the number of attempts that may have run, which excludes those with outcome not-run. Zero means no
	// bound.
	MaxRuns int

	Log   *Log
	Model string
	// Criteria describes the endpoint of the first attempt. Run overwrites Prompt, MaxTokens, Resume and Exclude for each
	// attempt, and Spec if Log has one.
	Criteria route.Criteria
	Sampling Sampling
	Priority int
	// ResumePriority replaces Priority after a loss. It should be the lower number, which engines serve sooner.
	ResumePriority int
	Timeouts       Timeouts
	// WaitBound bounds the caller's wait until the first stream is open, and its wait for the next token after a loss. In
	// a request with a deadline, only the deadline bounds the wait for an engine that the request was sent to. Zero means
	// DefaultWaitBound.
	WaitBound time.Duration
	// QueueWaitBound bounds the wait for the first token of a request in an engine's queue while no attempt has failed.
	// Zero means DefaultQueueWaitBound.
	QueueWaitBound time.Duration
	// FirstPickBound bounds the wait for an endpoint while no attempt can have run. Zero means WaitBound.
	FirstPickBound time.Duration
	// ReconnectGrace is the time that a disconnected caller has to reconnect with its cursor before the attempt is
	// canceled. Zero means DefaultReconnectGrace.
	ReconnectGrace time.Duration
	// AttachTo is the endpoint of a cursor, whose stream Run attaches to first. For its zero value, Run starts an attempt.
	AttachTo route.Choice
}

// Run makes attempts until the generation has finished or ends with a typed error. Cancel the context with
// CallerGoneError as its cause when the caller disconnects. For any other cause Run does not cancel the attempt, and
// the engine ends it after its detach hold.
func (d *Driver) Run(ctx context.Context) error {
	now := time.Now()
	r := &driverCall{Driver: d, started: now, lastDelivery: now, exclude: map[string]bool{}, timeouts: d.Timeouts}
	defer r.release()
	defer r.returnMove()
	if d.AttachTo.Address() != "" {
		if err := r.attachFromCursor(ctx); err != nil {
			return err
		}
	}
	for {
		if r.Log.Finish() != NotFinished {
			return nil
		}
		if r.reachedMaxTokens() {
			return r.finishAtLength()
		}
		// A silent stream has already been replaced by that of the next attempt.
		if r.stream == nil {
			if err := r.connect(ctx); err != nil {
				return r.end(ctx, err)
			}
		}
		if err := r.read(ctx); err != nil {
			return r.end(ctx, err)
		}
	}
}

// waitBeforeError returns the wait after which an error must be sent to the caller, so that it arrives within
// WaitBound.
func (d *Driver) waitBeforeError() time.Duration {
	bound := cmp.Or(d.WaitBound, DefaultWaitBound)
	return bound - min(errorDeliveryMargin, bound/10)
}

func (d *Driver) observe(event Event) {
	if d.Observe != nil {
		d.Observe(event)
	}
}

func (d *Driver) health(address string) (bool, float64) {
	if d.Health == nil {
		return false, 1
	}
	alive, slowdown := d.Health(address)
	return alive, max(slowdown, 1)
}

func (d *Driver) exemptResumes() int {
	if d.ExemptResumes == 0 {
		return DefaultExemptResumes
	}
	return d.ExemptResumes
}

func (d *Driver) stalled(address string) bool { return d.Stalled != nil && d.Stalled(address) }

// remainingTokens returns the number of token ids that may still follow, or 0 if max_tokens is 0, which means no limit.
func (d *Driver) remainingTokens() int {
	if d.Sampling.MaxTokens == 0 {
		return 0
	}
	return d.Sampling.MaxTokens - d.Log.Len()
}

// reachedMaxTokens reports whether as many ids have been delivered as the caller asked for.
func (d *Driver) reachedMaxTokens() bool {
	return d.Sampling.MaxTokens > 0 && d.remainingTokens() <= 0
}

// finishAtLength ends a generation whose finish chunk was lost after its last id. An engine would refuse a request for
// the remaining 0 tokens, or produce an extra id.
func (d *Driver) finishAtLength() error {
	l := d.Log
	part, fresh, err := l.Accept(NewChunk(l.Generation(), l.Attempt(), l.Spec(), l.Len(), nil, "", FinishLength))
	if err != nil || !fresh {
		return err
	}
	if err := d.Deliver(part); err != nil {
		return CallerGoneError{Cause: err}
	}
	return nil
}
