// Package transfer measures the transfer of a response body, and limits it by its progress.
package transfer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// progressBytes is the number of bytes that count as progress. A sender that sends a byte now and then makes none.
	progressBytes = 4 << 10
	// maxDuration limits a transfer that makes progress. A configuration of 4 MB, the largest body that the operators'
	// sheets allow, takes 4.5 s as base64 on an idle link of 10 Mbit/s.
	maxDuration = 20 * time.Second
)

// Unlimited is longer than any transfer, for a Transfer that only measures calls which have limits of their own.
const Unlimited = time.Hour

// Transfer is the transfer of one response. It ends when it makes no progress in time. It is safe for concurrent use.
type Transfer struct {
	parent    *Transfer
	startedAt time.Time
	stall     time.Duration
	cancel    context.CancelCauseFunc
	timer     *time.Timer

	mu       sync.Mutex
	bytes    int
	pending  int // bytes since the last progress
	deadline time.Time
}

// contextKey is the key of the context value that holds the Transfer of a call.
type contextKey struct{}

// New returns a Transfer and the context of its call. The context ends with a StalledError if the first progress takes
// longer than first, or each further one longer than stall. What arrives also counts for the Transfer that ctx carries, if
// any. Close must be called at the end of the call.
func New(ctx context.Context, first, stall time.Duration) (context.Context, *Transfer) {
	parent, _ := ctx.Value(contextKey{}).(*Transfer)
	t := &Transfer{parent: parent, startedAt: time.Now(), stall: stall, deadline: time.Now().Add(first)}
	ctx, t.cancel = context.WithCancelCause(ctx)
	t.timer = time.AfterFunc(first, t.expire)
	return context.WithValue(ctx, contextKey{}, t), t
}

// Close ends the transfer and its context.
func (t *Transfer) Close() {
	t.timer.Stop()
	t.cancel(nil)
}

func (t *Transfer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if remaining := time.Until(t.deadline); remaining > 0 {
		t.timer.Reset(remaining)
		return
	}
	t.cancel(StalledError{Bytes: t.bytes, Duration: time.Since(t.startedAt)})
}

// Bytes returns the number of bytes that have arrived.
func (t *Transfer) Bytes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bytes
}

// Progressed reports whether enough has arrived to count as progress.
func (t *Transfer) Progressed() bool { return t.Bytes() >= progressBytes }

// Duration returns the time since the call was made.
func (t *Transfer) Duration() time.Duration { return time.Since(t.startedAt) }

// Add records that n bytes have arrived.
func (t *Transfer) Add(n int) {
	if t.parent != nil {
		t.parent.Add(n)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytes += n
	t.pending += n
	if t.pending < progressBytes {
		return
	}
	t.pending = 0
	extended := time.Now().Add(t.stall)
	if latest := t.startedAt.Add(maxDuration); extended.After(latest) {
		extended = latest
	}
	if extended.After(t.deadline) {
		t.deadline = extended
	}
}

// Add records that n bytes of the response to a call with ctx have arrived, if ctx carries a Transfer.
func Add(ctx context.Context, n int) {
	if t, ok := ctx.Value(contextKey{}).(*Transfer); ok {
		t.Add(n)
	}
}

// Cause returns the reason why a call with ctx failed: the end of its Transfer, or err.
func Cause(ctx context.Context, err error) error {
	if stalled, ok := errors.AsType[StalledError](context.Cause(ctx)); ok {
		return stalled
	}
	return err
}

// countingBody is a response body that reports what is read to a Transfer.
type countingBody struct {
	io.ReadCloser
	transfer *Transfer
}

// Read implements io.Reader.
func (b countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.transfer.Add(n)
	return n, err
}

// Body returns the body of a response to a call with ctx. What is read from it counts for the Transfer that ctx carries,
// if any.
func Body(ctx context.Context, body io.ReadCloser) io.ReadCloser {
	if t, ok := ctx.Value(contextKey{}).(*Transfer); ok {
		return countingBody{ReadCloser: body, transfer: t}
	}
	return body
}
