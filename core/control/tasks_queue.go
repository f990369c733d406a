package control

import (
	"container/heap"
	"sort"
	"time"

	"github.com/tamarackstep/tamarackstep/core/policy"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// pendingQueue holds the sheet rows that have waiting tasks in order of rank, and
// the progress of the current placement pass over them. Tasks of one row have the
// same requirements, so if one does not fit, none does.
type pendingQueue struct {
	rows          []*rowState // in order of rank
	passActive    bool        // a pass is in progress
	anyHandled    bool        // lastHandled is valid
	lastHandled   policy.Rank // of the last row handled in this pass
	passRequested bool        // capacity or the queue changed: another pass follows this one

	nextPass      Instant           // no pass starts earlier
	passScheduled bool              // a step is scheduled at nextPass
	maxFree       structs.Resources // largest free amount of each resource on any worker when the pass started
}

// passSpacingPerRow is the minimum time between the starts of two passes, per
// waiting row. With thousands of rows waiting, a pass for every run that ends
// would keep the control loop busy. The first rows are still tried at every step.
const passSpacingPerRow = 50 * time.Microsecond

// add inserts a row at its rank and requests a pass.
func (q *pendingQueue) add(r *rowState) {
	i := sort.Search(len(q.rows), func(i int) bool { return r.rank.Before(q.rows[i].rank) })
	q.rows = append(q.rows, nil)
	copy(q.rows[i+1:], q.rows[i:])
	q.rows[i] = r
	r.inQueue = true
	q.requestPass()
}

// remove takes a row out of the queue.
func (q *pendingQueue) remove(r *rowState) {
	if !r.inQueue {
		return
	}
	i := sort.Search(len(q.rows), func(i int) bool { return !q.rows[i].rank.Before(r.rank) })
	q.rows = append(q.rows[:i], q.rows[i+1:]...)
	r.inQueue = false
}

// requestPass requests a pass, or another one after the current pass.
func (q *pendingQueue) requestPass() { q.passRequested = true }

// beginPass starts a pass if one was requested and is due. It reports whether a
// pass is in progress.
func (q *pendingQueue) beginPass(now Instant, workers []*workerState) bool {
	if q.passActive {
		return true
	}
	if !q.passRequested || len(q.rows) == 0 || now < q.nextPass {
		return false
	}
	q.passActive, q.passRequested, q.anyHandled, q.passScheduled = true, false, false, false
	q.nextPass = now + passSpacingPerRow*time.Duration(len(q.rows))
	q.maxFree = structs.Resources{}
	for _, w := range workers {
		if w.accepting() {
			q.maxFree = policy.MaxResources(q.maxFree, w.spec.Capacity.Sub(w.committed))
		}
	}
	return true
}

// next returns the next row of the pass, or ends the pass and returns nil.
func (q *pendingQueue) next() *rowState {
	i := sort.Search(len(q.rows), func(i int) bool { return !q.anyHandled || q.lastHandled.Before(q.rows[i].rank) })
	if i == len(q.rows) {
		q.passActive = false
		return nil
	}
	return q.rows[i]
}

// markHandled marks a row as handled in this pass.
func (q *pendingQueue) markHandled(rank policy.Rank) { q.anyHandled, q.lastHandled = true, rank }

// queueEntry is a task's position in its row's queue. It is stale once the task
// has left the queue.
type queueEntry struct {
	t   *task
	seq uint64
}

// head returns the task that has waited longest in the row's queue, or nil.
func (r *rowState) head() *task {
	for len(r.queue) > 0 {
		if e := r.queue[0]; e.t.queued && e.t.queueSeq == e.seq {
			return e.t
		}
		r.queue = r.queue[1:]
	}
	return nil
}

// rotate moves the first task of the row's queue to the end.
func (r *rowState) rotate() { r.queue = append(r.queue[1:], r.queue[0]) }

// enqueue adds a pending task to the queue, or to the delay queue if its retry
// delay is not over.
func (s *State) enqueue(o *ownedPartition, t *task) {
	if t.queued {
		return
	}
	t.queueSeq++
	if t.retryAt > s.now {
		heap.Push(&o.tasks.delayed, delayedTask{at: t.retryAt, seq: t.queueSeq, t: t})
		return
	}
	r := s.rowOf(o, t.row.Row)
	t.queued = true
	r.queue = append(r.queue, queueEntry{t, t.queueSeq})
	r.waiting++
	if r.inQueue {
		o.tasks.queue.requestPass()
	} else {
		o.tasks.queue.add(r)
	}
	s.scheduleWork(o)
}

// dequeue removes a task from the queue and invalidates its entries.
func (s *State) dequeue(o *ownedPartition, t *task) {
	t.queueSeq++
	if !t.queued {
		return
	}
	r := s.rowOf(o, t.row.Row)
	t.queued = false
	r.waiting--
	if r.waiting == 0 {
		r.queue = nil
		r.noCapacity, r.blockedReason = false, ""
		o.tasks.queue.remove(r)
	}
}

// capacityChanged requests another placement pass over the waiting tasks.
func (s *State) capacityChanged(o *ownedPartition) {
	o.tasks.queue.requestPass()
	s.scheduleWork(o)
}

// delayedTask is a task that waits for its retry delay. It is stale once the
// task's queueSeq has changed.
type delayedTask struct {
	at  Instant
	seq uint64
	t   *task
}

// delayQueue is a heap of delayed tasks in order of the end of their delay.
type delayQueue []delayedTask

func (d delayQueue) Len() int { return len(d) }
func (d delayQueue) Less(i, j int) bool {
	if d[i].at != d[j].at {
		return d[i].at < d[j].at
	}
	return d[i].t.row.Task < d[j].t.row.Task
}
func (d delayQueue) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *delayQueue) Push(x any)   { *d = append(*d, x.(delayedTask)) }
func (d *delayQueue) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

// enqueueDelayed queues the tasks whose retry delay is over, up to itemsPerStep
// at a time.
func (s *State) enqueueDelayed(o *ownedPartition) {
	d := &o.tasks.delayed
	for n := 0; n < itemsPerStep && d.Len() > 0 && (*d)[0].at <= s.now; n++ {
		e := heap.Pop(d).(delayedTask)
		if e.t.queueSeq == e.seq && !e.t.queued {
			s.enqueue(o, e.t)
		}
	}
}

const (
	minTaskRetryDelay = 1 * time.Second
	maxTaskRetryDelay = 60 * time.Second
)

// retryBackoff returns the delay before the next run after a number of
// consecutive failures. It doubles from minTaskRetryDelay up to
// maxTaskRetryDelay.
func retryBackoff(failures int) time.Duration {
	if failures <= 0 {
		return 0
	}
	return min(minTaskRetryDelay<<min(failures-1, 10), maxTaskRetryDelay)
}
