// Package ring provides bounded first-in, first-out queues between goroutines.
package ring

import (
	"context"
	"sync"
)

// Queue is a bounded first-in, first-out queue. It is safe for concurrent use.
type Queue[T any] struct {
	items  chan T
	closed chan struct{}
	once   sync.Once
}

// New returns a Queue that holds up to capacity items.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{
		items:  make(chan T, capacity),
		closed: make(chan struct{}),
	}
}

// TryPush adds an item, or reports false if the queue is full or closed.
func (q *Queue[T]) TryPush(item T) bool {
	select {
	case <-q.closed:
		return false
	default:
	}
	select {
	case q.items <- item:
		return true
	default:
		return false
	}
}

// Push adds an item. It blocks while the queue is full, and returns ClosedError once the queue is closed, or the error
// of a context that ends first.
func (q *Queue[T]) Push(ctx context.Context, item T) error {
	select {
	case <-q.closed:
		return ClosedError{}
	default:
	}
	select {
	case q.items <- item:
		return nil
	case <-q.closed:
		return ClosedError{}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pop removes and returns the oldest item. It blocks while the queue is empty, until its context ends. Items that are
// in the queue at Close are still returned; after them, it returns ClosedError.
func (q *Queue[T]) Pop(ctx context.Context) (T, error) {
	var zero T
	select {
	case item := <-q.items:
		return item, nil
	default:
	}
	select {
	case item := <-q.items:
		return item, nil
	case <-q.closed:
		return q.drain()
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// Len returns the number of items in the queue.
func (q *Queue[T]) Len() int { return len(q.items) }

// Close unblocks all waiting calls. Later pushes fail. Further calls of Close have no effect.
func (q *Queue[T]) Close() {
	q.once.Do(func() { close(q.closed) })
}

// drain returns the next item of a closed queue, or ClosedError if it is empty.
func (q *Queue[T]) drain() (T, error) {
	var zero T
	select {
	case item := <-q.items:
		return item, nil
	default:
		return zero, ClosedError{}
	}
}
