package scheduler

import (
	"slices"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// compare matches the worker's list with what the leader believes.
func (w *worker) compare(active []structs.ActiveRun, sent Instant) {
	l := w.l
	present := make(map[runKey]bool, len(active))
	for _, a := range active {
		key := runKey{a.Task, a.Run}
		present[key] = true
		r := w.runs[key]
		if r == nil {
			if r = w.adopt(a); r == nil {
				continue
			}
		}
		if r.phase == phaseUnsure || r.phase == phaseStarting {
			r.phase, r.confirmed = phaseRunning, sent
			l.begin(r.job)
		}
		if a.Percent != r.percent {
			r.moved = l.s.now
		}
		r.percent, r.gauge = a.Percent, a.Gauge
		since(&r.atWork, r.step.Persistent && r.percent == fullPace, l.s.now)
		if a.Checkpoint != "" {
			r.checkpoint = a.Checkpoint
		}
	}
	for _, r := range w.sortedRuns() {
		if !present[r.key()] {
			w.absent(r, sent)
		}
	}
}

// absent decides what the absence of a run from a list proves.
func (w *worker) absent(r *run, sent Instant) {
	l := w.l
	switch {
	case r.stopAcked > 0 && r.stopAcked <= sent:
		l.lost(r, "stopped before it began") // the worker refuses it from now on
	case r.phase == phaseStarting:
		// The order may be on its way.
	case r.phase == phaseUnsure:
		l.stop(r, "start without an answer")
	case r.confirmed > 0 && r.confirmed <= sent:
		l.lost(r, "not on the worker's lists")
	}
}

// adopt takes over a run that a former leader started, or stops it when it
// should not run.
func (w *worker) adopt(a structs.ActiveRun) *run {
	l := w.l
	j := l.jobs[a.Task.Job]
	if j == nil || j.taskAt(a.Task) == nil {
		l.s.decide(Decision{Part: "task", Action: "stop ordered", Subject: taskName(a.Task), Where: string(w.id), Number: uint64(a.Run), Reason: "unknown job"})
		e := StopTask{Order: l.orderTo(w), Task: a.Task, Run: a.Run}
		e.ID = l.expectOrder(func(Ordered) { w.holdSoon() }) // the next look repeats the order if need be
		l.s.emit(e)
		return nil
	}
	n, _ := j.number(a.Task)
	t := &j.tasks[n]
	r := &run{
		job: j, ref: a.Task, step: &j.Steps[a.Task.Step], w: w, id: a.Run, phase: phaseRunning, sent: l.s.now,
		confirmed: l.s.now, moved: l.s.now, pace: unknownPace, checkpoint: a.Checkpoint,
	}
	w.add(r)
	t.last = max(t.last, a.Run)
	if !j.active() || j.IsDone(n) || t.run != nil {
		l.stop(r, "it should not run")
		return r
	}
	t.run = r
	l.begin(j)
	l.s.decide(Decision{Part: "task", Action: "run adopted", Subject: taskName(a.Task), Where: string(w.id), Number: uint64(a.Run)})
	return r
}

// reborn handles a new life under the same ID: nothing of the old one is left.
// Starts without an answer may have reached the new life, and stay until it is
// known what became of them.
func (w *worker) reborn(born int64) {
	l := w.l
	l.s.decide(Decision{Part: "worker", Action: "started again", Subject: string(w.id), Number: uint64(born)})
	for _, r := range w.sortedRuns() {
		if r.confirmed > 0 {
			l.lost(r, "the worker started again")
		}
	}
	w.born, w.synced, w.seen, w.acked, w.marks = born, false, 0, 0, nil
	w.promised, w.clockMS = 0, 0
	w.l.account(w.id)
	w.pace = paceState{level: fullPace}
	w.streak, w.streakJobs = 0, nil
	w.holdSoon()
}

// ended handles a worker whose life is over.
func (w *worker) ended(reason string) {
	w.l.s.decide(Decision{Part: "worker", Action: "gone", Subject: string(w.id), Reason: reason, Age: w.l.s.now - w.confirmed})
	w.loseRuns(reason)
	w.l.removeWorker(w)
}

// lapse handles a worker that was not reached until its lease had run out.
func (w *worker) lapse() {
	w.l.account(w.id)
	if len(w.runs) > 0 {
		w.loseRuns("the lease ran out while the worker did not answer")
	}
	w.l.schedule.request()
}

// account notes that the runs of former leaders on a worker are known or over.
func (l *leaderState) account(id structs.WorkerID) {
	if !l.unaccounted[id] {
		return
	}
	delete(l.unaccounted, id)
	if len(l.unaccounted) == 0 {
		l.s.decide(Decision{Part: "leader", Action: "all runs of former leaders accounted for", Subject: l.s.self.Host, Number: uint64(l.epoch), Age: l.s.now - l.took})
	}
	l.schedule.request()
}

func (w *worker) loseRuns(reason string) {
	for _, r := range w.sortedRuns() {
		w.l.lost(r, reason)
	}
}

func (l *leaderState) removeWorker(w *worker) {
	if l.workers[w.id] != w {
		return
	}
	l.account(w.id)
	delete(l.workers, w.id)
	if at, ok := slices.BinarySearch(l.ids, w.id); ok {
		l.ids = slices.Delete(l.ids, at, at+1)
	}
	if w.used {
		l.commits.usedChanged = true
	}
	l.schedule.request()
}
