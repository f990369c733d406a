package scheduler

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/preemption"
)

const (
	// preemptionInterval separates searches for runs that give way to the tasks of one job.
	preemptionInterval = 100 * time.Millisecond
	// resumeLoss is the time that a run loses which saves its progress when it is stopped:
	// it restores its checkpoint, and waits for a worker before.
	resumeLoss = time.Second
)

// preemptFor stops runs of a lower priority on a worker where they leave room for a waiting
// task of a step that no worker has room for, and keeps that room for it. A pass searches
// once, for the first task that may displace others.
func (l *leaderState) preemptFor(j *job, occurrence, step int) {
	now := l.state.now
	waited := l.waitedForRoom(j, occurrence)
	switch {
	case j.Steps[step].BestEffort || now < j.preemptionRetryAt || now < j.roomKeptUntil:
		return
	case waited < preemption.Delay:
		l.schedule.requestPassAt(now + preemption.Delay - waited)
		return
	case j.preemptedAt > 0 && now-j.preemptedAt < preemption.Cooldown:
		return
	case l.schedule.preemptionSearched:
		l.schedule.requestPassAt(now + preemptionInterval)
		return
	}
	l.schedule.preemptionSearched = true
	j.preemptionRetryAt = now + preemptionInterval
	l.schedule.requestPassAt(j.preemptionRetryAt)
	f := l.newStepFilter(j, stepKey{j.ID, occurrence, step})
	if _, free := l.countHolds(f); free <= 0 {
		return
	}
	task := preemption.Task{Priority: f.policy.Priority, Need: reservation(f.step), Work: j.expectedStepWork(step, 1)}
	candidates, runs := l.preemptionCandidates(f)
	plan, ok := preemption.Choose(task, candidates)
	if !ok {
		return
	}
	w := l.workers[l.workerIDs[plan.Worker]]
	for _, id := range plan.Runs {
		r := runs[id]
		r.job.preemptedAt = now
		l.moveRun(r, "gives way to more urgent work")
	}
	w.keepRoom(keptRoom{job: j, need: task.Need, preempted: true}, holdTime)
	l.state.logDecision(Decision{
		Part: "job", Action: "displaces less urgent work", Subject: taskName(j.taskRef(occurrence, step, 0)), Where: string(w.id), Number: uint64(len(plan.Runs)), Age: waited,
	})
}

// waitedForRoom returns how long tasks of an occurrence have certainly waited for room alone: it
// is due, and no run of the job has ended since, which may have made their step ready.
func (l *leaderState) waitedForRoom(j *job, occurrence int) time.Duration {
	waited := l.state.now - max(j.waitingSince, j.lastRunEndedAt)
	if j.Repeat != nil {
		waited = min(waited, time.Duration(-l.untilDueMS(j, occurrence))*time.Millisecond)
	}
	return waited
}

// preemptionCandidates returns the workers that could run a task of a step if less urgent runs
// gave way, and these runs.
func (l *leaderState) preemptionCandidates(f *stepFilter) ([]preemption.Candidate, []*run) {
	var candidates []preemption.Candidate
	var runs []*run
	for number, id := range l.workerIDs {
		w := l.workers[id]
		if !f.suits(w) || w.keepsRoom() || !w.withinStepLimit(f.key, f.step) || !l.adviceAllows(w, f.key, f.policy) {
			continue
		}
		candidate := preemption.Candidate{Worker: number, Reserved: w.reserved, Capacity: w.entry.Capacity}
		for _, r := range w.sortedRuns() {
			if priority := l.state.config.policyOf(&r.job.Job).Priority; priority > f.policy.Priority && r.preemptible() {
				candidate.Runs = append(candidate.Runs, preemption.Run{ID: len(runs), Priority: priority, Reserved: reservation(r.step), LostWork: r.lostWork()})
				runs = append(runs, r)
			}
		}
		if len(candidate.Runs) > 0 {
			candidates = append(candidates, candidate)
		}
	}
	return candidates, runs
}

// preemptible reports whether a run may be preempted: a finite one that does not hold up
// others with its end, of a job that has not been preempted lately.
func (r *run) preemptible() bool {
	now := r.worker.leader.state.now
	recently := r.job.preemptedAt > 0 && now-r.job.preemptedAt < preemption.Cooldown
	return r.phase == phaseRunning && !r.step.Persistent && !r.step.Gang && !recently
}

// lostWork returns the work that a stop of the run throws away, in core-seconds.
func (r *run) lostWork() float64 {
	lost := r.worker.leader.state.now - r.confirmedAt
	if r.step.SavesProgress {
		lost = min(lost, resumeLoss)
	}
	return r.step.Request.Cores() * lost.Seconds()
}
