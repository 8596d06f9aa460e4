package generation

import (
	"cmp"
	"context"
	"time"

	"radishhollow/core/route"
)

// Defaults of Driver.
const (
	DefaultWaitBound    = 3 * time.Second
	DefaultCallerReturn = 10 * time.Second
	DefaultFirstBound   = 10 * time.Second
	// DefaultOwnResumes is apart from the retry budget. The loss of one engine interrupts all of its streams at once,
	// which would exhaust a budget that is sized for single failures.
	DefaultOwnResumes = 3
	// deliveryMargin is the part of the wait bound that is left for an error's way to the caller, at most a tenth of it.
	deliveryMargin = 100 * time.Millisecond
)

// Driver brings one generation to its end over as many attempts as it takes. All functions but Attach, Cancel, Alive,
// Stalled, Queued, MayRetry and Observe are required.
type Driver struct {
	Pick func(ctx context.Context, need route.Criteria) (route.Choice, error)
	// Open starts an attempt. Its context bounds the opening only; the stream lives until its Close.
	Open func(ctx context.Context, address string, start Start) (Stream, error)
	// Attach takes over a stream that runs on an engine, with a higher attempt number. Nil stands for engines that end a
	// stream with its connection; Cancel is nil then, too.
	Attach func(ctx context.Context, address, generation string, attempt, offset int) (Stream, error)
	// Cancel ends exactly this attempt on the engine after the delay. It must not block.
	Cancel func(address, generation string, attempt int, after time.Duration)
	// Deliver hands the next part to the caller; an error means that the caller is gone.
	Deliver func(part Chunk) error
	// Observe is called from the goroutine of Run, before the Deliver of the same chunk.
	Observe func(event Event)
	// Alive tells from the endpoint's load reports whether it runs, and by which factor it is slower than usual.
	Alive func(address string) (alive bool, slow float64)
	// Stalled tells that an endpoint has stopped answering, from its reports and from other streams. A stream that is
	// silent for Pace's floor is then given up before its own deadline.
	Stalled func(address string) bool
	// Queued tells from fresh load reports that an endpoint has requests or prompts waiting.
	Queued func(address string) bool
	// MayRetry takes one attempt from the retry budget.
	MayRetry func() bool
	// ExemptResumes is the number of resumes that a generation has apart from the retry budget. Zero means
	// DefaultOwnResumes, a negative number none.
	ExemptResumes int
	// MaxRuns bounds the attempts that may have run. Zero means no bound.
	MaxRuns int

	Log   *Log
	Model string
	// Need is the need of the first attempt; Run sets the fields that depend on what was delivered.
	Need     route.Criteria
	Sampling Sampling
	Priority int
	// ResumePriority is the engine priority after a loss. It should be lower than Priority.
	ResumePriority int
	Timeouts           Timeouts
	// WaitBound bounds the caller's wait for the next token after a loss.
	WaitBound time.Duration
	// QueueWaitBound bounds the wait for the first token in an engine's queue while nothing has failed.
	QueueWaitBound time.Duration
	// FirstPickBound bounds the wait for an endpoint while nothing has run. Zero means WaitBound.
	FirstPickBound time.Duration
	// ReconnectGrace is the time that a disconnected caller has to come back with its cursor before the cancel.
	ReconnectGrace time.Duration
	// AttachTo is the endpoint of a cursor whose stream Run attaches to first; its zero value starts an attempt.
	AttachTo route.Choice
}

// Run loops over attempts until the generation has finished or a typed failure ends it. Cancel the context with
// CallerGoneError as its cause when the caller disconnects; for any other cause the engine is left to its detach hold.
func (d *Driver) Run(ctx context.Context) error {
	now := time.Now()
	r := &run{Driver: d, started: now, progress: now, exclude: map[string]bool{}, pace: d.Timeouts}
	defer r.release()
	if d.AttachTo.Address() != "" {
		if err := r.attachCursor(ctx); err != nil {
			return err
		}
	}
	for {
		if r.Log.Finish() != NotFinished {
			return nil
		}
		if r.full() {
			return r.finishAtLength()
		}
		if err := r.connect(ctx); err != nil {
			return r.end(ctx, err)
		}
		if err := r.read(ctx); err != nil {
			return r.end(ctx, err)
		}
	}
}

// waitBound returns the time after which the error of a wait must be on its way to the caller.
func (d *Driver) waitBound() time.Duration {
	bound := cmp.Or(d.WaitBound, DefaultWaitBound)
	return bound - min(deliveryMargin, bound/10)
}

func (d *Driver) observe(event Event) {
	if d.Observe != nil {
		d.Observe(event)
	}
}

func (d *Driver) alive(address string) (bool, float64) {
	if d.Alive == nil {
		return false, 1
	}
	alive, slow := d.Alive(address)
	return alive, max(slow, 1)
}

func (d *Driver) ownResumes() int {
	if d.ExemptResumes == 0 {
		return DefaultOwnResumes
	}
	return d.ExemptResumes
}

func (d *Driver) stalled(address string) bool { return d.Stalled != nil && d.Stalled(address) }

// remaining returns the number of ids that may still follow. A max_tokens of 0 means no limit.
func (d *Driver) remaining() int {
	if d.Sampling.MaxTokens == 0 {
		return 0
	}
	return d.Sampling.MaxTokens - d.Log.Len()
}

// full tells whether the last delivered id was the last one that the caller asked for.
func (d *Driver) full() bool {
	return d.Sampling.MaxTokens > 0 && d.remaining() <= 0
}

// finishAtLength ends a generation whose finish chunk was lost after its last id. Asking an engine for the remaining
// 0 tokens would be refused or produce an extra id.
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
