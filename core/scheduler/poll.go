package scheduler

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	// pollWait is how long a worker waits for the end of a run before it answers a poll.
	pollWait = 1000 * time.Millisecond
	// sharedPollWait replaces pollWait on workers with serving and best-effort tasks,
	// whose tail latencies are needed more often.
	sharedPollWait = 500 * time.Millisecond
	// pollTimeoutSlack is added to the wait of a poll as its timeout. A dead
	// connection costs one poll.
	pollTimeoutSlack = 1200 * time.Millisecond
	// minPollInterval separates polls of one worker, so that one poll returns several
	// ends.
	minPollInterval = 60 * time.Millisecond
	// idlePollInterval separates polls of a worker without runs.
	idlePollInterval = 3 * time.Second
	// persistentPollInterval separates polls of a worker with only persistent tasks.
	persistentPollInterval = 500 * time.Millisecond
	// pollRetryInterval separates polls of a worker that does not answer.
	pollRetryInterval = 300 * time.Millisecond
)

// pollSoon schedules a poll as soon as minPollInterval allows.
func (w *worker) pollSoon() { w.pollIn(max(0, w.polledAt+minPollInterval-w.leader.state.now)) }

// pollIn schedules the next poll unless an earlier one is scheduled.
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

// poll renews the worker's lease, acknowledges ends and reads its lists.
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
	// An unconfirmed start may have reached the next incarnation of the worker, which
	// numbers its ends from 1: an acknowledgement would discard them unread.
	if !w.hasUnconfirmedRun() {
		e.Seen = w.durableEnd
	}
	// The lease of a worker that does not answer is not renewed: otherwise each poll
	// would postpone the time after which its runs are certainly over.
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

// pollWaitTime returns how long the worker waits for an end before it answers a
// poll.
func (w *worker) pollWaitTime() time.Duration {
	switch {
	case !w.runsFiniteTask():
		return 0
	case w.isShared():
		return sharedPollWait
	}
	return pollWait
}

// hasUnconfirmedRun reports whether the start of a run on the worker is unconfirmed.
func (w *worker) hasUnconfirmedRun() bool {
	for _, r := range w.runs {
		if r.confirmedAt == 0 {
			return true
		}
	}
	return false
}

// runsFiniteTask reports whether the worker runs a task that ends by itself.
func (w *worker) runsFiniteTask() bool {
	for _, r := range w.runs {
		if !r.step.Persistent && r.phase == phaseRunning {
			return true
		}
	}
	return false
}

// pollAnswered applies the answer to a poll that was sent at sent.
func (w *worker) pollAnswered(h WorkerHeld, sent Instant) {
	l := w.leader
	if h.Outcome != structs.OutcomeDone {
		w.pollFailed(h)
		return
	}
	if h.Born != 0 && h.Born < w.incarnation {
		w.pollIn(pollRetryInterval) // a delayed answer of an earlier incarnation
		return
	}
	w.failedPolls = 0
	w.answeredPollSentAt, w.polledAt = sent, l.state.now
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

// scheduleNextPoll schedules the next poll after an answered one.
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

// pollFailed handles a poll that was refused or not answered.
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
		l.state.logDecision(Decision{Part: "worker", Action: "does not answer", Subject: string(w.id), Where: w.entry.Address, Reason: outcomeName(h.Outcome), Age: l.state.now - w.answeredPollSentAt})
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

// advanceAck advances the acknowledgement to the ends that are durable after a commit.
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
