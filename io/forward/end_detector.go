package forward

import (
	"context"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// endCheckDelay is the time between two checks of an endpoint whose connection has ended. A process that ends may
	// close its connections shortly before the socket on which it accepts them.
	endCheckDelay = 50 * time.Millisecond
	// endedMemory and aliveMemory are the times for which the result of a check holds for other connections to the same
	// incarnation. An endpoint that has ended takes seconds to start again. One that is alive may end at any time, but
	// may also close many connections because it has too many.
	endedMemory = time.Second
	aliveMemory = 300 * time.Millisecond
	// maxEndChecks is the maximum number of endpoints whose results are kept. It is above the number of engines that one
	// daemon uses within endedMemory.
	maxEndChecks = 1024
)

// endDetector checks whether an endpoint whose connection has ended has ended itself. Concurrent and recent checks of
// one incarnation are shared, because one end breaks many connections. It is safe for concurrent use.
type endDetector struct {
	// reachable reports whether an endpoint accepts connections.
	reachable func(ctx context.Context, address string) bool

	mu     sync.Mutex
	checks map[string]*endCheck
}

// endCheck is one check of an incarnation. Its results are set before done is closed.
type endCheck struct {
	done      chan struct{}
	ended     bool
	expiresAt time.Time
}

// ended reports whether an endpoint accepts no connections any more. It waits for the check, also after ctx has ended,
// because other requests may wait for the same one.
func (d *endDetector) ended(ctx context.Context, address, incarnation string) bool {
	check, found := d.find(incarnation)
	if found {
		<-check.done
		return check.ended
	}
	defer close(check.done)
	check.ended = d.run(context.WithoutCancel(ctx), address)
	memory := aliveMemory
	if check.ended {
		memory = endedMemory
	}
	check.expiresAt = time.Now().Add(memory)
	return check.ended
}

// find returns the check of an incarnation that runs or still holds, or a new one, which the caller must run.
func (d *endDetector) find(incarnation string) (check *endCheck, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if check, found = d.checks[incarnation]; found && !check.expired() {
		return check, true
	}
	d.expire()
	check = &endCheck{done: make(chan struct{})}
	d.checks[incarnation] = check
	return check, false
}

// expire removes the results that no longer hold, and all of them if there are too many.
func (d *endDetector) expire() {
	for incarnation, check := range d.checks {
		if check.expired() {
			delete(d.checks, incarnation)
		}
	}
	if d.checks == nil || len(d.checks) >= maxEndChecks {
		d.checks = map[string]*endCheck{}
	}
}

func (c *endCheck) expired() bool {
	select {
	case <-c.done:
		return !time.Now().Before(c.expiresAt)
	default:
		return false
	}
}

// run checks the endpoint twice.
func (d *endDetector) run(ctx context.Context, address string) bool {
	if d.refuses(ctx, address) {
		return true
	}
	time.Sleep(endCheckDelay)
	return d.refuses(ctx, address)
}

// refuses reports whether connectAttemptsPerProbe connection attempts fail.
func (d *endDetector) refuses(ctx context.Context, address string) bool {
	for range connectAttemptsPerProbe {
		if d.reachable(ctx, address) {
			return false
		}
	}
	return true
}

// connectionEnded reports whether an error shows that the endpoint's side of a connection was closed or reset. Timeouts
// and canceled requests do not show that.
func connectionEnded(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
