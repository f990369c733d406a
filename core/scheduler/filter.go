package scheduler

import (
	"slices"

	"github.com/tamarackstep/tamarackstep/core/structs"
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
	if (w.quarantined() || w.probed()) && f.avoidsQuarantined() {
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
