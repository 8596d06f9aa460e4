package forward

import (
	"context"
	"sync"
	"time"

	"radishhollow/core/guard"
)

// backgroundEndTimeout is the time that Close waits for tasks that it has canceled. It is short, because a planned stop
// leaves little time after the last request.
const backgroundEndTimeout = 20 * time.Millisecond

// backgroundTasks are goroutines that may outlive the last response, such as those of the replicators.
type backgroundTasks struct {
	mu    sync.Mutex
	group sync.WaitGroup
	// ctx is that of the tasks. It is nil before the first one.
	ctx    context.Context //nolint:containedctx // The tasks belong to no request.
	cancel context.CancelFunc
	// closed is set when no task may start any more.
	closed bool
}

// Close waits for the background tasks. In a planned stop with a time limit it cancels them at that, because the platform
// kills a process that has not ended then. The caller must stop the http.Server first.
func (s *Server) Close() {
	s.background.close()
	ended := make(chan struct{})
	go s.background.runWait(ended)
	left, limited := s.timeLeft()
	if !limited {
		<-ended
		return
	}
	select {
	case <-ended:
		return
	case <-time.After(left):
	}
	s.background.abort()
	select {
	case <-ended:
	case <-time.After(backgroundEndTimeout):
		s.Log.Warn("background tasks are unfinished at the end of the daemon")
	}
}

// startBackground runs a task in a goroutine that Close waits for, and does nothing after Close. A response that
// outlives a forced stop may still call it. The context of the task outlives that of its request.
func (s *Server) startBackground(task func(ctx context.Context)) {
	b := &s.background
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	if b.ctx == nil {
		b.ctx, b.cancel = context.WithCancel(context.Background())
	}
	ctx := b.ctx
	b.group.Go(func() {
		if err := guard.Call(func() error { task(ctx); return nil }, nil); err != nil {
			s.recordPanic("", err)
		}
	})
}

func (b *backgroundTasks) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}

// runWait closes ended after the last task.
func (b *backgroundTasks) runWait(ended chan<- struct{}) {
	b.group.Wait()
	b.abort()
	close(ended)
}

func (b *backgroundTasks) abort() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cancel != nil {
		b.cancel()
	}
}
