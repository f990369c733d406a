package scheduler

import (
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/colocation"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// gaugeSettleTime is how long a run has to work at full speed before its gauge tells
	// what it uses: a gauge covers the last half second, and the lists may be as old.
	gaugeSettleTime = 1200 * time.Millisecond
	// Weights of the terms of a score, relative to the share of idle CPU.
	tailWeight     = 0.2 // of the worst ratio of a tail latency to its target
	headroomWeight = 4.0 // of the headroom of serving tasks at the peak of their load
	imageWeight    = 1.0 // of the share of serving tasks on the worker with the task's image
	coldWeight     = 0.2 // of a worker that is slow after its start
	// contentionWeight is that of the utilization which best-effort tasks would add to a
	// serving task.
	contentionWeight = 1.0
)

// idleMilliCores returns the CPU that best-effort tasks may use.
func (w *worker) idleMilliCores() int64 { return w.entry.Capacity.MilliCores - w.usedMilliCores }

// expectedMilliCores returns the CPU that a run is expected to use, measured if it has
// been.
func (r *run) expectedMilliCores(now Instant) int64 {
	request := r.step.Request.MilliCores
	switch {
	case r.serving != nil:
		return int64(r.serving.Load.CPUShare() * float64(request))
	case r.bestEffort != nil && r.speedLimit == fullSpeed && now-max(r.confirmedAt, r.speedLimitSetAt) >= gaugeSettleTime && r.gauge > 0:
		return min(r.gauge, request)
	}
	return request
}

// updateUsedMilliCores adds up the CPU that the worker's runs are expected to use.
func (w *worker) updateUsedMilliCores() {
	w.usedMilliCores = 0
	for _, r := range w.runs {
		r.usedMilliCores = r.expectedMilliCores(w.leader.state.now)
		w.usedMilliCores += r.usedMilliCores
	}
}

// score rates a worker that passed the filter; higher is better. It spreads load,
// groups serving tasks by image, and penalizes workers outside the rack with the
// task's data. It returns false if a best-effort task would disturb serving tasks.
func (l *leaderState) score(w *worker, j *job, step *structs.Step, image colocation.ImageID) (float64, bool) {
	capacity := float64(max(w.entry.Capacity.MilliCores, 1))
	var score float64
	switch {
	case step.BestEffort:
		tolerated, headroom := w.colocated.Tolerates(image, step.Request.MilliCores)
		if !tolerated && !(j.starved(l.state.now) && w.colocated.ToleratesStarved()) {
			return 0, false
		}
		score = float64(w.idleMilliCores())/capacity - tailWeight*w.colocated.WorstTailRatio() + headroomWeight*headroom
	case step.TailTarget > 0:
		score = float64(w.entry.Capacity.MilliCores-w.reserved.MilliCores)/capacity + imageWeight*w.colocated.SameImageShare(image) -
			contentionWeight*w.colocated.ContentionOn(image)
	default:
		score = float64(w.entry.Capacity.MilliCores-w.reserved.MilliCores) / capacity
	}
	if step.DataRack != "" && !slices.Contains(w.entry.Labels, step.DataRack) {
		score -= 1
	}
	if l.state.now < w.coldUntil {
		score -= coldWeight
	}
	return score, true
}

// pick returns the best worker for a task, or nil. Workers in the task's
// avoidWorkers are used only if there is no other.
func (l *leaderState) pick(j *job, ref structs.TaskRef, t *task) *worker {
	return l.newRanking(j, ref.Occurrence, ref.Step).best(t.avoidWorkers)
}

// pickGang returns a worker for each member of a gang, or nil. The workers are on
// one rack if the step prefers that and a rack has room.
func (l *leaderState) pickGang(j *job, occurrence, stepIndex int) []*worker {
	step := &j.Steps[stepIndex]
	if step.SameRack {
		for _, label := range l.workerLabels((*worker).acceptsStarts) {
			if workers := l.packGang(j, occurrence, stepIndex, label); workers != nil {
				return workers
			}
		}
	}
	return l.packGang(j, occurrence, stepIndex, "")
}

// workerLabels returns the distinct labels of the workers that a condition holds for,
// which are their kinds and racks, sorted.
func (l *leaderState) workerLabels(holds func(*worker) bool) []string {
	var labels []string
	for _, id := range l.workerIDs {
		w := l.workers[id]
		if !holds(w) {
			continue
		}
		for _, label := range w.entry.Labels {
			if !slices.Contains(labels, label) {
				labels = append(labels, label)
			}
		}
	}
	slices.Sort(labels)
	return labels
}

// packGang returns a worker with a label for each member of a gang, or nil. An empty
// label allows all workers.
func (l *leaderState) packGang(j *job, occurrence, stepIndex int, label string) []*worker {
	f := l.newStepFilter(j, stepKey{j.ID, occurrence, stepIndex})
	step := f.step
	image := l.imageOf(step)
	reserved := make(map[*worker]structs.Resources)
	members := make(map[*worker]int)
	var workers []*worker
	for range step.Count {
		var best *worker
		var bestScore float64
		for _, id := range l.workerIDs {
			w := l.workers[id]
			if label != "" && !slices.Contains(w.entry.Labels, label) {
				continue
			}
			if !f.accepts(w) || step.PerWorker > 0 && members[w] >= step.PerWorker {
				continue
			}
			if _, allowed := l.ticketFor(w, f.key, f.policy); !allowed {
				continue
			}
			if !reservation(step).Add(reserved[w]).Add(w.reserved).Fits(w.entry.Capacity) {
				continue
			}
			score, ok := l.score(w, j, step, image)
			if !ok {
				continue
			}
			score -= float64(reserved[w].MilliCores) / float64(max(w.entry.Capacity.MilliCores, 1))
			if best == nil || score > bestScore {
				best, bestScore = w, score
			}
		}
		if best == nil {
			return nil
		}
		reserved[best] = reserved[best].Add(reservation(step))
		members[best]++
		workers = append(workers, best)
	}
	return workers
}
