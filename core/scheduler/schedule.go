package scheduler

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// minPassInterval separates scheduling passes, so that a burst of events
	// costs one pass.
	minPassInterval = 10 * time.Millisecond
	// passCostPerWorker is added to the interval for each worker that the last
	// pass scored, so that long passes leave time for the answers of workers and
	// the store.
	passCostPerWorker = time.Microsecond
)

// maxDueWait is the longest wait for an occurrence that is not due; the pass after it
// waits again.
const maxDueWait = time.Hour

// scheduleState holds when the next scheduling pass is due.
type scheduleState struct {
	passRequested bool
	timerAt       Instant // time of the earliest timer that was set for a pass
	lastPass      Instant
	scoredWorkers int     // in the last pass
	wakeAt        Instant // earliest time at which a delayed task may start; 0: none

	preemptionSearched bool // the pass has searched for runs that give way
}

// requestPass requests a pass at the end of the event.
func (c *scheduleState) requestPass() { c.passRequested = true }

// passInterval returns the minimum time between the last pass and the next.
func (c *scheduleState) passInterval() time.Duration {
	return minPassInterval + time.Duration(c.scoredWorkers)*passCostPerWorker
}

// requestPassAt requests a pass at an instant.
func (c *scheduleState) requestPassAt(t Instant) {
	if c.wakeAt == 0 || t < c.wakeAt {
		c.wakeAt = t
	}
}

// schedulePass runs a pass if one is due, or sets a timer for it.
func (l *leaderState) schedulePass() {
	c := &l.schedule
	if !l.isLoaded() || !l.leaseValid() {
		return
	}
	now := l.state.now
	if c.wakeAt > 0 && c.wakeAt <= now {
		c.passRequested, c.wakeAt = true, 0
	}
	if c.passRequested && l.updateStartPause() {
		return
	}
	var at Instant
	switch {
	case c.passRequested && now >= c.lastPass+c.passInterval():
		c.passRequested, c.lastPass, c.scoredWorkers = false, now, 0
		l.runPass()
		return
	case c.passRequested:
		at = c.lastPass + c.passInterval()
	case c.wakeAt > 0:
		at = c.wakeAt
	default:
		return
	}
	// A timer for a later time does not hold up a pass that is requested meanwhile.
	if c.timerAt > now && c.timerAt <= at {
		return
	}
	c.timerAt = at
	l.after(at-now, func() {}) // the pass runs at the end of the event
}

// runPass starts all tasks that may start and can be placed, in order of rank.
func (l *leaderState) runPass() {
	now := l.state.now
	l.starts.expire(now)
	l.schedule.preemptionSearched = false
	unplaceable := make(map[demand]bool) // demands that no worker can meet in this pass
	for _, j := range l.waitingJobs(now) {
		if l.starts.full() {
			l.schedule.requestPassAt(l.starts.nextExpiry())
			return
		}
		l.placeJob(j, unplaceable)
		if l.steppedDown {
			return
		}
	}
}

// placeJob starts the tasks of a job that are due, unless this leader's claim of
// the job has not been stored yet.
func (l *leaderState) placeJob(j *job, unplaceable map[demand]bool) {
	if j.ClaimEpoch == l.epoch && !j.claimStored {
		return
	}
	for occurrence := range j.remainingByStep {
		if !l.occurrenceDue(j, occurrence) {
			continue
		}
		for step := range j.Steps {
			if j.waitingByStep[occurrence][step] > 0 && j.stepReady(occurrence, step) {
				l.placeStep(j, occurrence, step, unplaceable)
			}
		}
	}
}

// occurrenceDue reports whether an occurrence may start. If not, it requests a
// pass for the time at which it may.
func (l *leaderState) occurrenceDue(j *job, occurrence int) bool {
	wait := l.untilDueMS(j, occurrence)
	if wait <= 0 {
		return true
	}
	l.schedule.requestPassAt(l.state.now + time.Duration(min(wait, maxDueWait.Milliseconds()))*time.Millisecond)
	return false
}

// untilDueMS returns in how many milliseconds an occurrence is due: 0 or less once it is,
// and for a job that does not repeat.
func (l *leaderState) untilDueMS(j *job, occurrence int) int64 {
	if j.Repeat == nil {
		return 0
	}
	return j.Repeat.FirstMS + int64(occurrence)*j.Repeat.EveryMS - l.state.wall
}

