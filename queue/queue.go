// Package queue is an unbounded FIFO queue for one consumer: pushes never
// block and keep their order, and the memory held is the backlog only.
package queue

import "sync"

// Queue is a FIFO of T. The zero value is ready to use.
type Queue[T any] struct {
	mu     sync.Mutex
	items  []T
	spare  []T
	signal chan struct{}
}

func (q *Queue[T]) ready() chan struct{} {
	if q.signal == nil {
		q.signal = make(chan struct{}, 1)
	}
	return q.signal
}

// Push adds v at the back; it never blocks.
func (q *Queue[T]) Push(v T) {
	q.mu.Lock()
	q.items = append(q.items, v)
	ch := q.ready()
	q.mu.Unlock()
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Ready returns a channel that has a value when the queue may be non-empty.
func (q *Queue[T]) Ready() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ready()
}

// Take removes and returns everything queued, oldest first. The slice is
// valid until the next Take.
func (q *Queue[T]) Take() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.items
	clear(q.spare)
	q.items, q.spare = q.spare[:0], out
	return out
}
