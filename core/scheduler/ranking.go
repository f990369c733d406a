package scheduler

import (
	"container/heap"
	"slices"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// ranking orders the workers that can run the tasks of one step by score. It is
// valid within one scheduling pass. Tasks of a step are alike, so that only the
// worker that a task was placed on has to be rated again.
type ranking struct {
	filter  *stepFilter
	workers []ratedWorker // a heap, best first; built at the first use
	rated   bool
}

type ratedWorker struct {
	worker *worker
	number int // in workerIDs
	score  float64
}

func (l *leaderState) newRanking(j *job, occurrence, step int) *ranking {
	return &ranking{filter: l.newStepFilter(j, stepKey{j.ID, occurrence, step})}
}

func (r *ranking) Len() int { return len(r.workers) }

// Less orders by score, and equal scores by the workers' IDs.
func (r *ranking) Less(i, j int) bool {
	a, b := &r.workers[i], &r.workers[j]
	if a.score != b.score {
		return a.score > b.score
	}
	return a.number < b.number
}

// Swap is part of heap.Interface.
func (r *ranking) Swap(i, j int) { r.workers[i], r.workers[j] = r.workers[j], r.workers[i] }

// Push is part of heap.Interface.
func (r *ranking) Push(x any) { r.workers = append(r.workers, x.(ratedWorker)) }

// Pop is part of heap.Interface.
func (r *ranking) Pop() any {
	last := r.workers[len(r.workers)-1]
	r.workers = r.workers[:len(r.workers)-1]
	return last
}

// rate returns the score of a worker for a task of the step, or false if the task
// may not be started there.
func (r *ranking) rate(w *worker) (float64, bool) {
	f := r.filter
	if f.exclusion(w) != notExcluded {
		return 0, false
	}
	l := f.leader
	l.schedule.scoredWorkers++
	return l.score(w, f.job, f.step, l.imageOf(f.step))
}

// best returns the best worker for a task, or nil. The workers to avoid are used
// only if there is no other.
func (r *ranking) best(avoid []structs.WorkerID) *worker {
	if !r.rated {
		r.rated = true
		l := r.filter.leader
		for number, id := range l.workerIDs {
			w := l.workers[id]
			if score, ok := r.rate(w); ok {
				r.workers = append(r.workers, ratedWorker{w, number, score})
			}
		}
		heap.Init(r)
	}
	if len(r.workers) == 0 {
		return nil
	}
	if !slices.Contains(avoid, r.workers[0].worker.id) {
		return r.workers[0].worker
	}
	best := 0
	for i := range r.workers {
		if !slices.Contains(avoid, r.workers[i].worker.id) && (slices.Contains(avoid, r.workers[best].worker.id) || r.Less(i, best)) {
			best = i
		}
	}
	return r.workers[best].worker
}

// update rates a worker again after a task has been placed on it.
func (r *ranking) update(w *worker) {
	at := slices.IndexFunc(r.workers, func(o ratedWorker) bool { return o.worker == w })
	if at < 0 {
		return
	}
	score, ok := r.rate(w)
	if !ok {
		heap.Remove(r, at)
		return
	}
	r.workers[at].score = score
	heap.Fix(r, at)
}
