package generation

import (
	"context"
	"sync"
	"time"
)

// Limits and delays of Canceler.
const (
	// maxPendingCancels bounds memory. An engine ends the attempt of a dropped cancel call when its detach hold, the time
	// for which it keeps a stream without a connection, has passed.
	maxPendingCancels = 4096
	cancelTimeout     = 2 * time.Second
	// maxCancelSends sends of cancelTimeout cover the engine's default detach hold of 10 s. A frozen engine that recovers
	// within the hold would otherwise continue streams that run elsewhere by then.
	maxCancelSends = 5
	// cancelRepeatDelay is the delay before a cancel call that first got no response is sent one last time. An engine
	// that recovers handles its pending calls in any order, and may start the attempt after it has handled the cancel.
	cancelRepeatDelay = 500 * time.Millisecond
)

// Canceler sends cancel calls in the background, so that no caller waits for an engine that does not respond. It is
// safe for concurrent use.
type Canceler struct {
	// Send makes one cancel call to the engine at the address.
	Send func(ctx context.Context, address, generation string, attempt int) error

	mu      sync.Mutex
	pending int
	closed  bool
	stop    chan struct{}
	senders sync.WaitGroup
}

// Cancel cancels exactly this attempt on the engine after the delay. Close drops calls that are still delayed.
func (c *Canceler) Cancel(address, generation string, attempt int, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.pending >= maxPendingCancels {
		return
	}
	if c.stop == nil {
		c.stop = make(chan struct{})
	}
	c.pending++
	c.senders.Add(1)
	go c.runCancel(address, generation, attempt, delay)
}

// runCancel makes the cancel call after the delay, and repeats it while the engine does not respond.
func (c *Canceler) runCancel(address, generation string, attempt int, delay time.Duration) {
	defer c.senders.Done()
	defer c.decrementPending()
	if !c.wait(delay) {
		return
	}
	for try := range maxCancelSends {
		if !c.send(address, generation, attempt) {
			if try > 0 && c.wait(cancelRepeatDelay) {
				c.send(address, generation, attempt)
			}
			return
		}
		if !c.wait(0) {
			return
		}
	}
}

// wait waits for d and reports false if Close is called first.
func (c *Canceler) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c.stop:
		return false
	case <-timer.C:
		return true
	}
}

// send makes one cancel call and reports whether the engine did not respond in time. Other errors need no retry: the
// engine is gone, or it has refused the attempt number.
func (c *Canceler) send(address, generation string, attempt int) (unanswered bool) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	return c.Send(ctx, address, generation, attempt) != nil && ctx.Err() != nil
}

func (c *Canceler) decrementPending() {
	c.mu.Lock()
	c.pending--
	c.mu.Unlock()
}

// Close drops delayed calls and waits for calls in flight.
func (c *Canceler) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		if c.stop != nil {
			close(c.stop)
		}
	}
	c.mu.Unlock()
	c.senders.Wait()
	return nil
}
