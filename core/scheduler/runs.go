package scheduler

import (
	"slices"
	"strconv"
	"time"

	"github.com/tamarackstep/tamarackstep/core/colocation"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// phase is the state of a run as the leader knows it.
type phase uint8

const (
	phaseStarting phase = iota + 1 // the start command is in flight
	phaseUnknown                   // the start command had no answer; the run may exist or may still begin
	phaseRunning                   // the worker has confirmed it
	phaseStopping                  // a stop has been requested, and the end is not listed yet
)

// run is one run of a task. It reserves resources of its worker until the worker's
// lists show that it has ended, or the worker's lease has certainly expired.
type run struct {
	job    *job
	ref    structs.TaskRef
	step   *structs.Step
	worker *worker
	id     structs.Run

	address string // of the worker when the start was sent, or when the run was adopted
	adopted bool   // a former leader started it
	resumed bool   // it began with a checkpoint

	phase           phase
	startSentAt     Instant
	startInFlight   bool    // the start has no outcome yet
	startCounted    bool    // the start counts as outstanding in the leader's start window
	confirmedAt     Instant // when the worker confirmed the start; 0: not confirmed
	stopRequestedAt Instant // 0: no stop requested
	stopSentAt      Instant // last stop command
	stopAckedAt     Instant // 0: not acknowledged
	stopInFlight    bool
	stopReason      string

	checkpoint       string // last one that the worker listed
	percent          int
	progressedAt     Instant       // when percent last changed
	gauge            int64         // last reading: tail latency in milliseconds of a serving task, else millicores in use
	readySince       Instant       // since when a persistent task has started up; 0: it has not
	proven           bool          // a persistent task has worked for provenTime
	speedLimitSetAt  Instant       // when the speed limit last changed
	usedMilliCores   int64         // CPU that it is expected to use
	workedBefore     time.Duration // at full speed, until then
	speedLimit       int           // percent, as last sent
	throttleInFlight bool

	image      colocation.ImageID
	serving    *colocation.Serving    // nil: it has no target for its tail latency
	bestEffort *colocation.BestEffort // nil: it is not a best-effort task
}

type runKey struct {
	ref structs.TaskRef
	id  structs.Run
}

func (r *run) key() runKey { return runKey{r.ref, r.id} }

// reservation returns the resources that a run of a step reserves. Best-effort
// tasks reserve no CPU.
func reservation(step *structs.Step) structs.Resources {
	reserved := step.Request
	if step.BestEffort {
		reserved.MilliCores = 0
	}
	return reserved
}

const (
	// commandTimeout bounds a command to throttle a run or to start a member of a gang, which
	// cannot be replaced alone.
	commandTimeout = 1500 * time.Millisecond
	// startTimeout bounds other starts. Most are answered within some milliseconds; the task
	// of one without an answer starts elsewhere once its worker has refused it.
	startTimeout = 600 * time.Millisecond
	// stopTimeout bounds a command to stop a run. It is shorter, since a stop is repeated
	// without harm, and its task waits for the answer.
	stopTimeout = 600 * time.Millisecond
	// stopRetryInterval separates retries of a stop command without an answer.
	stopRetryInterval = 400 * time.Millisecond
)

// newCommand returns the common fields of a command to a worker.
func (l *leaderState) newCommand(w *worker) WorkerCommand {
	return WorkerCommand{
		Worker: w.id, Address: w.entry.Address, Epoch: l.epoch, NotAfter: l.leaseValidUntil, Timeout: commandTimeout,
	}
}

// startRun commands a worker to start a run.
func (l *leaderState) startRun(j *job, ref structs.TaskRef, w *worker, id structs.Run) {
	t := j.taskAt(ref)
	n, _ := j.taskNumber(ref)
	r := &run{
		job: j, ref: ref, step: &j.Steps[ref.Step], worker: w, id: id, address: w.entry.Address, phase: phaseStarting, startSentAt: l.state.now, progressedAt: l.state.now,
		speedLimit: fullSpeed, checkpoint: j.Checkpoints[n], resumed: j.Checkpoints[n] != "",
	}
	j.setRun(ref, r, l.state.now)
	t.lastRun = max(t.lastRun, id)
	w.addRun(r)
	l.starts.sent(r, l.state.now)
	l.starts.inFlight++
	r.startInFlight = true
	leaseEnd := w.newLeaseEnd(l.state.now, l.state.bounds)
	w.recordLeaseEnd(leaseEnd)
	e := StartTask{WorkerCommand: l.newCommand(w), Task: ref, Run: id, Spec: j.Spec, LeaseEndMS: leaseEnd, Checkpoint: r.checkpoint}
	e.NotAfter, _ = l.startsUntil()
	if !r.step.Gang {
		e.Timeout = startTimeout
	}
	// The next leader must not meet a start that is still on its way.
	e.Timeout = min(e.Timeout, e.NotAfter-l.state.now)
	e.Ticket, _ = l.ticketFor(w, stepKeyOf(ref), l.state.config.policyOf(&j.Job))
	clock := w.clockLowerBound(l.state.now)
	e.ID = l.expectAnswer(func(o CommandDone) {
		if o.Outcome == structs.OutcomeDone && o.ClockMS < clock {
			w.boundLeases() // the lease ends by the clock of another incarnation
		}
		l.startAnswered(r, o, e.Address)
	})
	l.state.emit(e)
	l.state.logDecision(Decision{Part: "task", Action: "start ordered", Subject: taskName(ref), Where: string(w.id), Number: uint64(id), Age: l.state.now - w.answeredSyncSentAt})
}

// expectAnswer registers the handler of the answer to a command, which is not
// called once this host has stepped down.
func (l *leaderState) expectAnswer(handle func(CommandDone)) EffectID {
	return l.state.expectOutcome(func(body EventBody) {
		if !l.steppedDown {
			handle(body.(CommandDone))
		}
	})
}

// startAnswered handles the outcome of a start that was sent to an address.
func (l *leaderState) startAnswered(r *run, o CommandDone, address string) {
	w := r.worker
	l.starts.inFlight--
	r.startInFlight = false
	if l.canRelease() {
		l.flush()
	}
	if l.starts.answered(r, o, l.state.now) {
		l.schedule.requestPass()
	}
	if w.runs[r.key()] != r {
		return // the worker's lists or its loss have settled the run already
	}
	w.observeAnswer(o, r)
	switch {
	case o.Outcome == structs.OutcomeDone:
		r.confirmedAt = l.state.now
		if r.phase == phaseStarting || r.phase == phaseUnknown {
			r.phase = phaseRunning
		}
		l.markStarted(r.job)
		w.syncSoon()
	case o.Outcome == structs.OutcomeUnknown:
		w.rememberLateStart(r)
		if r.phase == phaseStarting {
			r.phase = phaseUnknown
		}
		l.state.logDecision(Decision{Part: "task", Action: "start without an answer", Subject: taskName(r.ref), Where: string(w.id), Number: uint64(r.id)})
		w.syncSoon()
	default:
		l.startRefused(r, o, address)
	}
}

func (l *leaderState) startRefused(r *run, o CommandDone, address string) {
	w := r.worker
	l.state.logDecision(Decision{Part: "task", Action: "start refused", Subject: taskName(r.ref), Where: string(w.id), Number: uint64(r.id), Reason: o.Refused.String()})
	l.discardRun(r)
	t := r.job.taskAt(r.ref)
	switch o.Refused {
	case RefusedEpoch:
		l.stepDown("a worker has seen a higher epoch")
		return
	case RefusedIncarnation:
		if !w.handleMisdirected(address) {
			w.syncSoon()
		}
	case RefusedCapacity, RefusedLeaseExpired:
		w.pauseStarts(refusedPause)
		w.syncSoon()
	case RefusedRun:
		t.lastRun = max(t.lastRun, r.id)
		w.syncSoon()
	case RefusedTicket:
		l.dropTicket(r.ref, w.id)
	case RefusedInvalid:
		w.pauseStarts(unhealthyPause)
		t.notBefore = l.state.now + unhealthyPause
	default: // unhealthy, or the command did not reach the worker
		w.pauseStarts(unhealthyPause)
		w.syncSoon()
	}
	l.schedule.requestPass()
}

const (
	// refusedPause is how long no task is started on a worker that refused a start
	// for lack of resources, so that its lists are read first.
	refusedPause = 100 * time.Millisecond
	// unhealthyPause is the same for a worker that is unhealthy or unreachable.
	unhealthyPause = time.Second
)

// stopRun commands a worker to stop a run, and retries until the worker has
// acknowledged the command or the run has ended.
func (l *leaderState) stopRun(r *run, reason string) {
	if r.stopRequestedAt > 0 {
		return
	}
	r.stopRequestedAt, r.stopReason = l.state.now, reason
	if r.phase == phaseRunning || r.phase == phaseUnknown {
		r.phase = phaseStopping
	}
	l.state.logDecision(Decision{Part: "task", Action: "stop ordered", Subject: taskName(r.ref), Where: string(r.worker.id), Number: uint64(r.id), Reason: reason})
	l.sendStop(r)
}

// moveRun stops a run so that its task is started on another worker.
func (l *leaderState) moveRun(r *run, reason string) {
	if t := r.job.taskAt(r.ref); !slices.Contains(t.avoidWorkers, r.worker.id) {
		t.avoidWorkers = append(t.avoidWorkers, r.worker.id)
	}
	l.stopRun(r, reason)
}

func (l *leaderState) sendStop(r *run) {
	if r.stopInFlight || r.worker.runs[r.key()] != r || r.stopAckedAt > 0 {
		return
	}
	if !l.leaseValid() {
		l.after(stopRetryInterval, func() { l.sendStop(r) })
		return
	}
	r.stopInFlight = true
	r.stopSentAt = l.state.now
	e := StopTask{WorkerCommand: l.newCommand(r.worker), Task: r.ref, Run: r.id}
	e.Timeout = stopTimeout
	e.ID = l.expectAnswer(func(o CommandDone) {
		r.stopInFlight = false
		if r.worker.runs[r.key()] != r {
			return
		}
		r.worker.observeAnswer(o, r)
		switch {
		case o.Outcome == structs.OutcomeDone && r.stopSentAt < r.worker.incarnationSeenAt:
			l.sendStop(r) // the former incarnation may have answered
		case o.Outcome == structs.OutcomeDone:
			r.stopAckedAt = l.state.now
			r.worker.syncSoon()
		case o.Refused == RefusedEpoch:
			l.stepDown("a worker has seen a higher epoch")
		case o.Refused == RefusedIncarnation && r.worker.handleMisdirected(e.Address):
		default:
			l.after(stopRetryInterval, func() { l.sendStop(r) })
		}
	})
	l.state.emit(e)
}

// discardRun removes a run that certainly is not running and never will.
func (l *leaderState) discardRun(r *run) {
	r.worker.removeRun(r)
	if t := r.job.taskAt(r.ref); t.run == r {
		r.job.setRun(r.ref, nil, l.state.now)
		t.runRemovedAt = l.state.now
	}
}

// runLost handles a run that ended without a listed end. Its task resumes from the
// last checkpoint that the worker listed.
func (l *leaderState) runLost(r *run, reason string) {
	l.state.logDecision(Decision{Part: "task", Action: "run lost", Subject: taskName(r.ref), Where: string(r.worker.id), Number: uint64(r.id), Reason: reason, Age: l.state.now - r.worker.answeredSyncSentAt})
	l.discardRun(r)
	l.recordCheckpoint(r.job, r.ref, r.checkpoint)
	l.schedule.requestPass()
}

// handleRunEnd handles an end in a worker's list.
func (l *leaderState) handleRunEnd(w *worker, e structs.EndedRun) {
	j := l.jobs[e.Task.Job]
	l.state.logDecision(Decision{Part: "task", Action: "end listed: " + string(e.End), Subject: taskName(e.Task), Where: string(w.id), Number: uint64(e.Run)})
	r := w.runs[runKey{e.Task, e.Run}]
	if r != nil {
		l.discardRun(r)
	}
	l.schedule.requestPass()
	if j == nil || j.taskAt(e.Task) == nil {
		return
	}
	t := j.taskAt(e.Task)
	t.lastRun = max(t.lastRun, e.Run)
	if r == nil && t.run != nil && e.End != structs.EndFailed {
		return // the end of an earlier run, discarded when its lease had expired; a later run exists
	}
	switch e.End {
	case structs.EndDone:
		w.recordSuccess()
		l.observeRunTime(r)
		l.runDone(j, e.Task)
	case structs.EndFailed:
		w.recordFailure(j, e.Task, r)
		l.taskFailed(j, e.Task, e.Run, w)
	default:
		l.recordCheckpoint(j, e.Task, e.Checkpoint)
	}
	if e.End == structs.EndFailed && j.Steps[e.Task.Step].SavesProgress {
		l.recordCheckpoint(j, e.Task, e.Checkpoint)
	}
}

// observeRunTime records how long a run took from which the run time of its step follows: a
// whole one that this leader started.
func (l *leaderState) observeRunTime(r *run) {
	if r != nil && r.confirmedAt > 0 && !r.adopted && !r.resumed && !r.step.Persistent {
		r.job.observeRunTime(r.ref.Step, l.state.now-r.confirmedAt)
	}
}

// runDone marks the task of a run that ended with success as done. The success of
// one member of a gang marks all members, since they end together.
func (l *leaderState) runDone(j *job, ref structs.TaskRef) {
	if j.Steps[ref.Step].Persistent {
		return // restarted however it ends
	}
	if !j.Steps[ref.Step].Gang {
		l.taskDone(j, ref)
		return
	}
	for i := range j.Steps[ref.Step].Count {
		l.taskDone(j, j.taskRef(ref.Occurrence, ref.Step, i))
	}
}

// taskName returns the name of a task in logs.
func taskName(t structs.TaskRef) string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// String returns the refusal's name in logs.
func (r Refusal) String() string {
	switch r {
	case RefusedNone:
		return "not sent"
	case RefusedEpoch:
		return "higher epoch seen"
	case RefusedRun:
		return "run number not higher"
	case RefusedLeaseExpired:
		return "lease already over"
	case RefusedCapacity:
		return "no room"
	case RefusedTicket:
		return "ticket missing or expired"
	case RefusedIncarnation:
		return "another incarnation of the worker"
	case RefusedUnhealthy:
		return "worker unhealthy"
	}
	return "invalid"
}
