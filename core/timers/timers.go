// Package timers keeps what a reducer wants to do at later instants. A queue
// reads no clock: the reducer's events bring the time.
package timers

import (
	"container/heap"
	"time"
)

// Queue holds values by instant. Values for one instant come out in the order
// in which they were added. The zero value is an empty queue.
type Queue[T any] struct {
	entries entries[T]
	added   uint64
}

// Add puts a value in the queue. It cannot be taken back; whoever takes it out
// checks that it still applies.
func (q *Queue[T]) Add(at time.Duration, value T) {
	q.added++
	heap.Push(&q.entries, entry[T]{at, q.added, value})
}

// Len returns the number of values.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Next returns the earliest instant, or false when the queue is empty.
func (q *Queue[T]) Next() (time.Duration, bool) {
	if len(q.entries) == 0 {
		return 0, false
	}
	return q.entries[0].at, true
}

// TakeDue removes and returns the earliest value whose instant has come, or
// returns false when there is none.
func (q *Queue[T]) TakeDue(now time.Duration) (T, bool) {
	if len(q.entries) == 0 || q.entries[0].at > now {
		var none T
		return none, false
	}
	return heap.Pop(&q.entries).(entry[T]).value, true
}

type entry[T any] struct {
	at    time.Duration
	order uint64
	value T
}

type entries[T any] []entry[T]

func (e entries[T]) Len() int { return len(e) }

func (e entries[T]) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *entries[T]) Push(x any) { *e = append(*e, x.(entry[T])) }

func (e *entries[T]) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = entry[T]{} // frees what the value refers to
	*e = old[:len(old)-1]
	return last
}
