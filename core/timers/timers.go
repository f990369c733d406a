// Package timers provides a queue of values that are due at later times (Queue), and
// the time since which a condition holds (TrackSince), for use inside a reducer. It
// reads no clock: the caller passes the time of the current event.
package timers

import (
	"container/heap"
	"time"
)

// Queue is a priority queue of values by due time. Values with the same due time
// are returned in the order in which they were added. The zero value is an empty
// queue.
type Queue[T any] struct {
	entries entries[T]
	added   uint64 // number of values ever added
}

// Add queues a value that is due at the given time. It cannot be cancelled; the
// code that receives it must check that it still applies.
func (q *Queue[T]) Add(at time.Duration, value T) {
	q.added++
	heap.Push(&q.entries, entry[T]{at, q.added, value})
}

// Len returns the number of queued values.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Next returns the earliest due time, or false when the queue is empty.
func (q *Queue[T]) Next() (time.Duration, bool) {
	if len(q.entries) == 0 {
		return 0, false
	}
	return q.entries[0].at, true
}

// TakeDue removes and returns the earliest value that is due at now, or returns
// false when there is none.
func (q *Queue[T]) TakeDue(now time.Duration) (T, bool) {
	if len(q.entries) == 0 || q.entries[0].at > now {
		var none T
		return none, false
	}
	return heap.Pop(&q.entries).(entry[T]).value, true
}

type entry[T any] struct {
	at       time.Duration
	sequence uint64 // breaks ties of at
	value    T
}

// entries implements heap.Interface, ordered by due time and then by sequence.
type entries[T any] []entry[T]

func (e entries[T]) Len() int { return len(e) }

func (e entries[T]) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *entries[T]) Push(x any) { *e = append(*e, x.(entry[T])) }

func (e *entries[T]) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = entry[T]{} // releases the references that the value holds
	*e = old[:len(old)-1]
	return last
}
