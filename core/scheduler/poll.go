package scheduler

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// holdWait is how long a look at a worker waits for an end.
	pollWait = 1000 * time.Millisecond
	// holdShared replaces holdWait where tails are watched.
	sharedPollWait = 500 * time.Millisecond
	// holdSlack bounds a look beyond its wait. A silent connection costs one look.
	pollTimeoutSlack = 1200 * time.Millisecond
	// holdGap spaces looks at one worker, so that several ends come with one look.
	minPollInterval = 60 * time.Millisecond
	// holdIdle spaces looks at a worker that runs nothing.
	idlePollInterval = 3 * time.Second
	// holdLasting spaces looks at a worker that runs only persistent tasks.
	persistentPollInterval = 500 * time.Millisecond
	// holdRetry spaces looks at a worker that does not answer.
	pollRetryInterval = 300 * time.Millisecond
)

// holdSoon asks for a look as soon as the gap allows.
func (w *worker) pollSoon() { w.pollIn(max(0, w.polledAt+minPollInterval-w.leader.state.now)) }

// lookIn sets the next look unless an earlier one is set.
func (w *worker) pollIn(d time.Duration) {
	at := w.leader.state.now + d
	if w.pollInFlight || (w.nextPollAt > 0 && w.nextPollAt <= at) {
		return
	}
	w.nextPollAt = max(at, 1)
	w.pollSeq++
	seq := w.pollSeq
	w.leader.after(d, func() {
		if w.pollSeq == seq && !w.pollInFlight {
			w.poll()
		}
	})
}

// look renews the worker's lease, acknowledges ends and reads its lists.
func (w *worker) poll() {
	l := w.leader
	w.nextPollAt = 0
	if w.entry.Address == "" || l.workers[w.id] != w || !l.isLoaded() {
		return
	}
	if !l.leaseValid() {
		w.pollIn(pollRetryInterval)
		return
	}
	e := HoldWorker{Order: l.newCommand(w)}
	// A start without an answer may have reached the next life of the worker,
	// whose ends are numbered anew: an acknowledgement could swallow them unread.
	if !w.hasUnconfirmedRun() {
		e.Seen = w.durableEnd
	}
	// A worker that does not answer gets no more lease: else the time after which
	// its runs are certainly over would move on with each look.
	if w.synced && w.failedPolls == 0 {
		e.LeaseEndMS = w.newLeaseEnd(l.state.now, l.state.bounds)
		w.recordLeaseEnd(e.LeaseEndMS)
		e.Wait = w.pollWaitTime()
	}
	e.Timeout = e.Wait + pollTimeoutSlack
	w.pollInFlight = true
	sent := l.state.now
	e.ID = l.state.expectOutcome(func(body EventBody) {
		w.pollInFlight = false
		if !l.steppedDown && l.workers[w.id] == w {
			w.pollAnswered(body.(WorkerHeld), sent)
		}
	})
	l.state.emit(e)
}

// lookWait returns how long a look waits for an end. Where tasks that serve run
// beside tasks that fill, tails are needed more often.
func (w *worker) pollWaitTime() time.Duration {
	switch {
	case !w.runsFiniteTask():
		return 0
	case w.isShared():
		return sharedPollWait
	}
	return pollWait
}

// awaitsAnswer reports whether a start on the worker has had no answer.
func (w *worker) hasUnconfirmedRun() bool {
	for _, r := range w.runs {
		if r.confirmedAt == 0 {
			return true
		}
	}
	return false
}

// waitsForEnds reports whether a look should wait for an end: a task that ends
// by itself runs here.
func (w *worker) runsFiniteTask() bool {
	for _, r := range w.runs {
		if !r.step.Persistent && r.phase == phaseRunning {
			return true
		}
	}
	return false
}

func (w *worker) pollAnswered(h WorkerHeld, sent Instant) {
	l := w.leader
	if h.Outcome != structs.OutcomeDone {
		w.pollFailed(h)
		return
	}
	if h.Born != 0 && h.Born < w.incarnation {
		w.pollIn(pollRetryInterval) // a delayed answer of an earlier life
		return
	}
	w.failedPolls = 0
	w.confirmedAt, w.polledAt = sent, l.state.now
	if w.incarnation != 0 && h.Born != 0 && h.Born != w.incarnation {
		w.handleRestart(h.Born)
	}
	if h.Born != 0 {
		w.incarnation = h.Born
	}
	w.observeClock(h.ClockMS)
	for _, e := range h.Ended {
		if e.Number > w.lastEnd {
			w.lastEnd = e.Number
			w.pendingAcks = append(w.pendingAcks, pendingAck{e.Number, l.commits.nextBatch})
			l.handleRunEnd(w, e)
		}
	}
	w.reconcile(h.Active, sent)
	if !w.synced {
		w.synced = true
		l.state.logDecision(Decision{Part: "worker", Action: "lists read", Subject: string(w.id), Number: uint64(l.epoch)})
		l.commits.usedWorkersChanged = l.commits.usedWorkersChanged || !w.used
		l.markReconciled(w.id)
	}
	w.updateThrottle()
	w.moveStalledRuns()
	w.evacuate()
	l.schedule.requestPass()
	w.scheduleNextPoll()
}

// lookAgain sets the next look after an answered one.
func (w *worker) scheduleNextPoll() {
	switch {
	case w.runsFiniteTask() || len(w.pendingAcks) > 0:
		w.pollSoon()
	case len(w.runs) > 0:
		w.pollIn(persistentPollInterval)
	case w.listed:
		w.pollIn(idlePollInterval)
	}
}

func (w *worker) pollFailed(h WorkerHeld) {
	l := w.leader
	switch h.Refused {
	case RefusedEpoch:
		l.stepDown("a worker has seen a higher epoch")
		return
	case RefusedIncarnation:
		w.handleGone("another life of the worker answered")
		return
	}
	w.failedPolls++
	if w.failedPolls == 1 {
		l.state.logDecision(Decision{Part: "worker", Action: "does not answer", Subject: string(w.id), Where: w.entry.Address, Reason: outcomeName(h.Outcome), Age: l.state.now - w.confirmedAt})
	}
	if l.state.now >= w.allRunsEndedAt(l.state.bounds) {
		w.handleLeaseEnd()
		if !w.listed {
			l.removeWorker(w)
			return
		}
	}
	w.pollIn(pollRetryInterval)
}

// endsDurable moves the acknowledgement on after a commit.
func (w *worker) advanceAck() {
	advanced := false
	for len(w.pendingAcks) > 0 && w.pendingAcks[0].batch <= w.leader.commits.durableBatch {
		w.durableEnd = w.pendingAcks[0].end
		w.pendingAcks = w.pendingAcks[1:]
		advanced = true
	}
	if advanced {
		w.pollSoon()
	}
}
