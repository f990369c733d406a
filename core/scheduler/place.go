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

// stepFilter decides on which workers tasks of one step may be started. It is valid
// within one scheduling pass.
type stepFilter struct {
	leader *leaderState
	job    *job
	key    stepKey
	step   *structs.Step
	policy *structs.Policy

	yields            lazyBool // of yieldsKeptRoom
	leavesQuarantined lazyBool // of avoidsQuarantined
}

// lazyBool is a condition that is evaluated when it is first needed.
type lazyBool struct{ known, value bool }

// get returns the condition, and evaluates it at the first call.
func (b *lazyBool) get(evaluate func() bool) bool {
	if !b.known {
		b.known, b.value = true, evaluate()
	}
	return b.value
}

func (l *leaderState) newStepFilter(j *job, key stepKey) *stepFilter {
	return &stepFilter{leader: l, job: j, key: key, step: &j.Steps[key.step], policy: l.state.config.policyOf(&j.Job)}
}

// matches reports whether a worker accepts starts and has what the step requires.
func (f *stepFilter) matches(w *worker) bool { return f.requirementExclusion(w) == notExcluded }

// requirementExclusion returns why a worker does not accept starts or lacks what the step requires.
func (f *stepFilter) requirementExclusion(w *worker) exclusion {
	if w.entry.Service != f.policy.Service {
		return excludedOtherService
	}
	if e := w.startExclusion(); e != notExcluded {
		return e
	}
	if !w.hasLabel(f.step.Label) {
		return excludedMissingLabel
	}
	return notExcluded
}

// suits reports whether a task may be started on a worker when it has room.
func (f *stepFilter) suits(w *worker) bool { return f.suitabilityExclusion(w) == notExcluded }

// suitabilityExclusion returns why a task may not be started on a worker even if it has room.
func (f *stepFilter) suitabilityExclusion(w *worker) exclusion {
	if e := f.requirementExclusion(w); e != notExcluded {
		return e
	}
	if w.quarantined() && f.avoidsQuarantined() {
		return excludedQuarantine
	}
	return notExcluded
}

// avoidsQuarantined reports whether tasks of the step are kept from workers in quarantine.
// They are while another worker could run them.
func (f *stepFilter) avoidsQuarantined() bool {
	return f.leavesQuarantined.get(func() bool { return f.runsOnAny(func(*worker) bool { return true }) })
}

// hasRoom reports whether what a task reserves is free on a worker.
func (f *stepFilter) hasRoom(w *worker) bool {
	return reservation(f.step).Add(w.reserved).Fits(w.entry.Capacity)
}

// accepts reports whether a task may be started on a worker now, as far as its room is
// concerned.
func (f *stepFilter) accepts(w *worker) bool { return f.roomExclusion(w) == notExcluded }

// roomExclusion returns why a worker is not suitable or has no room for a task now.
func (f *stepFilter) roomExclusion(w *worker) exclusion {
	if e := f.suitabilityExclusion(w); e != notExcluded {
		return e
	}
	if !f.hasRoom(w) {
		return excludedNoRoom
	}
	if w.keepsRoomFrom(f.job, f.step) && (w.kept.forRestart || w.kept.preempted || f.yieldsKeptRoom()) {
		return excludedKeptRoom
	}
	if e := f.idleCPUExclusion(w); e != notExcluded && !(f.job.starved(f.leader.state.now) && w.colocated.ToleratesStarved()) {
		return e
	}
	return notExcluded
}

// idleCPUExclusion returns why a best-effort task finds too little idle CPU on a worker.
func (f *stepFilter) idleCPUExclusion(w *worker) exclusion {
	switch {
	case !f.step.BestEffort:
	case w.guard.SpeedLimit != fullSpeed:
		return excludedThrottled
	case w.idleMilliCores() < f.step.Request.MilliCores:
		return excludedNoIdleCPU
	}
	return notExcluded
}

// exclusion returns why no task may be started on a worker now, but for the tolerance of its
// serving tasks, which the score tells.
func (f *stepFilter) exclusion(w *worker) exclusion {
	if e := f.roomExclusion(w); e != notExcluded {
		return e
	}
	if !w.withinStepLimit(f.key, f.step) {
		return excludedStepLimit
	}
	if _, allowed := f.leader.ticketFor(w, f.key, f.policy); !allowed {
		return excludedNoAdvice
	}
	return notExcluded
}

// yieldsKeptRoom reports whether tasks of the step wait where room is kept for another
// job. They do only while another worker could run them. A persistent task that waits as
// long as the other one does not yield to it.
func (f *stepFilter) yieldsKeptRoom() bool {
	return f.yields.get(func() bool {
		return !f.waitsAsPersistent() && f.runsOnAny(func(w *worker) bool { return !w.keepsRoomFrom(f.job, f.step) })
	})
}

// waitsAsPersistent reports whether workers are kept free for tasks of the step.
func (f *stepFilter) waitsAsPersistent() bool {
	return f.job.waitsAsPersistent(f.step, f.leader.state.now)
}

// runsOnAny reports whether a worker that a condition holds for could run a task of the step if
// nothing else ran there. Workers in quarantine do not count.
func (f *stepFilter) runsOnAny(holds func(*worker) bool) bool {
	return slices.ContainsFunc(f.leader.workerIDs, func(id structs.WorkerID) bool {
		w := f.leader.workers[id]
		return f.matches(w) && !w.quarantined() && holds(w) && reservation(f.step).Fits(w.entry.Capacity) &&
			w.withinStepLimit(f.key, f.step) && f.leader.adviceAllows(w, f.key, f.policy)
	})
}

// hasLabel reports whether the worker has a label; all workers have the empty one.
func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.entry.Labels, label)
}

// acceptsStarts reports whether tasks may be started on the worker now.
func (w *worker) acceptsStarts() bool { return w.startExclusion() == notExcluded }

// startExclusion returns why no task may be started on the worker now.
func (w *worker) startExclusion() exclusion {
	now := w.leader.state.now
	stored := w.used && w.usedAddress == w.entry.Address && !w.endPublished && w.foreign.known(now)
	switch {
	case !w.listed || !w.entryIsCurrent():
		return excludedNotListed
	case w.entry.Draining:
		return excludedDraining
	case !w.listsRead || w.failedSyncs > 0:
		return excludedNotAnswering
	case w.startsPausedUntil > now:
		return excludedStartPause
	case !stored:
		return excludedNotStored
	case w.startsHeldForAck():
		return excludedUnackedEnds
	case w.inEvacuatedZone():
		return excludedEvacuatedZone
	}
	return notExcluded
}

// inService reports whether the worker is expected to accept starts, at present or soon.
func (w *worker) inService() bool {
	return w.listed && w.entryIsCurrent() && !w.entry.Draining && w.failedSyncs == 0 && !w.inEvacuatedZone()
}

// withinStepLimit reports whether one more task of a step may run on the worker
// within the step's limit per worker.
func (w *worker) withinStepLimit(of stepKey, step *structs.Step) bool {
	if step.PerWorker == 0 {
		return true
	}
	n := 0
	for key := range w.runs {
		if stepKeyOf(key.ref) == of {
			n++
		}
	}
	return n < step.PerWorker
}

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