// stepReady reports whether all steps that a step depends on are done.
func (j *job) stepReady(occurrence, step int) bool {
	for _, a := range j.Steps[step].After {
		if j.remainingByStep[occurrence][a] > 0 {
			return false
		}
	}
	return true
}

// placeStep starts the waiting tasks of one step.
func (l *leaderState) placeStep(j *job, occurrence, step int, unplaceable map[demand]bool) {
	if j.Steps[step].Gang {
		l.placeGang(j, occurrence, step)
		return
	}
	need := l.demandOf(j, step)
	if unplaceable[need] {
		l.preemptFor(j, occurrence, step) // the job before may not displace others
		return
	}
	ranking := l.newRanking(j, occurrence, step)
	for _, index := range j.startOrder(occurrence, step) {
		if l.starts.full() {
			return
		}
		ref := j.taskRef(occurrence, step, index)
		n, _ := j.taskNumber(ref)
		t := &j.tasks[n]
		if j.IsDone(n) || t.run != nil || t.elsewhere || !l.startable(j, t) {
			continue
		}
		w := ranking.best(t.avoidWorkers)
		if w == nil {
			if l.state.config.policyOf(&j.Job).Advice != nil {
				l.askAdvice(j, stepKeyOf(ref))
			} else if j.Steps[step].PerWorker == 0 {
				unplaceable[need] = true
			}
			l.holdWorkers(j, ref)
			l.preemptFor(j, occurrence, step)
			return
		}
		if !j.claimStored {
			l.claim(j)
			return
		}
		l.startRun(j, ref, w, t.lastRun+1)
		ranking.update(w)
	}
}

// startOrder returns the indexes of the tasks of a step in the order in which they start:
// those that have failed come first, so that a job that can never be done ends soon.
func (j *job) startOrder(occurrence, step int) []int {
	order := make([]int, 0, j.Steps[step].Count)
	for _, failed := range []bool{true, false} {
		if failed && len(j.Failures) == 0 {
			continue
		}
		for index := range j.Steps[step].Count {
			n, _ := j.taskNumber(j.taskRef(occurrence, step, index))
			if (len(j.Failures[n]) > 0) == failed {
				order = append(order, index)
			}
		}
	}
	return order
}

// demand holds the properties that decide which workers can run a task, except
// for the per-worker limit of its step.
type demand struct {
	request             structs.Resources
	service, label      string
	image               string // of a best-effort task
	bestEffort, starved bool
	waitsAsPersistent   bool          // it does not yield room that is kept for others
	keptFor             structs.JobID // job that room is kept for; empty: not kept for its job
}

func (l *leaderState) demandOf(j *job, step int) demand {
	s := &j.Steps[step]
	d := demand{request: s.Request, service: l.state.config.policyOf(&j.Job).Service, label: s.Label, bestEffort: s.BestEffort}
	if s.BestEffort {
		d.image, d.starved = s.Image, j.starved(l.state.now)
	}
	d.waitsAsPersistent = j.waitsAsPersistent(s, l.state.now)
	if l.state.now < j.roomKeptUntil {
		d.keptFor = j.ID
	}
	return d
}

// startable reports whether a task may be started now. A task that a former
// leader may have started waits until all workers are reconciled.
func (l *leaderState) startable(j *job, t *task) bool {
	if j.inherited && len(l.unreconciled) > 0 {
		return false
	}
	if t.notBefore > l.state.now {
		l.schedule.requestPassAt(t.notBefore)
		return false
	}
	return true
}

// placeGang starts all members of a gang at once, or none.
func (l *leaderState) placeGang(j *job, occurrence, stepIndex int) {
	step := &j.Steps[stepIndex]
	var run structs.Run
	var checkpoint string
	for index := range step.Count {
		n, _ := j.taskNumber(j.taskRef(occurrence, stepIndex, index))
		t := &j.tasks[n]
		if t.run != nil || !l.startable(j, t) {
			return
		}
		run = max(run, t.lastRun+1)
		checkpoint = max(checkpoint, j.Checkpoints[n])
	}
	workers := l.pickGang(j, occurrence, stepIndex)
	if workers == nil {
		l.askAdvice(j, stepKey{j.ID, occurrence, stepIndex})
		return
	}
	if !j.claimStored {
		l.claim(j)
		return
	}
	for index, w := range workers {
		ref := j.taskRef(occurrence, stepIndex, index)
		// All members resume from the same checkpoint.
		l.recordCheckpoint(j, ref, checkpoint)
		l.startRun(j, ref, w, run)
	}
}
