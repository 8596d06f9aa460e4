package generation

import (
	"context"
	"sync"
	"time"
)

// Limits of Canceler.
const (
	// maxPendingCancels bounds memory; a cancel that is not sent is covered by the engine's detach hold.
	maxPendingCancels = 4096
	cancelTimeout     = 2 * time.Second
	// cancelTries covers the engine's default detach hold of 10 s. A frozen engine that wakes within it would continue
	// streams that run elsewhere by then.
	cancelTries = 5
	// cancelAgain is the pause before a cancel that was not answered at once is sent a last time: an engine that wakes
	// takes the calls that it held back in any order, and may start the attempt after its cancel.
	cancelAgain = 500 * time.Millisecond
)

// Canceler sends cancel calls in the background, so that no caller waits for a lost engine.
type Canceler struct {
	Send func(ctx context.Context, address, generation string, attempt int) error

	mu      sync.Mutex
	pending int
	closed  bool
	stop    chan struct{}
	group   sync.WaitGroup
}

// Cancel sends the cancel call for exactly this attempt after the delay. Close drops calls that are still delayed.
func (c *Canceler) Cancel(address, generation string, attempt int, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.pending >= maxPendingCancels {
		return
	}
	if c.stop == nil {
		c.stop = make(chan struct{})
	}
	c.pending++
	c.group.Add(1)
	go c.runCancel(address, generation, attempt, after)
}

func (c *Canceler) runCancel(address, generation string, attempt int, after time.Duration) {
	defer c.group.Done()
	defer c.leave()
	if !c.pause(after) {
		return
	}
	for try := range cancelTries {
		if !c.send(address, generation, attempt) {
			if try > 0 && c.pause(cancelAgain) {
				c.send(address, generation, attempt)
			}
			return
		}
		if !c.pause(0) {
			return
		}
	}
}

// pause waits and reports false where Close was called first.
func (c *Canceler) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c.stop:
		return false
	case <-timer.C:
		return true
	}
}

// send tells whether the engine did not answer in time. Other errors need no repetition: the engine is gone, or it has
// refused the attempt number.
func (c *Canceler) send(address, generation string, attempt int) (unanswered bool) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	return c.Send(ctx, address, generation, attempt) != nil && ctx.Err() != nil
}

func (c *Canceler) leave() {
	c.mu.Lock()
	c.pending--
	c.mu.Unlock()
}

// Close drops delayed calls and waits for those being sent.
func (c *Canceler) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		if c.stop != nil {
			close(c.stop)
		}
	}
	c.mu.Unlock()
	c.group.Wait()
	return nil
}
