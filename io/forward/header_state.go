package forward

import (
	"context"
	"sync/atomic"

	"github.com/juju/errors"

	"radishhollow/core/failure"
)

// headerState decides whether the header of a stream's response is sent or the end of the daemon ends the request before,
// so that its caller gets a status. It is safe for concurrent use.
type headerState struct{ value atomic.Int32 }

const (
	headerPending int32 = iota
	headerSent
	headerWithheld
)

// sent reports whether the header has been sent, or is about to be.
func (s *headerState) sent() bool { return s.value.Load() == headerSent }

// begin reports whether the header may be sent, which is not so after withhold has returned true.
func (s *headerState) begin() bool {
	return s.value.CompareAndSwap(headerPending, headerSent) || s.sent()
}

// withhold reports whether the header has not been sent, and prevents that from then on.
func (s *headerState) withhold() bool { return s.value.CompareAndSwap(headerPending, headerWithheld) }

// withEnding is Server.withEnding for the context of the request. A response that has begun goes on until its connection is
// closed.
func (h *streamHandler) withEnding(ctx context.Context) (context.Context, context.CancelFunc) {
	return h.server.withEnding(ctx, h.headerState.withhold)
}

// beginResponse sends the header unless it has been sent. It returns a StoppedError if the daemon has ended the request.
func (h *streamHandler) beginResponse() error {
	if h.headerState.begin() {
		h.sendHeader()
		return nil
	}
	// The context ends at once. The Driver takes an error before that for one of the caller.
	<-h.ctx.Done()
	return errors.Trace(StoppedError{Result: failure.Unknown})
}
