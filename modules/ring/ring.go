// Package ring provides a bounded ring that joins two duties of a daemon. A full ring refuses new items and counts
// them, so that a slow consumer costs dropped items and never unbounded memory.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in first-out queue. It is safe for concurrent use by many producers and consumers.
type Ring[T any] struct {
	items chan T
	drops atomic.Uint64
}

// New returns a ring that holds at most capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// TryPush appends v. It returns false and counts a drop when the ring is full.
func (r *Ring[T]) TryPush(v T) bool {
	select {
	case r.items <- v:
		return true
	default:
		r.drops.Add(1)
		return false
	}
}

// Push appends v, waiting for room until ctx ends.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	select {
	case r.items <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TryPop removes the oldest item. It returns false when the ring is empty.
func (r *Ring[T]) TryPop() (T, bool) {
	select {
	case v := <-r.items:
		return v, true
	default:
		var zero T
		return zero, false
	}
}

// Pop removes the oldest item, waiting for one until ctx ends.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case v := <-r.items:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Items returns the receiving side of the ring, for use in a select statement.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of items held.
func (r *Ring[T]) Len() int { return len(r.items) }

// Cap returns the capacity in items.
func (r *Ring[T]) Cap() int { return cap(r.items) }

// Dropped returns how many items TryPush has refused.
func (r *Ring[T]) Dropped() uint64 { return r.drops.Load() }
