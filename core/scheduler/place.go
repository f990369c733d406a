package scheduler

import (
	"slices"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// servingCPUShare is the share of its requested CPU that a serving task is
	// assumed to use. Best-effort tasks may use the rest.
	servingCPUShare = 0.55
	// Weights of the terms of a score, relative to the share of idle CPU.
	tailWeight     = 0.2 // of the worst ratio of a tail latency to its target
	headroomWeight = 4.0 // of the headroom of serving tasks at the peak of their load
	imageWeight    = 1.0 // of the share of serving tasks on the worker with the task's image
)

// filter reports whether a task may be started on a worker.
func (l *leaderState) filter(w *worker, j *job, step *structs.Step, policy *structs.Policy) bool {
	if w.entry.Service != policy.Service || !w.acceptsStarts() || !step.BestEffort && w.heldForOther(j) {
		return false
	}
	if !reservation(step).Add(w.reserved).Fits(w.entry.Capacity) {
		return false
	}
	if !w.hasLabel(step.Label) {
		return false
	}
	return !step.BestEffort || w.throttle.speedLimit == fullSpeed && w.idleMilliCores() >= step.Request.MilliCores ||
		j.starved(l.state.now) && w.acceptsStarvedJob()
}

// hasLabel reports whether the worker has a label; all workers have the empty one.
func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.entry.Labels, label)
}

// acceptsStarts reports whether tasks may be started on the worker now.
func (w *worker) acceptsStarts() bool {
	now := w.leader.state.now
	inUse := w.listed && w.entryIsCurrent() && !w.entry.Draining
	answers := w.listsRead && w.failedSyncs == 0 && w.startsPausedUntil <= now
	stored := w.used && w.usedAddress == w.entry.Address && !w.endPublished && w.foreign.known(now)
	return inUse && answers && stored && !w.startsHeldForAck()
}

// withinStepLimit reports whether one more task of a step may run on the worker
// within the step's limit per worker.
func (w *worker) withinStepLimit(ref structs.TaskRef, step *structs.Step) bool {
	if step.PerWorker == 0 {
		return true
	}
	n := 0
	for key := range w.runs {
		if key.ref.Job == ref.Job && key.ref.Step == ref.Step && key.ref.Occurrence == ref.Occurrence {
			n++
		}
	}
	return n < step.PerWorker
}

// idleMilliCores returns the CPU that best-effort tasks may use.
func (w *worker) idleMilliCores() int64 { return w.entry.Capacity.MilliCores - w.usedMilliCores }

// expectedMilliCores returns the CPU that a task is assumed to use.
func expectedMilliCores(step *structs.Step) int64 {
	if step.TailTarget > 0 {
		return int64(servingCPUShare * float64(step.Request.MilliCores))
	}
	return step.Request.MilliCores
}

// acceptsStarvedJob reports whether a best-effort task of a starved job may run on
// the worker although it may disturb serving tasks: none is disturbed now, and the
// worker does not already run both kinds of tasks.
func (w *worker) acceptsStarvedJob() bool {
	return w.worstTailRatio() < lowTailRatio && !w.isShared()
}

// sameImageShare returns the share of the worker's serving tasks that have an image.
// Best-effort tasks find more room on workers with few serving images.
func (w *worker) sameImageShare(image imageID) float64 {
	if len(w.serving) == 0 {
		return 0
	}
	same := 0
	for _, r := range w.serving {
		if r.image == image {
			same++
		}
	}
	return float64(same) / float64(len(w.serving))
}

// score rates a worker that passed the filter; higher is better. It spreads load,
// groups serving tasks by image, and penalizes workers outside the rack with the
// task's data. It returns false if a best-effort task would disturb serving tasks.
func (l *leaderState) score(w *worker, j *job, step *structs.Step, image imageID) (float64, bool) {
	capacity := float64(max(w.entry.Capacity.MilliCores, 1))
	var score float64
	switch {
	case step.BestEffort:
		tolerated, headroom := w.tolerates(image, step.Request.MilliCores)
		if !tolerated && !(j.starved(l.state.now) && w.acceptsStarvedJob()) {
			return 0, false
		}
		score = float64(w.idleMilliCores())/capacity - tailWeight*w.worstTailRatio() + headroomWeight*headroom
	case step.TailTarget > 0:
		score = float64(w.entry.Capacity.MilliCores-w.reserved.MilliCores)/capacity + imageWeight*w.sameImageShare(image)
	default:
		score = float64(w.entry.Capacity.MilliCores-w.reserved.MilliCores) / capacity
	}
	if step.DataRack != "" && !slices.Contains(w.entry.Labels, step.DataRack) {
		score -= 1
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
		for _, label := range l.workerLabels() {
			if workers := l.packGang(j, occurrence, stepIndex, label); workers != nil {
				return workers
			}
		}
	}
	return l.packGang(j, occurrence, stepIndex, "")
}

// workerLabels returns the distinct labels of all workers, which are their kinds
// and racks, sorted.
func (l *leaderState) workerLabels() []string {
	var labels []string
	for _, id := range l.workerIDs {
		for _, label := range l.workers[id].entry.Labels {
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
	step := &j.Steps[stepIndex]
	policy := l.state.config.policyOf(&j.Job)
	image := l.interference.imageIDOf(step.Image)
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
			if !l.filter(w, j, step, policy) || step.PerWorker > 0 && members[w] >= step.PerWorker {
				continue
			}
			if _, allowed := l.ticketFor(w, stepKey{j.ID, occurrence, stepIndex}, policy); !allowed {
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
