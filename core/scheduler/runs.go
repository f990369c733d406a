package scheduler

import (
	"slices"
	"strconv"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// phase is what the leader believes of a run.
type phase uint8

const (
	phaseStarting phase = iota + 1 // the order is on its way
	phaseUnsure                    // the order had no answer; the run may exist or may still begin
	phaseRunning                   // the worker has confirmed it
	phaseStopping                  // told to stop, until its end is listed
)

// run is one run of a task. It occupies its worker until the worker's lists
// show that it has ended, or the worker's lease has certainly run out.
type run struct {
	job  *job
	ref  structs.TaskRef
	step *structs.Step
	w    *worker
	id   structs.Run

	phase     phase
	sent      Instant // the start order
	confirmed Instant // the worker confirmed the start
	stopAsked Instant // 0: not asked
	stopSent  Instant // last stop order
	stopAcked Instant // 0: not acknowledged
	stopBusy  bool    // a stop order is in flight
	reason    string  // why it is stopped

	checkpoint string // last seen
	percent    int
	moved      Instant // when percent last changed
	gauge      int64   // last figure: tail in milliseconds of a task that serves, else thousandths of processors in use
	atWork     Instant // since when a persistent task is at work; 0: it is not
	paced      Instant // when the pace last changed
	pace       int     // percent as last ordered
	paceBusy   bool

	image   imageID
	own     *load   // of a task that serves
	pressed float64 // what tasks that fill beside it take of its capacity at full pace
}

type runKey struct {
	ref structs.TaskRef
	id  structs.Run
}

func (r *run) key() runKey { return runKey{r.ref, r.id} }

// occupies returns the room that the run takes. Tasks that fill use processors
// that are left over.
func occupies(step *structs.Step) structs.Resources {
	room := step.Request
	if step.Fills {
		room.MilliCores = 0
	}
	return room
}

const (
	// orderTimeout bounds a start, stop or pace order.
	orderTimeout = 1500 * time.Millisecond
	// stopRepeat spaces repeats of a stop order without an answer.
	stopRepeat = 400 * time.Millisecond
)

func (l *leaderState) orderTo(w *worker) Order {
	return Order{
		Worker: w.id, Address: w.entry.Address, Epoch: l.epoch, NotAfter: l.validUntil, Timeout: orderTimeout,
	}
}

// start orders a worker to start a run.
func (l *leaderState) start(j *job, ref structs.TaskRef, w *worker, id structs.Run) {
	t := j.taskAt(ref)
	n, _ := j.number(ref)
	r := &run{
		job: j, ref: ref, step: &j.Steps[ref.Step], w: w, id: id, phase: phaseStarting, sent: l.s.now, moved: l.s.now,
		pace: fullPace, checkpoint: j.Checkpoints[n],
	}
	t.run, t.last = r, max(t.last, id)
	w.add(r)
	leaseEnd := w.leaseEnd(l.s.now, l.s.bounds)
	w.promise(leaseEnd)
	e := StartTask{Order: l.orderTo(w), Task: ref, Run: id, Spec: j.Spec, LeaseEndMS: leaseEnd, Checkpoint: r.checkpoint}
	e.Ticket, _ = l.ticketFor(w, keyOf(ref), l.s.config.policyOf(&j.Job))
	e.ID = l.expectOrder(func(o Ordered) { l.startAnswered(r, o) })
	l.s.emit(e)
	l.s.decide(Decision{Part: "task", Action: "start ordered", Subject: taskName(ref), Where: string(w.id), Number: uint64(id), Age: l.s.now - w.confirmed})
}

// expectOrder registers the handler of an order's outcome while the lead lasts.
func (l *leaderState) expectOrder(handle func(Ordered)) EffectID {
	return l.s.expect(func(body EventBody) {
		if !l.over {
			handle(body.(Ordered))
		}
	})
}

func (l *leaderState) startAnswered(r *run, o Ordered) {
	w := r.w
	if w.runs[r.key()] != r {
		return // the worker's lists or its loss decided meanwhile
	}
	w.observeOrder(o, r)
	switch {
	case o.Outcome == structs.OutcomeDone:
		r.confirmed = l.s.now
		if r.phase == phaseStarting || r.phase == phaseUnsure {
			r.phase = phaseRunning
		}
		l.begin(r.job)
		w.holdSoon()
	case o.Outcome == structs.OutcomeUnknown:
		if r.phase == phaseStarting {
			r.phase = phaseUnsure
		}
		l.s.decide(Decision{Part: "task", Action: "start without an answer", Subject: taskName(r.ref), Where: string(w.id), Number: uint64(r.id)})
		w.holdSoon()
	default:
		l.startRefused(r, o)
	}
}

func (l *leaderState) startRefused(r *run, o Ordered) {
	w := r.w
	l.s.decide(Decision{Part: "task", Action: "start refused", Subject: taskName(r.ref), Where: string(w.id), Number: uint64(r.id), Reason: o.Refused.String()})
	l.forget(r)
	t := r.job.taskAt(r.ref)
	switch o.Refused {
	case RefusedEpoch:
		l.depose("a worker has seen a higher epoch")
		return
	case RefusedIncarnation:
		w.ended("another life of the worker answered")
	case RefusedRoom, RefusedLate:
		w.pause(refusedPause)
		w.holdSoon()
	case RefusedRun:
		t.last = max(t.last, r.id)
		w.holdSoon()
	case RefusedTicket:
		l.dropTicket(r.ref, w.id)
	case RefusedInvalid:
		w.pause(unhealthyPause)
		t.notBefore = l.s.now + unhealthyPause
	default: // unhealthy, or the order did not reach the worker
		w.pause(unhealthyPause)
		w.holdSoon()
	}
	l.schedule.request()
}

const (
	// refusedPause keeps a worker that refused a start for want of room free of
	// starts until its lists have been read again.
	refusedPause = 100 * time.Millisecond
	// unhealthyPause does so for a worker that is unhealthy or out of reach.
	unhealthyPause = time.Second
)

// stop orders a worker to stop a run and repeats the order until the run's end
// is listed.
func (l *leaderState) stop(r *run, reason string) {
	if r.stopAsked > 0 {
		return
	}
	r.stopAsked, r.reason = l.s.now, reason
	if r.phase == phaseRunning || r.phase == phaseUnsure {
		r.phase = phaseStopping
	}
	l.s.decide(Decision{Part: "task", Action: "stop ordered", Subject: taskName(r.ref), Where: string(r.w.id), Number: uint64(r.id), Reason: reason})
	l.sendStop(r)
}

// moveAway stops a run so that its task is started on another worker.
func (l *leaderState) moveAway(r *run, reason string) {
	if t := r.job.taskAt(r.ref); !slices.Contains(t.avoid, r.w.id) {
		t.avoid = append(t.avoid, r.w.id)
	}
	l.stop(r, reason)
}

func (l *leaderState) sendStop(r *run) {
	if r.stopBusy || r.w.runs[r.key()] != r || r.stopAcked > 0 {
		return
	}
	if !l.valid() {
		l.after(stopRepeat, func() { l.sendStop(r) })
		return
	}
	r.stopBusy = true
	r.stopSent = l.s.now
	e := StopTask{Order: l.orderTo(r.w), Task: r.ref, Run: r.id}
	e.ID = l.expectOrder(func(o Ordered) {
		r.stopBusy = false
		if r.w.runs[r.key()] != r {
			return
		}
		r.w.observeOrder(o, r)
		switch {
		case o.Outcome == structs.OutcomeDone:
			r.stopAcked = l.s.now
			r.w.holdSoon()
		case o.Refused == RefusedEpoch:
			l.depose("a worker has seen a higher epoch")
		case o.Refused == RefusedIncarnation:
			r.w.ended("another life of the worker answered")
		default:
			l.after(stopRepeat, func() { l.sendStop(r) })
		}
	})
	l.s.emit(e)
}

// forget removes a run that certainly does not run and never will.
func (l *leaderState) forget(r *run) {
	r.w.remove(r)
	if t := r.job.taskAt(r.ref); t.run == r {
		t.run = nil
		t.lostAt = l.s.now
	}
}

// lost handles a run that is gone without a listed end. Work resumes from the
// last checkpoint that was seen.
func (l *leaderState) lost(r *run, reason string) {
	l.s.decide(Decision{Part: "task", Action: "run lost", Subject: taskName(r.ref), Where: string(r.w.id), Number: uint64(r.id), Reason: reason, Age: l.s.now - r.w.confirmed})
	l.forget(r)
	l.keepCheckpoint(r.job, r.ref, r.checkpoint)
	l.schedule.request()
}

// endListed handles an end in a worker's list.
func (l *leaderState) endListed(w *worker, e structs.EndedRun) {
	j := l.jobs[e.Task.Job]
	l.s.decide(Decision{Part: "task", Action: "end listed: " + string(e.End), Subject: taskName(e.Task), Where: string(w.id), Number: uint64(e.Run)})
	r := w.runs[runKey{e.Task, e.Run}]
	if r != nil {
		l.forget(r)
	}
	l.schedule.request()
	if j == nil || j.taskAt(e.Task) == nil {
		return
	}
	t := j.taskAt(e.Task)
	t.last = max(t.last, e.Run)
	if r == nil && t.run != nil && e.End != structs.EndFailed {
		return // an earlier run, given up when its lease had run out; the task has been started again since
	}
	switch e.End {
	case structs.EndDone:
		w.worked()
		l.runDone(j, e.Task)
	case structs.EndFailed:
		w.failed(j.ID)
		l.taskFailed(j, e.Task, e.Run, w)
	default:
		l.keepCheckpoint(j, e.Task, e.Checkpoint)
	}
	if e.End == structs.EndFailed && j.Steps[e.Task.Step].SavesProgress {
		l.keepCheckpoint(j, e.Task, e.Checkpoint)
	}
}

// runDone marks the task of a run that ended with success; one member stands
// for its whole gang.
func (l *leaderState) runDone(j *job, ref structs.TaskRef) {
	if j.Steps[ref.Step].Persistent {
		return // restarted however it ends
	}
	if !j.Steps[ref.Step].Gang {
		l.taskDone(j, ref)
		return
	}
	for i := range j.Steps[ref.Step].Count {
		l.taskDone(j, j.ref(ref.Occurrence, ref.Step, i))
	}
}

// taskName returns the name of a task in logs.
func taskName(t structs.TaskRef) string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// String returns the reason in logs.
func (r Refusal) String() string {
	switch r {
	case RefusedNone:
		return "not sent"
	case RefusedEpoch:
		return "higher epoch seen"
	case RefusedRun:
		return "run number not higher"
	case RefusedLate:
		return "lease already over"
	case RefusedRoom:
		return "no room"
	case RefusedTicket:
		return "ticket missing or expired"
	case RefusedIncarnation:
		return "another life of the worker"
	case RefusedUnhealthy:
		return "worker unhealthy"
	}
	return "invalid"
}
