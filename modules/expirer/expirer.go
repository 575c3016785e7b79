// Package expirer provides a priority queue of items ordered by due time, for expiry and timers.
package expirer

// Item is an element of a Queue. It stores its position in the queue, so that heap.Fix and heap.Remove need no search.
type Item interface {
	// Due returns the due time of the item, in a unit and from an origin that the caller chooses.
	Due() int64
	// SetPosition stores the index of the item in the queue.
	SetPosition(i int32)
}

// Queue is a min-heap: the item that is due first has index 0. It is used with the functions of container/heap.
type Queue[T Item] []T

// Len implements heap.Interface.
func (q Queue[T]) Len() int { return len(q) }

// Less implements heap.Interface.
func (q Queue[T]) Less(i, j int) bool { return q[i].Due() < q[j].Due() }

// Swap implements heap.Interface.
func (q Queue[T]) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].SetPosition(int32(i))
	q[j].SetPosition(int32(j))
}

// Push implements heap.Interface.
func (q *Queue[T]) Push(x any) {
	item := x.(T)
	item.SetPosition(int32(len(*q)))
	*q = append(*q, item)
}

// Pop implements heap.Interface.
func (q *Queue[T]) Pop() any {
	old := *q
	last := len(old) - 1
	item := old[last]
	var zero T
	old[last] = zero // lets the garbage collector free the item
	*q = old[:last]
	return item
}
