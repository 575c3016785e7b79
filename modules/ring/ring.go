// Package ring provides a bounded ring buffer between goroutines of a daemon. A full ring buffer drops and counts new items,
// so that a slow consumer leads to dropped items and never to unbounded memory use.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded FIFO queue. It is safe for concurrent use by many producers and consumers.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns a Ring that holds at most capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// TryPush appends v. If the ring is full, it drops v, counts it and returns false.
func (r *Ring[T]) TryPush(v T) bool {
	select {
	case r.items <- v:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Push appends v. It waits until there is room or ctx ends.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	select {
	case r.items <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TryPop removes and returns the oldest item. It returns false if the ring is empty.
func (r *Ring[T]) TryPop() (T, bool) {
	select {
	case v := <-r.items:
		return v, true
	default:
		var zero T
		return zero, false
	}
}

// Pop removes and returns the oldest item. It waits until there is an item or ctx ends.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case v := <-r.items:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Items returns the channel that delivers the items, for use in a select statement.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Cap returns the capacity in items.
func (r *Ring[T]) Cap() int { return cap(r.items) }

// Dropped returns how many items TryPush has dropped because the ring was full.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
