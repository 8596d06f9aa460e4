// Package share divides capacity between workspaces by weighted fair queueing.
package share

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Class separates work that must not wait behind other work.
type Class int

// Classes of work.
const (
	ClassGeneration Class = iota
	// ClassResume is a generation that lost its engine; it never waits.
	ClassResume
	// ClassBooking is a plain-service call; it has its own capacity.
	ClassBooking
)

// Request describes the work that wants to start.
type Request struct {
	Workspace string
	// Share is the workspace's weight; values not above 0 count as 1.
	Share float64
	// Tokens is the estimated cost.
	Tokens int
	Class  Class
	// Deadline ends the wait; the zero value means none.
	Deadline time.Time
}

// Limits are the bounds of a Queue.
type Limits struct {
	// Capacity is the number of generations in progress, BookingCapacity that of bookings.
	Capacity        int
	BookingCapacity int
	// PerWorkspace and Total bound the waiters of each class.
	PerWorkspace int
	Total        int
}

// DefaultLimits returns the bounds of one daemon before it knows the endpoints' slots.
func DefaultLimits() Limits {
	return Limits{Capacity: 64, BookingCapacity: 64, PerWorkspace: 256, Total: 4096}
}

// Queue admits work in start-time fair order. It is safe for concurrent use and starts no goroutine.
type Queue struct {
	mu          sync.Mutex
	generations *line
	bookings    *line
	shares      map[string]float64
}

// New returns an empty Queue.
func New(limits Limits) *Queue {
	return &Queue{
		generations: newLine(limits.Capacity, limits),
		bookings:    newLine(limits.BookingCapacity, limits),
	}
}

// SetCapacity changes the number of generations in progress. Work already in progress continues.
func (q *Queue) SetCapacity(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.generations.capacity = n
	q.generations.dispatch()
}

// SetShares replaces the shares of later generations by workspace. Workspaces that are not in the map keep their own.
func (q *Queue) SetShares(shares map[string]float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shares = shares
}

// SecondsPerToken returns the time that a generation holds a slot for each estimated token, or 0 while it is unknown.
func (q *Queue) SecondsPerToken() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if l := q.generations; l.heldTokens > 0 {
		return l.heldSeconds / l.heldTokens
	}
	return 0
}

// Waiting returns the number of waiters of all classes.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.generations.queued + q.bookings.queued
}

// Acquire waits for the ask's turn. The returned release must be called when the work ends.
func (q *Queue) Acquire(ctx context.Context, ask Request) (release func(), err error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Trace(CanceledError{ask.Workspace, err})
	}
	ask.Tokens = max(ask.Tokens, 1)
	q.mu.Lock()
	if share := q.shares[ask.Workspace]; share > 0 && ask.Class == ClassGeneration {
		ask.Share = share
	}
	if ask.Share <= 0 {
		ask.Share = 1
	}
	l := q.generations
	if ask.Class == ClassBooking {
		l = q.bookings
	}
	if ask.Class == ClassResume {
		l.inUse++
		q.mu.Unlock()
		return q.releaser(l, ask), nil
	}
	w, err := l.enqueue(ask, time.Now())
	q.mu.Unlock()
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := q.wait(ctx, l, w); err != nil {
		return nil, errors.Trace(err)
	}
	return q.releaser(l, ask), nil
}

func (q *Queue) wait(ctx context.Context, l *line, w *waiter) error {
	var expired <-chan time.Time
	if !w.ask.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(w.ask.Deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		q.abandon(l, w)
		return CanceledError{w.ask.Workspace, ctx.Err()}
	case <-expired:
		after := q.abandon(l, w)
		return OverloadedError{w.ask.Workspace, "deadline", after}
	}
}

// abandon removes a waiter, or gives its turn back where it was granted meanwhile.
func (q *Queue) abandon(l *line, w *waiter) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-w.granted:
		l.inUse--
		l.dispatch()
	default:
		l.remove(w)
	}
	return retryAfter(l.estimate(w.ask))
}

func (q *Queue) releaser(l *line, ask Request) func() {
	var once sync.Once
	started := time.Now()
	return func() {
		once.Do(func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			l.inUse--
			l.learn(ask.Tokens, time.Since(started))
			l.dispatch()
		})
	}
}
