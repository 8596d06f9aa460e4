// Package share divides capacity between workspaces by weighted fair queueing.
package share

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Class separates kinds of work that must not queue behind one another.
type Class int

// Classes of work.
const (
	ClassGeneration Class = iota
	// ClassResume is a generation that continues one admitted before. It takes a slot without waiting, even above the
	// capacity.
	ClassResume
	// ClassBooking is any call to a plain service, idempotent or not; it has its own capacity.
	ClassBooking
)

// Request describes work that is to start.
type Request struct {
	Workspace string
	// Share is the workspace's weight in fair queueing; values not above 0 count as 1.
	Share float64
	// Tokens is the estimated cost; values below 1 count as 1.
	Tokens int
	Class  Class
	// Deadline is the time up to which the work may wait; the zero value means no deadline.
	Deadline time.Time
}

// Limits holds the bounds of a Queue.
type Limits struct {
	// Capacity is the maximum number of generations in progress until SetCapacity changes it. BookingCapacity is that of
	// bookings, which does not change.
	Capacity        int
	BookingCapacity int
	// PerWorkspace and Total bound the number of waiters in each class.
	PerWorkspace int
	Total        int
}

// DefaultLimits returns the limits of a daemon that does not know the endpoints' slots yet.
func DefaultLimits() Limits {
	return Limits{Capacity: 64, BookingCapacity: 64, PerWorkspace: 256, Total: 4096}
}

// Queue admits work by start-time fair queueing. It is safe for concurrent use and starts no goroutine.
type Queue struct {
	mu          sync.Mutex
	generations *classQueue
	bookings    *classQueue
	shares      map[string]float64
}

// New returns an empty Queue.
func New(limits Limits) *Queue {
	return &Queue{
		generations: newClassQueue(limits.Capacity, limits),
		bookings:    newClassQueue(limits.BookingCapacity, limits),
	}
}

// SetCapacity sets the maximum number of generations in progress. Work in progress continues.
func (q *Queue) SetCapacity(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.generations.capacity = n
	q.generations.dispatch()
}

// SetShares sets the shares of later generations by workspace. Workspaces missing from the map keep the share of their
// requests. The caller must not change the map afterwards.
func (q *Queue) SetShares(shares map[string]float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shares = shares
}

// SecondsPerToken returns the time for which a generation holds a slot per estimated token, or 0 while it is unknown.
func (q *Queue) SecondsPerToken() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c := q.generations; c.serviceTokens > 0 {
		return c.serviceSeconds / c.serviceTokens
	}
	return 0
}

// Waiting returns the number of waiters in all classes.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.generations.queued + q.bookings.queued
}

// Acquire waits until the request may start. The returned release must be called when the work ends; further calls have
// no effect. Acquire fails with OverloadedError or, if ctx ends, with CanceledError.
func (q *Queue) Acquire(ctx context.Context, request Request) (release func(), err error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Trace(CanceledError{request.Workspace, err})
	}
	request.Tokens = max(request.Tokens, 1)
	q.mu.Lock()
	if share := q.shares[request.Workspace]; share > 0 && request.Class == ClassGeneration {
		request.Share = share
	}
	if request.Share <= 0 {
		request.Share = 1
	}
	c := q.generations
	if request.Class == ClassBooking {
		c = q.bookings
	}
	if request.Class == ClassResume {
		c.inUse++
		q.mu.Unlock()
		return q.newRelease(c, request), nil
	}
	w, err := c.enqueue(request, time.Now())
	q.mu.Unlock()
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := q.wait(ctx, c, w); err != nil {
		return nil, errors.Trace(err)
	}
	return q.newRelease(c, request), nil
}

func (q *Queue) wait(ctx context.Context, c *classQueue, w *waiter) error {
	var expired <-chan time.Time
	if !w.request.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(w.request.Deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		q.abandon(c, w)
		return CanceledError{w.request.Workspace, ctx.Err()}
	case <-expired:
		after := q.abandon(c, w)
		return OverloadedError{w.request.Workspace, "deadline", after}
	}
}

// abandon removes a waiter, or releases its slot if it was granted in the meantime. It returns the Retry-After
// duration.
func (q *Queue) abandon(c *classQueue, w *waiter) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-w.granted:
		c.inUse--
		c.dispatch()
	default:
		c.remove(w)
	}
	return retryAfter(c.estimatedWait(w.request))
}

func (q *Queue) newRelease(c *classQueue, request Request) func() {
	var once sync.Once
	started := time.Now()
	return func() {
		once.Do(func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			c.inUse--
			c.recordService(request.Tokens, time.Since(started))
			c.dispatch()
		})
	}
}
