// Package queue provides an unbounded FIFO queue for one consumer. Pushes never
// block.
package queue

import "sync"

// Queue is a FIFO of T. The zero value is ready to use.
type Queue[T any] struct {
	mu     sync.Mutex
	items  []T
	spare  []T // backing array of the last Take, for reuse
	signal chan struct{}
}

func (q *Queue[T]) signalChan() chan struct{} {
	if q.signal == nil {
		q.signal = make(chan struct{}, 1)
	}
	return q.signal
}

// Push adds v at the end; it never blocks.
func (q *Queue[T]) Push(v T) {
	q.mu.Lock()
	q.items = append(q.items, v)
	ch := q.signalChan()
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
	return q.signalChan()
}

// Take removes and returns all items, oldest first. The slice is valid until the
// next Take.
func (q *Queue[T]) Take() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.items
	clear(q.spare)
	q.items, q.spare = q.spare[:0], out
	return out
}
