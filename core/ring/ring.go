// Package ring joins goroutines by bounded first-in first-out queues.
package ring

import (
	"context"
	"sync"
)

// Queue is a bounded queue between goroutines. It is safe for concurrent use.
type Queue[T any] struct {
	items  chan T
	closed chan struct{}
	once   sync.Once
}

// New returns a Ring that holds up to capacity items.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{
		items:  make(chan T, capacity),
		closed: make(chan struct{}),
	}
}

// TryPush adds an item and reports false where the ring is full or closed.
func (r *Queue[T]) TryPush(item T) bool {
	select {
	case <-r.closed:
		return false
	default:
	}
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Push adds an item and waits for space.
func (r *Queue[T]) Push(ctx context.Context, item T) error {
	select {
	case <-r.closed:
		return ClosedError{}
	default:
	}
	select {
	case r.items <- item:
		return nil
	case <-r.closed:
		return ClosedError{}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pop removes the oldest item and waits for one. Items left at Close are still returned.
func (r *Queue[T]) Pop(ctx context.Context) (T, error) {
	var zero T
	select {
	case item := <-r.items:
		return item, nil
	default:
	}
	select {
	case item := <-r.items:
		return item, nil
	case <-r.closed:
		return r.drain()
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// Len returns the number of waiting items.
func (r *Queue[T]) Len() int { return len(r.items) }

// Close wakes all waiters; later pushes fail.
func (r *Queue[T]) Close() {
	r.once.Do(func() { close(r.closed) })
}

func (r *Queue[T]) drain() (T, error) {
	var zero T
	select {
	case item := <-r.items:
		return item, nil
	default:
		return zero, ClosedError{}
	}
}
